//! Implements [`Store`] by calls to the etcd API.

use bytes::Bytes;
use sg_types::time::Span;

use super::{
    Client,
    call::CallKind,
    wire::{
        Base64Bytes, Compare, Empty, Int64, KeyValue, LeaseGrantRequest, LeaseRequest,
        LeaseResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, StreamMessage,
        TxnRequest, TxnResponse,
    },
};
use crate::{Changes, Entry, Error, Lease, MAX_VALUE, Page, Precondition, Store, Swap, Version};

const RANGE_PATH: &str = "/v3/kv/range";
const TXN_PATH: &str = "/v3/kv/txn";
const GRANT_PATH: &str = "/v3/lease/grant";
const KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
const REVOKE_PATH: &str = "/v3/lease/revoke";
const NANOS_PER_SEC: u64 = 1_000_000_000;

fn single_key(key: &str) -> RangeRequest {
    RangeRequest {
        key: Base64Bytes::new(key),
        range_end: None,
    }
}

fn compare(key: &str, precondition: Precondition) -> Compare {
    let (target, create_revision, mod_revision) = match precondition {
        Precondition::Absent => ("CREATE", Some(Int64(0)), None),
        Precondition::At(version) => ("MOD", None, Some(version.into())),
    };
    Compare {
        key: Base64Bytes::new(key),
        result: "EQUAL",
        target,
        create_revision,
        mod_revision,
    }
}

fn first_entry(response: RangeResponse) -> Result<Option<Entry>, Error> {
    response
        .kvs
        .into_iter()
        .next()
        .map(KeyValue::into_entry)
        .transpose()
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let response: RangeResponse = self
            .call(CallKind::Read, RANGE_PATH, &single_key(key))
            .await?;
        first_entry(response)
    }

    async fn list(&self, prefix: &str) -> Result<Page, Error> {
        let range = RangeRequest {
            key: Base64Bytes::new(prefix),
            range_end: Some(Base64Bytes::range_end(prefix)),
        };
        let response: RangeResponse = self.call(CallKind::Read, RANGE_PATH, &range).await?;
        let entries: Result<Vec<_>, _> =
            response.kvs.into_iter().map(KeyValue::into_entry).collect();
        Ok(Page {
            entries: entries?,
            version: response.header.revision.version(),
        })
    }

    async fn swap(
        &self,
        key: &str,
        precondition: Precondition,
        value: Bytes,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        if value.len() > MAX_VALUE {
            return Err(Error::TooLarge {
                size: value.len(),
                limit: MAX_VALUE,
            });
        }
        let put = PutRequest {
            key: Base64Bytes::new(key),
            value: Base64Bytes::new(&value),
            lease: lease.map(|lease| Int64(lease.get())),
        };
        let txn = TxnRequest {
            compare: vec![compare(key, precondition)],
            success: vec![RequestOp::Put(put)],
            failure: vec![RequestOp::Range(single_key(key))],
        };
        let response: TxnResponse = self.call(CallKind::Write, TXN_PATH, &txn).await?;
        if response.succeeded {
            return Ok(Swap::Done(response.header.revision.version()));
        }
        let found = response
            .responses
            .into_iter()
            .find_map(|op| op.response_range);
        Ok(Swap::Conflict(first_entry(found.unwrap_or_default())?))
    }

    async fn remove(&self, key: &str, version: Version) -> Result<bool, Error> {
        let txn = TxnRequest {
            compare: vec![compare(key, Precondition::At(version))],
            success: vec![RequestOp::DeleteRange(single_key(key))],
            failure: Vec::new(),
        };
        let response: TxnResponse = self.call(CallKind::Write, TXN_PATH, &txn).await?;
        Ok(response.succeeded)
    }

    async fn grant(&self, ttl: Span) -> Result<Lease, Error> {
        let seconds = ttl.as_nanos().div_ceil(NANOS_PER_SEC);
        let request = LeaseGrantRequest {
            ttl: Int64(i64::try_from(seconds).unwrap_or(i64::MAX)),
        };
        let granted: LeaseResponse = self.call(CallKind::Write, GRANT_PATH, &request).await?;
        Ok(Lease::new(granted.id.0))
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        let id = LeaseRequest {
            id: Int64(lease.get()),
        };
        let renewed: StreamMessage<LeaseResponse> =
            self.call(CallKind::Write, KEEP_ALIVE_PATH, &id).await?;
        match renewed.result.ttl.0 > 0 {
            true => Ok(()),
            false => Err(Error::LeaseExpired),
        }
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let id = LeaseRequest {
            id: Int64(lease.get()),
        };
        let _: Empty = self.call(CallKind::Write, REVOKE_PATH, &id).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Version, max_wait: Span) -> Result<Changes, Error> {
        self.watch_changes(prefix, after, max_wait).await
    }
}
