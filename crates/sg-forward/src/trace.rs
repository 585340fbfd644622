//! What is noted of a request on its way, for the journal and the sums.

use sg_types::prelude::*;

use crate::{
    journal::{Attempt, Record},
    key::Holder,
    report::Entry,
    terms::Terms,
};

/// The notes of one request.
#[derive(Debug)]
pub struct Trace {
    /// The request.
    pub request: id::Request,
    /// When it arrived.
    pub arrived: Instant,
    /// The revision it was decided under.
    pub revision: Revision,
    /// The service and the route.
    pub place: Option<(id::Service, id::Route)>,
    /// The client account.
    pub account: Option<id::Account>,
    /// The attempts.
    pub attempts: Vec<Attempt>,
    /// When the first attempt started.
    pub started: Option<Instant>,
}

impl Trace {
    /// The notes of a request that arrives.
    #[must_use]
    pub fn new(request: id::Request, arrived: Instant) -> Self {
        Self {
            request,
            arrived,
            revision: Revision::default(),
            place: None,
            account: None,
            attempts: Vec::new(),
            started: None,
        }
    }

    /// Notes the route.
    pub fn route(&mut self, terms: &Terms) {
        self.place = Some((terms.service.clone(), terms.route.clone()));
    }

    /// Notes whose key came with the request.
    pub fn holder(&mut self, holder: Option<&Holder>) {
        self.account = holder.map(|holder| holder.account.clone());
    }

    /// What the sums get.
    #[must_use]
    pub fn entry(&self, outcome: Outcome, reason: Reason, now: Instant) -> Entry {
        let took = now.since(self.arrived);
        Entry {
            outcome,
            reason,
            attempts: self.attempts.len() as u64,
            waited: self.waited().unwrap_or(took),
            took,
        }
    }

    /// What the journal gets.
    #[must_use]
    pub fn into_record(self, outcome: Outcome, reason: Reason, now: Instant) -> Record {
        let took = now.since(self.arrived);
        let waited = self.waited().unwrap_or(took);
        let (service, route) = self.place.unzip();
        Record {
            request: self.request,
            revision: self.revision,
            service,
            route,
            account: self.account,
            attempts: self.attempts,
            waited,
            took,
            outcome,
            reason,
        }
    }

    fn waited(&self) -> Option<Span> {
        self.started.map(|started| started.since(self.arrived))
    }
}
