//! The entries, leases and history of the store. Methods take the current time as an argument.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use sg_store::MAX_VALUE;
use sg_types::time::{Instant, Span};

use super::message::{
    Blob, Compare, Comparison, Event, EventKind, Field, Header, Int, KeyValue, LeaseResponse, Op,
    OpResponse, Put, Range, RangeResponse, Refusal, Txn, TxnResponse, WatchCreate, WriteResponse,
};

/// The number of changes kept for watches that start at a past revision.
const MAX_HISTORY: usize = 20_000;

/// The range end that selects all keys from the start of the range.
const UNBOUNDED_END: &[u8] = b"\0";

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Span,
    expires_at: Instant,
}

/// The entries, leases and history of the store.
#[derive(Debug, Default)]
pub struct State {
    revision: i64,
    next_lease: i64,
    entries: BTreeMap<Blob, KeyValue>,
    leases: IndexMap<i64, Lease>,
    history: Vec<Event>,
}

fn in_range(key: &Blob, range_end: &Blob, candidate: &Blob) -> bool {
    if range_end.0.is_empty() {
        return candidate == key;
    }
    candidate >= key && (range_end.0.as_ref() == UNBOUNDED_END || candidate < range_end)
}

impl State {
    /// Returns a header with the current revision.
    #[must_use]
    pub fn header(&self) -> Header {
        Header {
            revision: Int(self.revision),
        }
    }

    /// Reads a range of keys.
    #[must_use]
    pub fn range(&self, range: &Range) -> RangeResponse {
        let all: Vec<_> = self
            .entries
            .range(range.key.clone()..)
            .take_while(|(key, _)| in_range(&range.key, &range.range_end, key))
            .map(|(_, entry)| entry.clone())
            .collect();
        let count = Int(all.len() as i64);
        let limit = match range.limit.0 {
            limit if limit > 0 => limit as usize,
            _ => all.len(),
        };
        RangeResponse {
            header: self.header(),
            kvs: all.into_iter().take(limit).collect(),
            count,
        }
    }

    /// Applies a transaction.
    ///
    /// # Errors
    /// Returns [`Refusal`] if an operation is refused; the store is then unchanged.
    pub fn txn(&mut self, txn: &Txn) -> Result<TxnResponse, Refusal> {
        for op in txn.success.iter().chain(&txn.failure) {
            self.validate(op)?;
        }
        let succeeded = txn
            .compare
            .iter()
            .all(|compare| self.condition_holds(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let writes = ops.iter().any(|op| !matches!(op, Op::Range(_)));
        let revision = self.revision + i64::from(writes);
        let mut responses = Vec::with_capacity(ops.len());
        for op in ops {
            responses.push(self.apply(op, revision));
        }
        self.trim_history();
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Returns whether an operation of either branch writes.
    #[must_use]
    pub fn has_writes(txn: &Txn) -> bool {
        txn.success
            .iter()
            .chain(&txn.failure)
            .any(|op| !matches!(op, Op::Range(_)))
    }

    fn validate(&self, op: &Op) -> Result<(), Refusal> {
        let Op::Put(put) = op else {
            return Ok(());
        };
        if put.value.0.len() > MAX_VALUE {
            return Err(Refusal::TooLarge);
        }
        if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
            return Err(Refusal::LeaseNotFound);
        }
        Ok(())
    }

    fn condition_holds(&self, compare: &Compare) -> bool {
        let entry = self.entries.get(&compare.key);
        let (actual, expected) = match compare.target {
            Field::Version => (entry.map(|e| e.version), compare.version),
            Field::Create => (entry.map(|e| e.create_revision), compare.create_revision),
            Field::Mod => (entry.map(|e| e.mod_revision), compare.mod_revision),
        };
        let actual = actual.unwrap_or_default();
        match compare.result {
            Comparison::Equal => actual == expected,
            Comparison::Greater => actual > expected,
            Comparison::Less => actual < expected,
            Comparison::NotEqual => actual != expected,
        }
    }

    fn apply(&mut self, op: &Op, revision: i64) -> OpResponse {
        match op {
            Op::Range(range) => OpResponse::Range(self.range(range)),
            Op::Put(put) => {
                self.put(put, revision);
                OpResponse::Put(WriteResponse {
                    header: self.header(),
                    deleted: None,
                })
            }
            Op::Delete(range) => {
                let deleted = self.delete(range, revision);
                OpResponse::Delete(WriteResponse {
                    header: self.header(),
                    deleted: Some(Int(deleted)),
                })
            }
        }
    }

    fn put(&mut self, put: &Put, revision: i64) {
        self.revision = revision;
        let previous = self.entries.get(&put.key);
        let entry = KeyValue {
            key: put.key.clone(),
            create_revision: previous.map_or(Int(revision), |e| e.create_revision),
            mod_revision: Int(revision),
            version: Int(previous.map_or(0, |e| e.version.0) + 1),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.entries.insert(put.key.clone(), entry.clone());
        self.history.push(Event {
            kind: EventKind::Put,
            kv: entry,
        });
    }

    fn delete(&mut self, range: &Range, revision: i64) -> i64 {
        let keys: Vec<_> = self.range(range).kvs.into_iter().map(|e| e.key).collect();
        for key in &keys {
            self.revision = revision;
            self.entries.remove(key);
            self.history.push(Event {
                kind: EventKind::Delete,
                kv: KeyValue {
                    key: key.clone(),
                    create_revision: Int(0),
                    mod_revision: Int(revision),
                    version: Int(0),
                    value: Blob::default(),
                    lease: Int(0),
                },
            });
        }
        keys.len() as i64
    }

    fn trim_history(&mut self) {
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..excess);
    }

    /// Returns the changes in the range of a watch from revision `from` on.
    #[must_use]
    pub fn changes(&self, watch: &WatchCreate, from: i64) -> Vec<Event> {
        self.history
            .iter()
            .filter(|event| event.kv.mod_revision.0 >= from)
            .filter(|event| in_range(&watch.key, &watch.range_end, &event.kv.key))
            .cloned()
            .collect()
    }
}

/// The lease operations.
impl State {
    /// Grants a lease of `ttl` seconds.
    pub fn grant(&mut self, ttl: Int, now: Instant) -> LeaseResponse {
        let seconds = ttl.0.max(1);
        let ttl = Span::from_secs(seconds as u64);
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.next_lease, Lease { ttl, expires_at });
        self.lease_response(self.next_lease, seconds)
    }

    /// Renews a lease. The time to live in the response is zero if the lease does not exist.
    pub fn renew(&mut self, id: Int, now: Instant) -> LeaseResponse {
        let seconds = match self.leases.get_mut(&id.0) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl;
                lease.ttl.as_millis() as i64 / 1_000
            }
            None => 0,
        };
        self.lease_response(id.0, seconds)
    }

    /// Revokes a lease and removes the keys attached to it.
    ///
    /// # Errors
    /// Returns [`Refusal::LeaseNotFound`] if the lease does not exist.
    pub fn revoke(&mut self, id: Int) -> Result<Header, Refusal> {
        if self.leases.shift_remove(&id.0).is_none() {
            return Err(Refusal::LeaseNotFound);
        }
        self.delete_lease_keys(id);
        Ok(self.header())
    }

    /// Revokes all expired leases; returns whether any had expired.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            let _ = self.revoke(Int(*id));
        }
        !expired.is_empty()
    }

    fn delete_lease_keys(&mut self, lease: Int) {
        let keys: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.lease == lease)
            .map(|entry| entry.key.clone())
            .collect();
        let revision = self.revision + 1;
        for key in keys {
            let range = Range {
                key,
                ..Range::default()
            };
            self.delete(&range, revision);
        }
    }

    fn lease_response(&self, id: i64, seconds: i64) -> LeaseResponse {
        LeaseResponse {
            header: self.header(),
            id: Int(id),
            ttl: Int(seconds),
        }
    }
}
