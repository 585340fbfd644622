//! The store's content, leases and history. Pure; takes time as an argument.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use sg_store::MAX_VALUE;
use sg_types::time::{Instant, Span};

use super::message::{
    Blob, Compare, Comparison, Event, EventKind, Field, Found, Header, Int, KeyValue, LeaseAnswer,
    Op, OpAnswer, Put, Range, Refusal, Txn, TxnAnswer, WatchCreate, Written,
};

/// How many changes are kept for watches that start in the past.
const HISTORY: usize = 20_000;

/// The end of a range that means "all keys from the first on".
const TO_THE_END: &[u8] = b"\0";

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Span,
    lapses: Instant,
}

/// The store's content.
#[derive(Debug, Default)]
pub struct State {
    revision: i64,
    next_lease: i64,
    entries: BTreeMap<Blob, KeyValue>,
    leases: IndexMap<i64, Lease>,
    history: Vec<Event>,
}

fn covers(key: &Blob, range_end: &Blob, candidate: &Blob) -> bool {
    if range_end.0.is_empty() {
        return candidate == key;
    }
    candidate >= key && (range_end.0.as_ref() == TO_THE_END || candidate < range_end)
}

impl State {
    /// The header as of now.
    #[must_use]
    pub fn header(&self) -> Header {
        Header {
            revision: Int(self.revision),
        }
    }

    /// Reads.
    #[must_use]
    pub fn range(&self, range: &Range) -> Found {
        let all: Vec<_> = self
            .entries
            .range(range.key.clone()..)
            .take_while(|(key, _)| covers(&range.key, &range.range_end, key))
            .map(|(_, entry)| entry.clone())
            .collect();
        let count = Int(all.len() as i64);
        let limit = match range.limit.0 {
            limit if limit > 0 => limit as usize,
            _ => all.len(),
        };
        Found {
            header: self.header(),
            kvs: all.into_iter().take(limit).collect(),
            count,
        }
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    /// [`Refusal`]; nothing was changed then.
    pub fn txn(&mut self, txn: &Txn) -> Result<TxnAnswer, Refusal> {
        for op in txn.success.iter().chain(&txn.failure) {
            self.check(op)?;
        }
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
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
        self.trim();
        Ok(TxnAnswer {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Whether a transaction would write.
    #[must_use]
    pub fn writes(txn: &Txn) -> bool {
        txn.success
            .iter()
            .chain(&txn.failure)
            .any(|op| !matches!(op, Op::Range(_)))
    }

    fn check(&self, op: &Op) -> Result<(), Refusal> {
        let Op::Put(put) = op else {
            return Ok(());
        };
        if put.value.0.len() > MAX_VALUE {
            return Err(Refusal::TooLarge);
        }
        if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
            return Err(Refusal::NoLease);
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        let entry = self.entries.get(&compare.key);
        let (found, wanted) = match compare.target {
            Field::Version => (entry.map(|e| e.version), compare.version),
            Field::Create => (entry.map(|e| e.create_revision), compare.create_revision),
            Field::Mod => (entry.map(|e| e.mod_revision), compare.mod_revision),
        };
        let found = found.unwrap_or_default();
        match compare.result {
            Comparison::Equal => found == wanted,
            Comparison::Greater => found > wanted,
            Comparison::Less => found < wanted,
            Comparison::NotEqual => found != wanted,
        }
    }

    fn apply(&mut self, op: &Op, revision: i64) -> OpAnswer {
        match op {
            Op::Range(range) => OpAnswer::Range(self.range(range)),
            Op::Put(put) => {
                self.put(put, revision);
                OpAnswer::Put(Written {
                    header: self.header(),
                    deleted: None,
                })
            }
            Op::Delete(range) => {
                let deleted = self.delete(range, revision);
                OpAnswer::Delete(Written {
                    header: self.header(),
                    deleted: Some(Int(deleted)),
                })
            }
        }
    }

    fn put(&mut self, put: &Put, revision: i64) {
        self.revision = revision;
        let earlier = self.entries.get(&put.key);
        let entry = KeyValue {
            key: put.key.clone(),
            create_revision: earlier.map_or(Int(revision), |e| e.create_revision),
            mod_revision: Int(revision),
            version: Int(earlier.map_or(0, |e| e.version.0) + 1),
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

    fn trim(&mut self) {
        let excess = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..excess);
    }

    /// The changes of a watch from revision `from` on.
    #[must_use]
    pub fn changes(&self, watch: &WatchCreate, from: i64) -> Vec<Event> {
        self.history
            .iter()
            .filter(|event| event.kv.mod_revision.0 >= from)
            .filter(|event| covers(&watch.key, &watch.range_end, &event.kv.key))
            .cloned()
            .collect()
    }
}

/// Leases.
impl State {
    /// Grants a lease of `ttl` seconds.
    pub fn grant(&mut self, ttl: Int, now: Instant) -> LeaseAnswer {
        let seconds = ttl.0.max(1);
        let ttl = Span::from_secs(seconds as u64);
        self.next_lease += 1;
        let lapses = now + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, lapses });
        self.lease_answer(self.next_lease, seconds)
    }

    /// Renews a lease; the answer's time is zero if it has lapsed.
    pub fn renew(&mut self, id: Int, now: Instant) -> LeaseAnswer {
        let seconds = match self.leases.get_mut(&id.0) {
            Some(lease) => {
                lease.lapses = now + lease.ttl;
                lease.ttl.as_millis() as i64 / 1_000
            }
            None => 0,
        };
        self.lease_answer(id.0, seconds)
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    /// [`Refusal::NoLease`] if it is not known.
    pub fn revoke(&mut self, id: Int) -> Result<Header, Refusal> {
        if self.leases.shift_remove(&id.0).is_none() {
            return Err(Refusal::NoLease);
        }
        self.drop_keys(id);
        Ok(self.header())
    }

    /// Ends the leases that have lapsed; tells whether any had.
    pub fn lapse(&mut self, now: Instant) -> bool {
        let lapsed: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lapses <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &lapsed {
            let _ = self.revoke(Int(*id));
        }
        !lapsed.is_empty()
    }

    fn drop_keys(&mut self, lease: Int) {
        let held: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.lease == lease)
            .map(|entry| entry.key.clone())
            .collect();
        let revision = self.revision + 1;
        for key in held {
            let range = Range {
                key,
                ..Range::default()
            };
            self.delete(&range, revision);
        }
    }

    fn lease_answer(&self, id: i64, seconds: i64) -> LeaseAnswer {
        LeaseAnswer {
            header: self.header(),
            id: Int(id),
            ttl: Int(seconds),
        }
    }
}
