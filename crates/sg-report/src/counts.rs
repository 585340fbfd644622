//! Monotonic counters of requests, which can be merged over instances.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::Latency;

/// Approximate size of a map entry, without the heap memory that the value owns.
const ENTRY_BYTES: usize = 64;

/// Counters of the requests of one client account, or of callers on open routes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Account {
    /// Number of requests that ran.
    pub ran: u64,
    /// Number of requests whose outcome is unknown.
    pub unknown: u64,
    /// Number of requests that were refused and did not run, by reason.
    pub refused: IndexMap<Reason, u64>,
    /// Latencies of requests that ran.
    pub latency: Latency,
    /// Number of attempts to send a request to a target, including retries.
    #[serde(default)]
    pub attempts: u64,
    /// Times from the arrival of a request to its first attempt, or to its refusal if no attempt
    /// was made.
    #[serde(default)]
    pub waited: Latency,
}

/// A service and a region, the key by which traffic is counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
}

/// Counters of one instance, or the sum over several instances.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Counters by client account; `open` for callers on open routes without a key.
    pub accounts: IndexMap<Arc<str>, Account>,
    /// Number of requests sent to targets, by service and region. A request counts in the region
    /// of its last attempt.
    #[serde(with = "places")]
    pub traffic: IndexMap<Place, u64>,
}

impl Account {
    fn merge(&mut self, other: &Self) {
        self.ran += other.ran;
        self.unknown += other.unknown;
        for (reason, count) in &other.refused {
            *self.refused.entry(*reason).or_default() += count;
        }
        self.latency.merge(&other.latency);
        self.attempts += other.attempts;
        self.waited.merge(&other.waited);
    }

    fn since(&self, earlier: &Self) -> Self {
        let old = |reason| earlier.refused.get(reason).copied().unwrap_or_default();
        Self {
            ran: self.ran.saturating_sub(earlier.ran),
            unknown: self.unknown.saturating_sub(earlier.unknown),
            refused: self
                .refused
                .iter()
                .map(|(reason, count)| (*reason, count.saturating_sub(old(reason))))
                .filter(|(_, count)| *count > 0)
                .collect(),
            latency: self.latency.since(&earlier.latency),
            attempts: self.attempts.saturating_sub(earlier.attempts),
            waited: self.waited.since(&earlier.waited),
        }
    }

    fn is_zero(&self) -> bool {
        self.ran == 0
            && self.unknown == 0
            && self.refused.values().all(|count| *count == 0)
            && self.latency.count() == 0
    }

    fn size_bytes(&self) -> usize {
        let refused = self.refused.len() * ENTRY_BYTES;
        ENTRY_BYTES + size_of::<Self>() + refused + self.latency.size_bytes()
    }

    /// Returns the number of requests, without requests that only fetched a ticket.
    #[must_use]
    pub fn total(&self) -> u64 {
        let refused = self.refused.iter();
        let refused: u64 = refused
            .filter(|(reason, _)| **reason != Reason::TicketMissing)
            .map(|(_, count)| count)
            .sum();
        self.ran + self.unknown + refused
    }

    /// Returns the fraction of all requests that ran, or `None` without requests.
    #[must_use]
    pub fn goodput(&self) -> Option<f64> {
        match self.total() {
            0 => None,
            total => Some(self.ran as f64 / total as f64),
        }
    }
}

impl Counts {
    /// Adds the counts of `other` to these counts.
    pub fn merge(&mut self, other: &Self) {
        for (name, account) in &other.accounts {
            self.accounts
                .entry(name.clone())
                .or_default()
                .merge(account);
        }
        for (place, count) in &other.traffic {
            *self.traffic.entry(place.clone()).or_default() += count;
        }
    }

    /// Returns the increase since `earlier`, an earlier state of the same counters.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let none = Account::default();
        let accounts = self.accounts.iter().map(|(name, account)| {
            let old = earlier.accounts.get(name).unwrap_or(&none);
            (name.clone(), account.since(old))
        });
        let traffic = self.traffic.iter().map(|(place, count)| {
            let old = earlier.traffic.get(place).copied().unwrap_or_default();
            (place.clone(), count.saturating_sub(old))
        });
        Self {
            accounts: accounts.collect(),
            traffic: traffic.collect(),
        }
    }

    /// Removes client accounts and places without requests.
    #[must_use]
    pub fn without_zeros(mut self) -> Self {
        self.accounts.retain(|_, account| !account.is_zero());
        self.traffic.retain(|_, count| *count > 0);
        self
    }

    /// Returns the approximate memory use in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let accounts: usize = self.accounts.values().map(Account::size_bytes).sum();
        let places = self.traffic.len() * ENTRY_BYTES;
        size_of::<Self>() + accounts + places
    }

    /// Returns the number of refusals by reason, over all client accounts.
    #[must_use]
    pub fn refusals(&self) -> IndexMap<Reason, u64> {
        let mut sum = IndexMap::new();
        for account in self.accounts.values() {
            for (reason, count) in &account.refused {
                *sum.entry(*reason).or_default() += count;
            }
        }
        sum
    }

    /// Returns the fraction of the service's traffic in the region of `place`, or `None` if the
    /// service had no traffic.
    #[must_use]
    pub fn traffic_fraction(&self, place: &Place) -> Option<f64> {
        let is_same_service = |other: &&Place| other.service == place.service;
        let total: u64 = self
            .traffic
            .iter()
            .filter(|(other, _)| is_same_service(other))
            .map(|(_, count)| count)
            .sum();
        let in_region = self.traffic.get(place).copied().unwrap_or_default();
        (total > 0).then(|| in_region as f64 / total as f64)
    }
}

/// Serializes the counters by place as a list, because a JSON key must be a string.
mod places {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use sg_types::prelude::IndexMap;

    use super::Place;

    #[derive(Serialize, Deserialize)]
    struct Row {
        #[serde(flatten)]
        place: Place,
        requests: u64,
    }

    pub(super) fn serialize<S: Serializer>(
        traffic: &IndexMap<Place, u64>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(traffic.iter().map(|(place, requests)| Row {
            place: place.clone(),
            requests: *requests,
        }))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<IndexMap<Place, u64>, D::Error> {
        let rows = Vec::<Row>::deserialize(deserializer)?;
        Ok(rows
            .into_iter()
            .map(|row| (row.place, row.requests))
            .collect())
    }
}
