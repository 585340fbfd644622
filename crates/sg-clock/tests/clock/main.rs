//! Tests that ticks follow a paused clock and report their lateness.

use sg_clock::Timer;
use sg_types::time::Span;

/// Guards against a clock that tests can't control.
#[tokio::test(start_paused = true)]
async fn ticks_follow_the_paused_clock() {
    let timer = Timer::new();
    let mut ticks = timer.every(Span::from_secs(1));
    let first = ticks.tick().await;
    let second = ticks.tick().await;
    assert_eq!(second.now.since(first.now), Span::from_secs(1));
    assert_eq!(first.late, Span::ZERO);
}

/// A subscriber must see that the process was paused before it acts.
#[tokio::test(start_paused = true)]
async fn process_pause_is_reported_as_lateness() {
    let timer = Timer::new();
    let mut ticks = timer.every(Span::from_secs(1));
    tokio::time::advance(std::time::Duration::from_secs(61)).await;
    let tick = ticks.tick().await;
    assert_eq!(tick.late, Span::from_secs(60));
}

#[tokio::test(start_paused = true)]
async fn work_past_its_deadline_is_dropped() {
    let timer = Timer::new();
    let deadline = timer.now() + Span::from_millis(5);
    let result = timer.until(deadline, timer.sleep(Span::from_secs(1))).await;
    assert!(result.is_err());
}
