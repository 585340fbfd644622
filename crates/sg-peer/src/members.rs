//! Membership table, built from the instance list, direct contact, and hints from other instances.
//!
//! Direct contact takes precedence over the list. Stale, missing and duplicate entries of the list
//! are harmless: an instance that answers stays, and one that does not answer is suspect even if it
//! is listed.

use sg_types::prelude::*;

use crate::{
    Headroom,
    contact::Candidate,
    frame::{Frame, Hint, MAX_HINTS, Place, Rejection},
    list::Listed,
    member::{GONE_AFTER, HeadroomReport, Member, Record, Status},
};

/// The maximum number of instances in the table.
const MAX_MEMBERS: usize = 16_384;
/// The maximum number of instances in the table that are not listed.
const MAX_UNLISTED: usize = 256;
/// The age from which a hint is ignored.
const MAX_HINT_AGE: Span = GONE_AFTER;

/// The table of the other instances.
#[derive(Debug, Default)]
pub struct Table {
    records: IndexMap<id::Instance, Record>,
    next_hint: usize,
}

impl Table {
    /// Updates the table from a read of the instance list.
    pub fn update_from_list(&mut self, me: &id::Instance, entries: &[Listed], now: Instant) {
        let mut listed_names = IndexSet::new();
        for entry in entries.iter().filter(|entry| entry.instance != *me) {
            let is_first = listed_names.insert(entry.instance.clone());
            let full = self.records.len() >= MAX_MEMBERS;
            if full && !self.records.contains_key(&entry.instance) {
                continue;
            }
            let record = self
                .records
                .entry(entry.instance.clone())
                .or_insert_with(|| Record::new(entry.place.clone(), now));
            let in_contact = record.status(now) == Status::Alive && record.last_heard.is_some();
            if !in_contact && (is_first || record.failing_since.is_some()) {
                record.place = entry.place.clone();
            }
            record.listed = true;
            record.leaving = match is_first {
                true => entry.leaving,
                false => record.leaving && entry.leaving,
            };
        }
        for (instance, record) in &mut self.records {
            record.listed = listed_names.contains(instance);
        }
    }

    /// Records a request received from another instance.
    ///
    /// # Errors
    /// [`Rejection::Replaced`] if the request comes from an earlier incarnation of its sender.
    pub fn record_request(&mut self, frame: &Frame, now: Instant) -> Result<(), Rejection> {
        let Some(record) = self.record_for(frame, now) else {
            return Ok(());
        };
        if record.is_retired(frame.incarnation) {
            return Err(Rejection::Replaced);
        }
        update_record(record, frame, now);
        Ok(())
    }

    /// Records a response. The request was sent to the instance's address, so the incarnation that
    /// responds is the current one.
    pub fn record_response(&mut self, frame: &Frame, now: Instant) {
        if let Some(record) = self.records.get_mut(&frame.from) {
            update_record(record, frame, now);
        }
    }

    /// Returns the record of a frame's sender, creating it if the frame states its place.
    fn record_for(&mut self, frame: &Frame, now: Instant) -> Option<&mut Record> {
        if !self.records.contains_key(&frame.from) {
            let place = frame.place.clone()?;
            self.add_unlisted(&frame.from, place, now)?;
        }
        let record = self.records.get_mut(&frame.from)?;
        if let Some(place) = &frame.place {
            record.place = place.clone();
        }
        Some(record)
    }

    /// Adds an instance that is not listed, unless there are too many.
    fn add_unlisted(&mut self, instance: &id::Instance, place: Place, now: Instant) -> Option<()> {
        let unlisted = self.records.values().filter(|record| !record.listed);
        if unlisted.count() >= MAX_UNLISTED {
            return None;
        }
        let record = Record::new(place, now);
        self.records.insert(instance.clone(), record);
        Some(())
    }

    /// Records that an exchange with `instance` failed.
    pub fn record_failure(&mut self, instance: &id::Instance, now: Instant) {
        if let Some(record) = self.records.get_mut(instance) {
            record.failing_since.get_or_insert(now);
        }
    }

    /// Records that an instance announced its stop.
    pub fn record_stopping(
        &mut self,
        instance: &id::Instance,
        incarnation: Incarnation,
        within: Span,
        now: Instant,
    ) {
        let record = self.records.get_mut(instance);
        if let Some(record) = record.filter(|record| record.incarnation == Some(incarnation)) {
            record.stops_at.get_or_insert(now + within);
        }
    }

    /// Adds unknown instances from the hints of a peer. Known instances are not changed.
    pub fn add_hints(&mut self, me: &id::Instance, hints: &[Hint], now: Instant) {
        for hint in hints {
            let is_old =
                Span::from_millis(hint.age_millis.min(u64::from(u32::MAX))) >= MAX_HINT_AGE;
            if is_old || hint.instance == *me || self.records.contains_key(&hint.instance) {
                continue;
            }
            if self
                .add_unlisted(&hint.instance, hint.place.clone(), now)
                .is_some()
                && let Some(record) = self.records.get_mut(&hint.instance)
            {
                record.headroom_report = HeadroomReport::new(hint.headroom, now);
            }
        }
    }

    /// Returns at most [`MAX_HINTS`] hints for a peer about instances that are alive and not listed.
    /// Each call starts at the next instance of the table.
    pub fn next_hints(&mut self, peer: &id::Instance, now: Instant) -> Vec<Hint> {
        let total = self.records.len();
        let start = self.next_hint;
        self.next_hint = start.wrapping_add(1);
        (0..total.min(MAX_HINTS))
            .filter_map(|step| self.records.get_index((start + step) % total))
            .filter(|(instance, record)| *instance != peer && !record.listed)
            .filter(|(_, record)| record.status(now) == Status::Alive)
            .filter_map(|(instance, record)| {
                Some(Hint {
                    instance: instance.clone(),
                    incarnation: record.incarnation?,
                    place: record.place.clone(),
                    age_millis: now.since(record.last_heard?).as_millis(),
                    headroom: Some(record.headroom_report.headroom(now).into())
                        .filter(|free| *free != Headroom::FULL),
                })
            })
            .collect()
    }

    /// Removes instances that are gone and have been silent for twice [`GONE_AFTER`].
    pub fn expire(&mut self, now: Instant) {
        let retention = GONE_AFTER + GONE_AFTER;
        self.records.retain(|_, record| {
            let silence = now.since(record.last_heard.unwrap_or(record.added_at));
            record.listed || record.status(now) != Status::Gone || silence < retention
        });
    }

    /// Returns the location and addresses of `instance`.
    #[must_use]
    pub fn place(&self, instance: &id::Instance) -> Option<&Place> {
        self.records.get(instance).map(|record| &record.place)
    }

    /// Returns whether `instance` was heard from and its last exchange did not fail.
    #[must_use]
    pub fn is_reachable(&self, instance: &id::Instance) -> bool {
        let record = self.records.get(instance);
        record.is_some_and(|record| record.last_heard.is_some() && record.failing_since.is_none())
    }

    /// Returns snapshots of all instances as of `now`.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Vec<Member> {
        self.records
            .iter()
            .map(|(instance, record)| Member {
                instance: instance.clone(),
                incarnation: record.incarnation,
                place: record.place.clone(),
                status: record.status(now),
                listed: record.listed,
                revision: record.revision,
                in_force: record.in_force,
                slots: record.slots.clone(),
                headroom: record.headroom_report.headroom(now),
                heard: record.last_heard.map(|heard| now.since(heard)),
            })
            .collect()
    }

    /// Returns the status, place and incarnation of `instance` as of `now`.
    #[must_use]
    pub fn member(
        &self,
        instance: &id::Instance,
        now: Instant,
    ) -> Option<(Status, &Place, Option<Incarnation>)> {
        let record = self.records.get(instance)?;
        Some((record.status(now), &record.place, record.incarnation))
    }

    /// Returns the instances to choose contacts from.
    #[must_use]
    pub fn candidates(&self, now: Instant) -> Vec<Candidate> {
        self.with_status(&[Status::Alive, Status::Listed, Status::Leaving], now)
            .collect()
    }

    /// Returns the suspect instances, which may have recovered.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<Candidate> {
        self.with_status(&[Status::Suspect], now).collect()
    }

    fn with_status<'a>(
        &'a self,
        wanted: &'a [Status],
        now: Instant,
    ) -> impl Iterator<Item = Candidate> + 'a {
        self.records
            .iter()
            .filter(move |(_, record)| wanted.contains(&record.status(now)))
            .map(|(instance, record)| Candidate {
                instance: instance.clone(),
                domain: record.place.domain.clone(),
            })
    }
}

/// Updates a record from a frame of its instance.
fn update_record(record: &mut Record, frame: &Frame, now: Instant) {
    record.set_incarnation(frame.incarnation);
    record.last_heard = Some(now);
    record.failing_since = None;
    record.slots.clone_from(&frame.slots);
    record.revision = frame.revision;
    record.in_force = frame.in_force.unwrap_or(frame.revision);
    record.leaving |= frame.leaving;
    record.headroom_report = HeadroomReport::new(frame.headroom, now);
}
