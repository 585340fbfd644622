//! Process signals, checks of the settings file and the graceful stop.

use sg_proxy::server::Phase;
use sg_store::Store;
use sg_types::prelude::*;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::JoinSet,
};

use crate::{Interpreter, Protocol, Settings, daemon::Context, grace::Grace, servers::Phases};

/// The interval at which the settings file is checked. The file may change without a signal to the
/// process.
const SETTINGS_CHECK_INTERVAL: Span = Span::from_secs(2);
/// The signals that the process handles.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. Checks the settings file at an interval and after SIGHUP.
    pub async fn wait<D: Protocol, I: Interpreter, S: Store>(
        &mut self,
        context: &Context<D, I, S>,
    ) {
        let mut last_text = std::fs::read(&context.settings_file).unwrap_or_else(|error| {
            log::warn!(error:% = error; "settings not read");
            Vec::new()
        });
        let mut ticks = context.timer.every(SETTINGS_CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => check_settings_file(context, &mut last_text, true),
                _ = ticks.tick() => check_settings_file(context, &mut last_text, false),
            }
        }
    }
}

/// Validates the settings file if its text differs from `last_text`, and logs whether the process has
/// to be restarted for the change. The running process keeps its settings, because other instances and
/// callers rely on its addresses and location. Only the grace period is read again at a stop. `on_signal` states whether a signal caused the check;
/// such a check is logged even if the file has not changed.
fn check_settings_file<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    last_text: &mut Vec<u8>,
    on_signal: bool,
) {
    let text = match std::fs::read(&context.settings_file) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(error:% = error; "settings not read");
            return;
        }
    };
    if text == *last_text {
        if on_signal {
            log::info!(changed = false; "reloaded");
        }
        return;
    }
    let name = context.settings_file.display().to_string();
    match Settings::parse(&text, &name) {
        Ok(settings) => {
            let needs_restart = context.settings.needs_restart(&settings);
            log::info!(changed = true, needs_restart; "reloaded");
        }
        Err(error) => log::warn!(error:% = error; "settings not used"),
    }
    *last_text = text;
}

/// Returns the grace period that the settings file states now. The platform may have changed the file since the
/// start, with or without a signal.
fn grace_period<D: Protocol, I: Interpreter, S: Store>(context: &Context<D, I, S>) -> Span {
    let settings = Settings::load(&context.settings_file);
    let bounds = match &settings {
        Ok(settings) => &settings.bounds,
        Err(error) => {
            log::warn!(error:% = error; "settings not used");
            &context.settings.bounds
        }
    };
    Span::from_secs(1).mul_f64(bounds.stop_grace_seconds)
}

/// Stops gracefully within the grace period. Lookup responses no longer name the instance, and readiness
/// checks fail. New requests that can finish in time are admitted for the first part of the period, and
/// connections are accepted a little longer. Requests that are still in flight near the end of the period
/// are answered by the instance, before their connections are closed.
pub(crate) async fn drain<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    phases: &Phases,
    server_tasks: &mut JoinSet<()>,
) {
    let handled = context.timer.now();
    let started = context.event_loop.lock().earliest_signal();
    let period = grace_period(context);
    let grace = Grace::new(started, handled, period);
    let late = handled.since(started);
    log::info!(grace_ms = period.as_millis(), late_ms = late.as_millis(); "leaving");
    context.core.start_draining(grace.answer_at());
    context.core.refuse_new_requests_from(grace.admit_until());
    context.timer.sleep_through(grace.accept_until()).await;
    phases.callers.send_replace(Phase::Closing);
    // Only the server for callers ends in this phase, so its task is the one that is joined.
    let callers_server = server_tasks.join_next();
    let ended = tokio::select! {
        _ = callers_server => true,
        () = context.timer.sleep_through(grace.close_at()) => false,
    };
    let in_progress = context.core.metrics.in_progress.get();
    log::info!(ended, in_hand = in_progress; "callers' connections closed");
    phases.others.send_replace(Phase::Closing);
    server_tasks.shutdown().await;
}
