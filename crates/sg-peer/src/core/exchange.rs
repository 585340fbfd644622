//! Building and processing of frames.

use sg_types::prelude::*;

use super::{Core, Effect};
use crate::{
    Frame, Headroom,
    frame::{MAX_SHARES, Rejection},
    fresh,
};

/// The age from which a confirmation is ignored, in milliseconds.
const MAX_CONFIRMATION_AGE_MILLIS: u64 = 60_000;

impl Core {
    /// Builds the next request to `to` and dequeues the messages that it contains.
    pub fn build_request(&mut self, to: &id::Instance, now: Instant) -> Frame {
        self.nonce = self.nonce.wrapping_add(1);
        let nonce = self.nonce;
        let mut frame = self.build_frame(to, nonce, now);
        if !self.members.is_reachable(to) {
            frame.place = Some(self.me.place.clone());
        }
        frame
    }

    /// Processes a request and builds the response.
    ///
    /// # Errors
    /// [`Rejection`] if the frame is refused. A refused frame has no effect.
    pub fn handle_request(
        &mut self,
        frame: Frame,
        now: Instant,
    ) -> Result<(Frame, Vec<Effect>), Rejection> {
        self.check_frame(&frame)?;
        self.members.record_request(&frame, now)?;
        self.record_incoming_call(&frame.from, now);
        let (to, nonce) = (frame.from.clone(), frame.nonce);
        let effects = self.process(frame, None, now);
        let response = self.build_frame(&to, nonce, now);
        // The response may be lost. Its notices count as delivered only when the peer shows that it
        // knows them.
        Ok((response, effects))
    }

    /// Processes the response to `request`, which was sent at `sent`.
    ///
    /// # Errors
    /// [`Rejection`] if the response is refused.
    pub fn handle_response(
        &mut self,
        to: &id::Instance,
        request: &Frame,
        response: Frame,
        sent: Instant,
        now: Instant,
    ) -> Result<Vec<Effect>, Rejection> {
        self.check_frame(&response)?;
        if response.nonce != request.nonce || response.from != *to {
            return Err(Rejection::Crossed);
        }
        self.members.record_response(&response, now);
        self.notices.mark_delivered(to, &request.notices);
        self.finish_call(to, now);
        Ok(self.process(response, Some(sent), now))
    }

    /// Records that an exchange with `to` failed. The share messages in the request are lost, which
    /// the share engine tolerates; the notices are sent again.
    pub fn handle_failure(&mut self, to: &id::Instance, now: Instant) {
        self.members.record_failure(to, now);
        self.finish_call(to, now);
        self.delay_retry(to, now);
    }

    fn build_frame(&mut self, to: &id::Instance, nonce: u32, now: Instant) -> Frame {
        let newest = self.local.newest;
        let differs = self.local.in_force != newest.revision;
        Frame {
            from: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            nonce,
            revision: newest.revision,
            digest_prefix: newest.digest.into(),
            in_force: differs.then_some(self.local.in_force),
            slots: self.local.own_slots.clone(),
            confirmed: self.confirmation(now),
            shares: self.dequeue_messages(to, MAX_SHARES),
            notices: self.notices.pending_for(to),
            hints: self.members.next_hints(to, now),
            place: None,
            leaving: self.leaving,
            headroom: Some(self.headroom).filter(|free| *free != Headroom::FULL),
        }
    }

    /// Adds share messages that were queued after the frame was built.
    pub fn add_shares(&mut self, to: &id::Instance, frame: &mut Frame) {
        let capacity = MAX_SHARES.saturating_sub(frame.shares.len());
        frame.shares.extend(self.dequeue_messages(to, capacity));
    }

    /// Dequeues at most `limit` share messages for `to`.
    fn dequeue_messages(&mut self, to: &id::Instance, limit: usize) -> Vec<sg_share::Message> {
        let Some(queue) = self.queued_messages.get_mut(to) else {
            return Vec::new();
        };
        let count = queue.len().min(limit);
        let messages = queue.drain(..count).collect();
        if queue.is_empty() {
            self.queued_messages.shift_remove(to);
        }
        messages
    }

    /// Processes a checked frame. For a response, `sent` is the time at which its request was sent.
    fn process(&mut self, frame: Frame, sent: Option<Instant>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(sent) = sent {
            self.record_evidence(&frame, sent);
        }
        self.compare_revision(&frame, &mut effects);
        self.members.add_hints(&self.me.instance, &frame.hints, now);
        self.process_notices(frame.notices, &frame.from, now, &mut effects);
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
    fn record_evidence(&mut self, frame: &Frame, sent: Instant) {
        for slot in &frame.slots {
            self.gate.record_vote(*slot, frame.revision, sent);
        }
        let Some(confirmed) = frame.confirmed else {
            return;
        };
        let age = Span::from_millis(confirmed.age_millis.min(MAX_CONFIRMATION_AGE_MILLIS));
        if let Some(at) = fresh::evidence_time(sent, age)
            .filter(|_| age < Span::from_millis(MAX_CONFIRMATION_AGE_MILLIS))
        {
            self.gate.record_confirmation(frame.revision, at);
        }
    }

    /// Requests a newer tree from the sender, and counts a conflict if the digests differ.
    fn compare_revision(&mut self, frame: &Frame, effects: &mut Vec<Effect>) {
        let newest_known = self.local.newest;
        if frame.revision > newest_known.revision {
            effects.push(Effect::Fetch {
                from: frame.from.clone(),
                revision: frame.revision,
            });
        }
        if frame.revision == newest_known.revision
            && frame.digest_prefix != newest_known.digest.into()
        {
            self.counts.conflicts += 1;
        }
    }
}
