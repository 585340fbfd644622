//! Sends of one request that have not ended.
//!
//! The load: the target of a request is slow, and another target has room. The other one may turn out to be
//! unreachable or full, so that the first one stays at work until a response is complete.

use std::sync::atomic::{AtomicBool, Ordering};

use futures_util::{StreamExt, stream::FuturesUnordered};
use sg_clock::Timer;
use sg_place::pool::Choice;
use sg_types::prelude::*;

use crate::{send::SendOutcome, slots};

/// Whether a request that was sent to a target was sent to another one as well.
#[derive(Debug, Clone, Default)]
pub(crate) struct Abandonment(Arc<AtomicBool>);

impl Abandonment {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A send that has not ended.
#[derive(Debug)]
pub(crate) struct OpenSend {
    /// Number of the send among those of the request.
    pub index: usize,
    pub choice: Arc<Choice>,
    pub abandonment: Abandonment,
    /// Slot that a dispatcher granted for the send.
    pub slot: Option<slots::Slot>,
    /// Time at which the target may be abandoned.
    pub patient_until: Option<Instant>,
}

/// The target of the latest send, which has this number, may be abandoned.
#[derive(Debug)]
pub(crate) struct Impatient(pub usize);

/// The open sends of a request; `F` resolves to the number and the outcome of a send. Dropping a send closes its
/// connection.
pub(crate) struct OpenSends<F> {
    futures: FuturesUnordered<F>,
    sends: Vec<OpenSend>,
}

impl<F: Future<Output = (usize, SendOutcome)>> OpenSends<F> {
    pub fn new() -> Self {
        Self {
            futures: FuturesUnordered::new(),
            sends: Vec::new(),
        }
    }

    pub fn push(&mut self, sent: OpenSend, future: F) {
        self.sends.push(sent);
        self.futures.push(future);
    }

    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns whether a target is at work that was not abandoned.
    pub fn has_latest(&self) -> bool {
        self.sends.iter().any(|sent| !sent.abandonment.is_set())
    }

    /// Waits for the end of a send, but not beyond the time at which the latest target may be abandoned; `None` if no
    /// send is open.
    pub async fn next(
        &mut self,
        timer: &Timer,
    ) -> Option<Result<(OpenSend, SendOutcome), Impatient>> {
        let latest = self
            .sends
            .iter_mut()
            .find(|sent| !sent.abandonment.is_set());
        let limited = latest.and_then(|sent| Some((sent.patient_until?, sent)));
        let ended = self.futures.next();
        let (index, outcome) = match limited {
            None => ended.await?,
            Some((until, latest)) => match timer.until(until, ended).await {
                Ok(ended) => ended?,
                Err(_) => {
                    latest.patient_until = None;
                    return Some(Err(Impatient(latest.index)));
                }
            },
        };
        let position = self.sends.iter().position(|sent| sent.index == index)?;
        Some(Ok((self.sends.remove(position), outcome)))
    }

    /// Marks the target of the send with this number as abandoned, and returns the target's choice.
    pub fn abandon(&self, index: usize) -> Option<Arc<Choice>> {
        let sent = self.sends.iter().find(|sent| sent.index == index)?;
        sent.abandonment.set();
        Some(sent.choice.clone())
    }

    /// Ends all sends and returns those whose targets were abandoned.
    pub fn clear(&mut self) -> impl Iterator<Item = OpenSend> {
        self.futures.clear();
        let sends = std::mem::take(&mut self.sends);
        sends.into_iter().filter(|sent| sent.abandonment.is_set())
    }
}
