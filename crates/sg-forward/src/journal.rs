//! A bounded memory of what was decided for each request, for `sg why`.

use std::collections::VecDeque;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// One attempt of a [`Record`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The target.
    pub target: id::Target,
    /// The region it is in.
    pub region: id::Region,
    /// From the request's arrival to the attempt's start.
    pub started: Span,
    /// How the attempt ended.
    pub end: Arc<str>,
}

/// What was decided for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: id::Request,
    /// The revision of the tree that it was decided under.
    pub revision: Revision,
    /// The service, if a route took the request.
    pub service: Option<id::Service>,
    /// The route.
    pub route: Option<id::Route>,
    /// The client account, if a key that works came with the request.
    pub account: Option<id::Account>,
    /// The attempts, in order.
    pub attempts: Vec<Attempt>,
    /// From arrival to the first attempt or the refusal.
    pub waited: Span,
    /// From arrival to the answer's head.
    pub took: Span,
    /// The outcome.
    pub outcome: Outcome,
    /// The reason.
    pub reason: Reason,
}

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
