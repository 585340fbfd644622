//! Building and processing of frames.

use sg_types::prelude::*;

use super::{Core, Effect};
use crate::{
    Frame, Headroom,
    frame::{MAX_SHARES, Refused},
    fresh,
};

/// The age from which a confirmation is ignored, in milliseconds.
const MAX_AGE_MILLIS: u64 = 60_000;

impl Core {
    /// Builds the next request to `to` and dequeues the messages that it contains.
    pub fn request(&mut self, to: &id::Instance, now: Instant) -> Frame {
        self.nonce = self.nonce.wrapping_add(1);
        let nonce = self.nonce;
        let mut frame = self.frame(to, nonce, now);
        if !self.members.is_known(to) {
            frame.place = Some(self.me.place.clone());
        }
        frame
    }

    /// Processes a request and builds the response.
    ///
    /// # Errors
    /// [`Refused`] if the frame is refused. A refused frame has no effect.
    pub fn answer(&mut self, frame: Frame, now: Instant) -> Result<(Frame, Vec<Effect>), Refused> {
        self.check(&frame)?;
        self.members.heard(&frame, now)?;
        self.was_called(&frame.from, now);
        let (to, nonce) = (frame.from.clone(), frame.nonce);
        let effects = self.take(frame, None, now);
        let answer = self.frame(&to, nonce, now);
        // The response may be lost. Its notices count as delivered only when the peer shows that it
        // knows them.
        Ok((answer, effects))
    }

    /// Processes the response to `request`, which was sent at `sent`.
    ///
    /// # Errors
    /// [`Refused`] if the response is refused.
    pub fn answered(
        &mut self,
        to: &id::Instance,
        request: &Frame,
        answer: Frame,
        sent: Instant,
        now: Instant,
    ) -> Result<Vec<Effect>, Refused> {
        self.check(&answer)?;
        if answer.nonce != request.nonce || answer.from != *to {
            return Err(Refused::Crossed);
        }
        self.members.answered(&answer, now);
        self.board.told(to, &request.notices);
        self.done(to, now);
        Ok(self.take(answer, Some(sent), now))
    }

    /// Records that an exchange with `to` failed. The share messages in the request are lost, which
    /// the share engine tolerates; the notices are sent again.
    pub fn failed(&mut self, to: &id::Instance, now: Instant) {
        self.members.failed(to, now);
        self.done(to, now);
        self.hold(to, now);
    }

    fn frame(&mut self, to: &id::Instance, nonce: u32, now: Instant) -> Frame {
        let newest = self.local.newest;
        let differs = self.local.in_force != newest.revision;
        Frame {
            from: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            nonce,
            revision: newest.revision,
            mark: newest.digest.into(),
            in_force: differs.then_some(self.local.in_force),
            slots: self.local.own_slots.clone(),
            confirmed: self.confirmation(now),
            shares: self.shares_for(to, MAX_SHARES),
            notices: self.board.pending(to),
            hints: self.members.some_hints(to, now),
            place: None,
            leaving: self.leaving,
            headroom: Some(self.headroom).filter(|free| *free != Headroom::FULL),
        }
    }

    /// Adds share messages that were queued after the frame was built.
    pub fn add_shares(&mut self, to: &id::Instance, frame: &mut Frame) {
        let room = MAX_SHARES.saturating_sub(frame.shares.len());
        frame.shares.extend(self.shares_for(to, room));
    }

    fn shares_for(&mut self, to: &id::Instance, most: usize) -> Vec<sg_share::Message> {
        let Some(waiting) = self.waiting.get_mut(to) else {
            return Vec::new();
        };
        let count = waiting.len().min(most);
        let messages = waiting.drain(..count).collect();
        if waiting.is_empty() {
            self.waiting.shift_remove(to);
        }
        messages
    }

    /// Processes a checked frame. For a response, `sent` is the time at which its request was sent.
    fn take(&mut self, frame: Frame, sent: Option<Instant>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(sent) = sent {
            self.weigh(&frame, sent);
        }
        self.compare(&frame, &mut effects);
        self.members.hints(&self.me.instance, &frame.hints, now);
        self.deliver(frame.notices, &frame.from, now, &mut effects);
        if !frame.shares.is_empty() {
            effects.push(Effect::Shares {
                from: frame.from,
                incarnation: frame.incarnation,
                messages: frame.shares,
            });
        }
        effects
    }

    /// Records the freshness evidence in a response.
    fn weigh(&mut self, frame: &Frame, sent: Instant) {
        for slot in &frame.slots {
            self.gate.vote(*slot, frame.revision, sent);
        }
        let Some(confirmed) = frame.confirmed else {
            return;
        };
        let age = Span::from_millis(confirmed.age_millis.min(MAX_AGE_MILLIS));
        if let Some(at) =
            fresh::dated(sent, age).filter(|_| age < Span::from_millis(MAX_AGE_MILLIS))
        {
            self.gate.confirm(frame.revision, at);
        }
    }

    fn compare(&mut self, frame: &Frame, effects: &mut Vec<Effect>) {
        let ours = self.local.newest;
        if frame.revision > ours.revision {
            effects.push(Effect::Fetch {
                from: frame.from.clone(),
                revision: frame.revision,
            });
        }
        if frame.revision == ours.revision && frame.mark != ours.digest.into() {
            self.counts.conflicts += 1;
        }
    }
}
