//! A bounded in-memory journal of the decisions for each request, for `sg why`.

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
    /// Creates a journal of the latest `most` records.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            records: Mutex::new(VecDeque::with_capacity(most)),
            most,
        }
    }

    /// Adds a record, evicting the oldest one if the journal is full.
    pub fn add(&self, record: Record) {
        let mut records = self.records.lock();
        let oldest = (records.len() >= self.most)
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
        let found = records.iter().rev().find(|one| one.request == *request);
        found.cloned()
    }
}
