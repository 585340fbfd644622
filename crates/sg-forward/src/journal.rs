//! A bounded in-memory journal of the decisions for each request, for `sg why`.

use std::collections::VecDeque;

use parking_lot::Mutex;
use sg_types::prelude::*;

pub use sg_report::why::{Attempt, Record};

/// The latest records.
#[derive(Debug)]
pub struct Journal {
    records: Mutex<VecDeque<Record>>,
    capacity: usize,
}

impl Journal {
    /// Creates a journal of the latest `capacity` records.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            records: Mutex::new(VecDeque::with_capacity(capacity)),
            capacity,
        }
    }

    /// Adds a record, evicting the oldest one if the journal is full.
    pub fn push(&self, record: Record) {
        let mut records = self.records.lock();
        let oldest = (records.len() >= self.capacity)
            .then(|| records.pop_front())
            .flatten();
        records.push_back(record);
        drop(records);
        drop(oldest);
    }

    /// Returns the record of `request`, if the journal still has it.
    #[must_use]
    pub fn find(&self, request: &id::Request) -> Option<Record> {
        let records = self.records.lock();
        let found = records
            .iter()
            .rev()
            .find(|record| record.request == *request);
        found.cloned()
    }
}
