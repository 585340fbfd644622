//! What is noted of a request on its way, for the journal and the sums.

use sg_types::prelude::*;

use crate::{
    journal::{Attempt, Record},
    key::Holder,
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

    /// From arrival to the first attempt, or to `now` if none was made.
    #[must_use]
    pub fn waited(&self, now: Instant) -> Span {
        self.started.unwrap_or(now).since(self.arrived)
    }

    /// What the journal gets.
    #[must_use]
    pub fn into_record(self, outcome: Outcome, reason: Reason, now: Instant) -> Record {
        let took = now.since(self.arrived);
        let waited = self.waited(now);
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
}
