//! The messages of the etcd v3 JSON gateway, which encodes 64-bit numbers as strings.
//!
//! The `expecting` attributes fix the error texts that callers receive in 400 responses, regardless
//! of the names of the types.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes that are encoded in base64.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Blob(pub Bytes);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(de::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit number, serialized as a string and deserialized from a string or a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(
            untagged,
            expecting = "data did not match any variant of untagged enum Form"
        )]
        enum Encoding {
            Number(i64),
            Text(String),
        }
        match Encoding::deserialize(deserializer)? {
            Encoding::Number(number) => Ok(Self(number)),
            Encoding::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

/// The header of every response.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Header {
    /// The number of changes to the store so far; a transaction counts as one change.
    pub revision: Int,
}

/// A key with its value.
#[derive(Debug, Clone, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The revision at which the key was created.
    pub create_revision: Int,
    /// The revision at which the value was written.
    pub mod_revision: Int,
    /// The number of writes of the key since its creation.
    pub version: Int,
    /// The value.
    pub value: Blob,
    /// The id of the lease; zero for none.
    pub lease: Int,
}

/// A read of one key, or of all keys from `key` up to `range_end`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Range {
    /// The first key.
    pub key: Blob,
    /// The exclusive end of the range; empty for only `key`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// The maximum number of keys; zero for all.
    pub limit: Int,
}

/// A write of a key.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// The id of the lease; zero for none.
    pub lease: Int,
}

/// One operation of a transaction.
#[derive(Debug, Clone, Deserialize)]
pub enum Op {
    /// A read.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    /// A write.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    /// A removal.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// The number of a key that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Field {
    /// The number of writes since the key's creation.
    #[default]
    Version,
    /// The revision at which the key was created.
    Create,
    /// The revision at which the value was written.
    Mod,
}

/// The operator of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Comparison {
    /// Equal.
    #[default]
    Equal,
    /// The key's number is greater.
    Greater,
    /// The key's number is less.
    Less,
    /// Not equal.
    NotEqual,
}

/// One condition of a transaction.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: Blob,
    /// The number to compare.
    pub target: Field,
    /// The operator.
    pub result: Comparison,
    /// The version to compare with.
    pub version: Int,
    /// The creation revision to compare with.
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    /// The modification revision to compare with.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
}

/// A transaction.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The operations to apply if all conditions hold.
    pub success: Vec<Op>,
    /// The operations to apply otherwise.
    pub failure: Vec<Op>,
}

/// The response to a read.
#[derive(Debug, Clone, Serialize)]
pub struct RangeResponse {
    /// The header.
    pub header: Header,
    /// The entries in key order, up to the limit.
    pub kvs: Vec<KeyValue>,
    /// The number of keys in the range, regardless of the limit.
    pub count: Int,
}

/// The response to a write or removal.
#[derive(Debug, Clone, Serialize)]
pub struct WriteResponse {
    /// The header.
    pub header: Header,
    /// The number of removed keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deleted: Option<Int>,
}

/// The response to an operation of a transaction.
#[derive(Debug, Clone, Serialize)]
pub enum OpResponse {
    /// The response to a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// The response to a write.
    #[serde(rename = "response_put")]
    Put(WriteResponse),
    /// The response to a removal.
    #[serde(rename = "response_delete_range")]
    Delete(WriteResponse),
}

/// The response to a transaction.
#[derive(Debug, Clone, Serialize)]
pub struct TxnResponse {
    /// The header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The responses in the order of the operations.
    pub responses: Vec<OpResponse>,
}

/// A request to grant, renew or revoke a lease.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, expecting = "struct LeaseCall")]
pub struct LeaseRequest {
    /// The id of the lease.
    #[serde(rename = "ID")]
    pub id: Int,
    /// The time to live of the lease in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// The response to a grant or renewal of a lease.
#[derive(Debug, Clone, Serialize)]
pub struct LeaseResponse {
    /// The header.
    pub header: Header,
    /// The id of the lease.
    #[serde(rename = "ID")]
    pub id: Int,
    /// The time to live of the lease in seconds; zero if the lease has expired.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// A message of a streamed response.
#[derive(Debug, Clone, Serialize)]
pub struct StreamMessage<T> {
    /// The message.
    pub result: T,
}

/// A request to watch keys.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, expecting = "struct Watch")]
pub struct WatchRequest {
    /// The range to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// The range and start of a watch.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Blob,
    /// The exclusive end of the range; empty for only `key`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// The first revision to report; zero for changes after the start of the watch.
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
}

/// The kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// A write.
    Put,
    /// A removal.
    Delete,
}

/// A change to a key.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    /// The kind of the change.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The entry; for a removal only the key and `mod_revision` are set.
    pub kv: KeyValue,
}

/// A message of a watch.
#[derive(Debug, Clone, Serialize)]
pub struct WatchResponse {
    /// The header.
    pub header: Header,
    /// Whether this message confirms the start of the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// The reason for which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A value exceeds the size limit.
    #[error("etcdserver: request is too large")]
    TooLarge,
    /// The lease does not exist.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
}
