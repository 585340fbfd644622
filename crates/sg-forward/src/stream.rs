//! Passes a large answer on while it arrives, and breaks the caller's connection if it can't end well.

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

/// A large answer on its way, with everything that its end releases.
pub struct Flow<P: Parts> {
    /// What the request path shares.
    pub shared: Arc<Shared<P>>,
    /// What the tree said of the request.
    pub terms: Terms,
    /// Whose key came with the request.
    pub holder: Option<Holder>,
    /// What bounds the answer.
    pub bounds: Bounds,
    /// The part that arrived already.
    pub first: Content,
    /// The rest.
    pub rest: reqwest::Response,
    /// The attempt, unless the answer comes from another instance.
    pub attempt: Option<<P::Steer as Steer>::Attempt>,
    /// How the attempt ends if the answer does.
    pub end: End,
    /// The caller's connection.
    pub link: Option<Arc<Link>>,
    /// The right to work.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub permit: Option<Permit>,
    /// The request in hand.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub work: Work,
}

impl<P: Parts> Flow<P> {
    /// The body that a caller gets.
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

    /// Whether the key still works; a stream of a withdrawn one ends.
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

/// How often a stream's key is checked while its caller reads nothing.
const CHECK: Span = Span::from_secs(1);

/// Breaks a stream whose caller reads too slowly for its deadline, or whose key was withdrawn.
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

/// Ends the watch of a stream with the stream.
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
