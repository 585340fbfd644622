//! The calls of [`Store`] in terms of the store's interface.

use bytes::Bytes;
use sg_types::time::Span;

use super::{
    Client,
    call::Kind,
    wire::{
        Blob, Committed, Compare, Empty, Found, Grant, Granted, KeyValue, LeaseId, Number,
        Operation, Put, Range, Streamed, Txn,
    },
};
use crate::{Changes, Entry, Error, Expect, Lease, MAX_VALUE, Page, Store, Swap, Version};

const RANGE: &str = "/v3/kv/range";
const TXN: &str = "/v3/kv/txn";
const GRANT: &str = "/v3/lease/grant";
const KEEP_ALIVE: &str = "/v3/lease/keepalive";
const REVOKE: &str = "/v3/lease/revoke";
const NANOS_PER_SEC: u64 = 1_000_000_000;

fn one(key: &str) -> Range {
    Range {
        key: Blob::new(key),
        range_end: None,
    }
}

fn compare(key: &str, expect: Expect) -> Compare {
    let (target, create_revision, mod_revision) = match expect {
        Expect::Absent => ("CREATE", Some(Number(0)), None),
        Expect::At(version) => ("MOD", None, Some(version.into())),
    };
    Compare {
        key: Blob::new(key),
        result: "EQUAL",
        target,
        create_revision,
        mod_revision,
    }
}

fn first(found: Found) -> Result<Option<Entry>, Error> {
    found
        .kvs
        .into_iter()
        .next()
        .map(KeyValue::into_entry)
        .transpose()
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let found: Found = self.call(Kind::Read, RANGE, &one(key)).await?;
        first(found)
    }

    async fn list(&self, prefix: &str) -> Result<Page, Error> {
        let range = Range {
            key: Blob::new(prefix),
            range_end: Some(Blob::range_end(prefix)),
        };
        let found: Found = self.call(Kind::Read, RANGE, &range).await?;
        let entries: Result<Vec<_>, _> = found.kvs.into_iter().map(KeyValue::into_entry).collect();
        Ok(Page {
            entries: entries?,
            version: found.header.revision.version(),
        })
    }

    async fn swap(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        if value.len() > MAX_VALUE {
            return Err(Error::TooLarge {
                size: value.len(),
                limit: MAX_VALUE,
            });
        }
        let put = Put {
            key: Blob::new(key),
            value: Blob::new(&value),
            lease: lease.map(|lease| Number(lease.get())),
        };
        let txn = Txn {
            compare: vec![compare(key, expect)],
            success: vec![Operation::Put(put)],
            failure: vec![Operation::Range(one(key))],
        };
        let done: Committed = self.call(Kind::Write, TXN, &txn).await?;
        if done.succeeded {
            return Ok(Swap::Done(done.header.revision.version()));
        }
        let found = done
            .responses
            .into_iter()
            .find_map(|effect| effect.response_range);
        Ok(Swap::Conflict(first(found.unwrap_or_default())?))
    }

    async fn remove(&self, key: &str, version: Version) -> Result<bool, Error> {
        let txn = Txn {
            compare: vec![compare(key, Expect::At(version))],
            success: vec![Operation::DeleteRange(one(key))],
            failure: Vec::new(),
        };
        let done: Committed = self.call(Kind::Write, TXN, &txn).await?;
        Ok(done.succeeded)
    }

    async fn grant(&self, ttl: Span) -> Result<Lease, Error> {
        let seconds = ttl.as_nanos().div_ceil(NANOS_PER_SEC);
        let grant = Grant {
            ttl: Number(i64::try_from(seconds).unwrap_or(i64::MAX)),
        };
        let granted: Granted = self.call(Kind::Write, GRANT, &grant).await?;
        Ok(Lease::new(granted.id.0))
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        let id = LeaseId {
            id: Number(lease.get()),
        };
        let renewed: Streamed<Granted> = self.call(Kind::Write, KEEP_ALIVE, &id).await?;
        match renewed.result.ttl.0 > 0 {
            true => Ok(()),
            false => Err(Error::LeaseGone),
        }
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let id = LeaseId {
            id: Number(lease.get()),
        };
        let _: Empty = self.call(Kind::Write, REVOKE, &id).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Version, patience: Span) -> Result<Changes, Error> {
        self.watch_changes(prefix, after, patience).await
    }
}
