//! Collects data about a request while it is handled, for the journal and the counters.

use sg_types::prelude::*;

use crate::{
    journal::{Attempt, Record},
    key::Holder,
    settings::RouteSettings,
};

/// The data collected about one request.
#[derive(Debug)]
pub struct Trace {
    /// The request id.
    pub request: id::Request,
    /// The time of arrival.
    pub arrived: Instant,
    /// The revision of the tree in force for the request.
    pub revision: Revision,
    /// The service and the route.
    pub route: Option<(id::Service, id::Route)>,
    /// The client account.
    pub account: Option<id::Account>,
    /// The attempts.
    pub attempts: Vec<Attempt>,
    /// The start of the run; `None` if the request did not run.
    pub run_started: Option<Instant>,
}

impl Trace {
    /// Creates the trace of a request on its arrival.
    #[must_use]
    pub fn new(request: id::Request, arrived: Instant) -> Self {
        Self {
            request,
            arrived,
            revision: Revision::default(),
            route: None,
            account: None,
            attempts: Vec::new(),
            run_started: None,
        }
    }

    /// Sets the service and the route.
    pub fn set_route(&mut self, settings: &RouteSettings) {
        self.route = Some((settings.service.clone(), settings.route.clone()));
    }

    /// Sets the client account from the key's holder.
    pub fn set_holder(&mut self, holder: Option<&Holder>) {
        self.account = holder.map(|holder| holder.account.clone());
    }

    /// Returns the time from arrival to the start of the run, or to `now` if the request did not
    /// run.
    #[must_use]
    pub fn waited(&self, now: Instant) -> Span {
        self.run_started.unwrap_or(now).since(self.arrived)
    }

    /// Converts the trace to a record for the journal.
    #[must_use]
    pub fn into_record(self, outcome: Outcome, reason: Reason, now: Instant) -> Record {
        let took = now.since(self.arrived);
        let waited = self.waited(now);
        let (service, route) = self.route.unzip();
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
