//! Records of the decisions on individual requests, which instances keep for `/why`.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// An attempt to run a request on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The target.
    pub target: id::Target,
    /// Region of the target.
    pub region: id::Region,
    /// Time from the arrival of the request to the start of the attempt.
    pub started: Span,
    /// Result of the attempt.
    pub end: Arc<str>,
}

/// Record of the decisions on one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request.
    pub request: id::Request,
    /// Revision of the tree that the decisions are based on.
    pub revision: Revision,
    /// Service, if a route matched the request.
    pub service: Option<id::Service>,
    /// Route, if one matched the request.
    pub route: Option<id::Route>,
    /// Client account, if the request carried a valid key.
    pub account: Option<id::Account>,
    /// Attempts in the order in which they started.
    pub attempts: Vec<Attempt>,
    /// Time from the arrival of the request to the first attempt or the refusal.
    pub waited: Span,
    /// Time from the arrival of the request to the head of the response.
    pub took: Span,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
}

/// Record of a request on one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub instance: id::Instance,
    /// Record that the instance keeps.
    pub record: Record,
}

impl fmt::Display for InstanceRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.instance, self.record)
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "request {}: {}, reason '{}', after {}, under revision {}",
            self.request,
            self.outcome,
            self.reason,
            millis(self.took),
            self.revision
        )?;
        match (&self.service, &self.route) {
            (Some(service), Some(route)) => write!(f, "  route '{route}' of service '{service}'")?,
            _ => f.write_str("  no route took it")?,
        }
        match &self.account {
            Some(account) => writeln!(f, ", client account '{account}'")?,
            None => writeln!(f, ", no client account")?,
        }
        if self.attempts.is_empty() {
            let waited = millis(self.waited);
            return writeln!(f, "  no attempt was made; it was decided after {waited}");
        }
        writeln!(f, "  waited {}", millis(self.waited))?;
        for (index, attempt) in self.attempts.iter().enumerate() {
            writeln!(f, "  attempt {}: {attempt}", index + 1)?;
        }
        Ok(())
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "from {} on target '{}' in region '{}', ended '{}'",
            millis(self.started),
            self.target,
            self.region,
            self.end
        )
    }
}

fn millis(span: Span) -> String {
    crate::table::millis(Some(span))
}
