//! A bounded memory of what was decided for each request, for `sg why`.

use std::collections::VecDeque;

use parking_lot::Mutex;
use sg_types::prelude::*;

pub use sg_report::why::{Attempt, Record};

/// The latest records.
#[derive(Debug)]
pub struct Journal {
    records: Mutex<VecDeque<Record>>,
    most: usize,
}

impl Journal {
    /// A journal of the latest `most` records.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            records: Mutex::new(VecDeque::with_capacity(most)),
            most,
        }
    }

    /// Adds a record, in place of the oldest one if there is no room.
    pub fn add(&self, record: Record) {
        let mut records = self.records.lock();
        let oldest = (records.len() >= self.most)
            .then(|| records.pop_front())
            .flatten();
        records.push_back(record);
        drop(records);
        drop(oldest);
    }

    /// The record of `request`, if it is kept.
    #[must_use]
    pub fn find(&self, request: &id::Request) -> Option<Record> {
        let records = self.records.lock();
        let found = records.iter().rev().find(|one| one.request == *request);
        found.cloned()
    }
}
