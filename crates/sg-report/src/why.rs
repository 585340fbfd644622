//! What was decided for one request, as an instance remembers it.

use std::fmt;

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

/// What one instance knows of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// The instance.
    pub instance: id::Instance,
    /// What it remembers.
    pub record: Record,
}

impl fmt::Display for Knowledge {
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
