//! Streams a large response to the caller, and aborts the caller's connection if the response can't
//! complete.

use std::io;

use bytes::Bytes as Content;
use futures_util::stream;
use sg_steer::{Attempt, Completion, Selector};
use sg_types::prelude::*;
use tokio::task::AbortHandle;

use crate::{
    caller_connection::CallerConnection,
    dependencies::DependencySet,
    history::Failure,
    key::Holder,
    limit::Permit,
    response::{self, Limits},
    settings::RouteSettings,
    shared::Shared,
    shutdown::InFlightGuard,
};

/// A large response in transit, with the resources to release when it ends.
pub struct ResponseStream<P: DependencySet> {
    /// The shared state of the request path.
    pub shared: Arc<Shared<P>>,
    /// The settings of the request's route.
    pub settings: RouteSettings,
    /// The holder of the request's key.
    pub holder: Option<Holder>,
    /// The limits on the response.
    pub limits: Limits,
    /// The bytes received so far.
    pub first: Content,
    /// The rest of the response.
    pub rest: reqwest::Response,
    /// The attempt; `None` if the response comes from another instance.
    pub attempt: Option<<P::Selector as Selector>::Attempt>,
    /// The completion to report for the attempt if the response completes.
    pub completion: Completion,
    /// The caller's connection.
    pub caller: Option<Arc<CallerConnection>>,
    /// The concurrency permit.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub permit: Option<Permit>,
    /// The count as a request in flight.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub in_flight_guard: InFlightGuard,
}

impl<P: DependencySet> ResponseStream<P> {
    /// Converts the stream to the body of the caller's response.
    #[must_use]
    pub fn into_body(self) -> poem::Body {
        let guard = self.caller.clone().map(|caller| {
            let task = abort_when_disallowed(
                self.shared.clone(),
                self.settings.clone(),
                self.holder.clone(),
                self.limits.deadline,
                caller,
            );
            AbortOnDrop(tokio::spawn(task).abort_handle())
        });
        let state = StreamState {
            sent: 0,
            stream: Some(self),
            guard,
        };
        poem::Body::from_bytes_stream(stream::unfold(state, next_item))
    }

    async fn next(&mut self, sent: u64) -> Result<Option<Content>, Failure> {
        self.check_key()?;
        if !self.first.is_empty() {
            return Ok(Some(std::mem::take(&mut self.first)));
        }
        let chunk = response::next_chunk(&self.shared.timer, &mut self.rest, self.limits).await?;
        self.check_key()?;
        let size = chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        if sent + size > self.limits.max_size.get() {
            return Err(Failure::Invalid);
        }
        Ok(chunk)
    }

    /// Checks that the key is still valid; the stream of a withdrawn key ends.
    fn check_key(&self) -> Result<(), Failure> {
        let allowed =
            self.shared
                .check_allowed(&self.settings, self.holder.as_ref(), self.limits.deadline);
        match allowed {
            Ok(()) => Ok(()),
            Err(Reason::Deadline) => Err(Failure::DeadlinePassed),
            Err(_) => {
                self.shared.metrics.ended_streams.inc();
                Err(Failure::Invalid)
            }
        }
    }

    fn finish(mut self, completion: Completion) {
        let now = self.shared.timer.now();
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(completion, now);
        }
    }
}

/// The interval of key checks while the caller reads nothing.
const KEY_CHECK_INTERVAL: Span = Span::from_secs(1);

/// Aborts a stream whose caller reads too slowly for its deadline, or whose key was withdrawn.
async fn abort_when_disallowed<P: DependencySet>(
    shared: Arc<Shared<P>>,
    settings: RouteSettings,
    holder: Option<Holder>,
    deadline: Instant,
    caller: Arc<CallerConnection>,
) {
    while shared
        .check_allowed(&settings, holder.as_ref(), deadline)
        .is_ok()
    {
        let next = shared.timer.now() + KEY_CHECK_INTERVAL;
        shared.timer.sleep_until(next.min(deadline)).await;
    }
    shared.metrics.ended_streams.inc();
    caller.abort();
}

/// Aborts a task when dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct StreamState<P: DependencySet> {
    sent: u64,
    stream: Option<ResponseStream<P>>,
    #[expect(dead_code, reason = "released when it is dropped")]
    guard: Option<AbortOnDrop>,
}

async fn next_item<P: DependencySet>(
    mut state: StreamState<P>,
) -> Option<(io::Result<Content>, StreamState<P>)> {
    let mut stream = state.stream.take()?;
    match stream.next(state.sent).await {
        Ok(Some(chunk)) => {
            state.sent += chunk.len() as u64;
            state.stream = Some(stream);
            Some((Ok(chunk), state))
        }
        Ok(None) => {
            let completion = stream.completion;
            stream.finish(completion);
            None
        }
        Err(failure) => {
            stream.shared.metrics.broken_streams.inc();
            if let Some(caller) = &stream.caller {
                caller.abort();
            }
            stream.finish(failure.completion(Span::ZERO));
            let error =
                io::Error::other("response aborted; look up its Sg-Request-Id with `sg why`");
            Some((Err(error), state))
        }
    }
}
