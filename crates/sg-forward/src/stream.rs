//! Streams a large response to the caller, and aborts the caller's connection if the response can't
//! complete.

use std::io;

use bytes::Bytes as Content;
use futures_util::stream;
use sg_steer::{Attempt, End, Steer};
use sg_types::prelude::*;
use tokio::task::AbortHandle;

use crate::{
    answer::{self, Bounds},
    gate::Parts,
    history::Step,
    key::Holder,
    limit::Permit,
    link::Link,
    shared::Shared,
    stop::Work,
    terms::Terms,
};

/// A large response in transit, with the resources to release when it ends.
pub struct Flow<P: Parts> {
    /// The shared state of the request path.
    pub shared: Arc<Shared<P>>,
    /// The settings of the request's route.
    pub terms: Terms,
    /// The holder of the request's key.
    pub holder: Option<Holder>,
    /// The limits on the response.
    pub bounds: Bounds,
    /// The bytes received so far.
    pub first: Content,
    /// The rest of the response.
    pub rest: reqwest::Response,
    /// The attempt; `None` if the response comes from another instance.
    pub attempt: Option<<P::Steer as Steer>::Attempt>,
    /// The end to report for the attempt if the response completes.
    pub end: End,
    /// The caller's connection.
    pub link: Option<Arc<Link>>,
    /// The concurrency permit.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub permit: Option<Permit>,
    /// The count as a request in flight.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub work: Work,
}

impl<P: Parts> Flow<P> {
    /// Converts the stream to the body of the caller's response.
    #[must_use]
    pub fn into_body(self) -> poem::Body {
        let guard = self.link.clone().map(|link| {
            let watch = watch(
                self.shared.clone(),
                self.terms.clone(),
                self.holder.clone(),
                self.bounds.deadline,
                link,
            );
            Guard(tokio::spawn(watch).abort_handle())
        });
        let state = State {
            sent: 0,
            flow: Some(self),
            guard,
        };
        poem::Body::from_bytes_stream(stream::unfold(state, step))
    }

    async fn next(&mut self, sent: u64) -> Result<Option<Content>, Step> {
        self.check_key()?;
        if !self.first.is_empty() {
            return Ok(Some(std::mem::take(&mut self.first)));
        }
        let part = answer::next(&self.shared.timer, &mut self.rest, self.bounds).await?;
        self.check_key()?;
        let size = part.as_ref().map_or(0, |part| part.len() as u64);
        if sent + size > self.bounds.limit.get() {
            return Err(Step::Wrong);
        }
        Ok(part)
    }

    /// Checks that the key is still valid; the stream of a withdrawn key ends.
    fn check_key(&self) -> Result<(), Step> {
        let allowed = self
            .shared
            .allows(&self.terms, self.holder.as_ref(), self.bounds.deadline);
        match allowed {
            Ok(()) => Ok(()),
            Err(Reason::Deadline) => Err(Step::Late),
            Err(_) => {
                self.shared.metric.ended_streams.inc();
                Err(Step::Wrong)
            }
        }
    }

    fn finish(mut self, end: End) {
        let now = self.shared.timer.now();
        if let Some(attempt) = self.attempt.take() {
            attempt.end(end, now);
        }
    }
}

/// The interval of key checks while the caller reads nothing.
const CHECK: Span = Span::from_secs(1);

/// Aborts a stream whose caller reads too slowly for its deadline, or whose key was withdrawn.
async fn watch<P: Parts>(
    shared: Arc<Shared<P>>,
    terms: Terms,
    holder: Option<Holder>,
    deadline: Instant,
    link: Arc<Link>,
) {
    while shared.allows(&terms, holder.as_ref(), deadline).is_ok() {
        let next = shared.timer.now() + CHECK;
        shared.timer.sleep_until(next.min(deadline)).await;
    }
    shared.metric.ended_streams.inc();
    link.break_off();
}

/// Aborts a task when dropped.
struct Guard(AbortHandle);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct State<P: Parts> {
    sent: u64,
    flow: Option<Flow<P>>,
    #[expect(dead_code, reason = "released when it is dropped")]
    guard: Option<Guard>,
}

async fn step<P: Parts>(mut state: State<P>) -> Option<(io::Result<Content>, State<P>)> {
    let mut flow = state.flow.take()?;
    match flow.next(state.sent).await {
        Ok(Some(part)) => {
            state.sent += part.len() as u64;
            state.flow = Some(flow);
            Some((Ok(part), state))
        }
        Ok(None) => {
            let end = flow.end;
            flow.finish(end);
            None
        }
        Err(step) => {
            flow.shared.metric.broken_streams.inc();
            if let Some(link) = &flow.link {
                link.break_off();
            }
            flow.finish(step.end(Span::ZERO));
            let broken = io::Error::other("the answer broke; see Sg-Request-Id");
            Some((Err(broken), state))
        }
    }
}
