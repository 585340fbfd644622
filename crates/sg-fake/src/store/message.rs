//! The messages of the etcd v3 JSON interface. Numbers of 64 bits travel as text.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes that travel in base64.
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

/// A 64-bit number, written as text and read as text or number.
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
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

/// The header of every answer.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Header {
    /// The number of writes so far.
    pub revision: Int,
}

/// A key with its value.
#[derive(Debug, Clone, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// When the key was made.
    pub create_revision: Int,
    /// When the value was written.
    pub mod_revision: Int,
    /// How often the key was written since it was made.
    pub version: Int,
    /// The value.
    pub value: Blob,
    /// The lease, zero for none.
    pub lease: Int,
}

/// Reads one key, or all from `key` up to `range_end`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Range {
    /// The first key.
    pub key: Blob,
    /// The first key that is no longer wanted; empty for just `key`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// The most keys; zero for all.
    pub limit: Int,
}

/// Writes a key.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// The lease, zero for none.
    pub lease: Int,
}

/// One operation of a transaction.
#[derive(Debug, Clone, Deserialize)]
pub enum Op {
    /// Reads.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    /// Writes.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    /// Removes.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// Which number of a key is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Field {
    /// How often it was written.
    #[default]
    Version,
    /// When it was made.
    Create,
    /// When it was written.
    Mod,
}

/// How the numbers are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Comparison {
    /// Equal.
    #[default]
    Equal,
    /// The key's is greater.
    Greater,
    /// The key's is less.
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
    /// Which number.
    pub target: Field,
    /// How.
    pub result: Comparison,
    /// The wanted version.
    pub version: Int,
    /// The wanted time of making.
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    /// The wanted time of writing.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
}

/// A transaction.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// What is done if all hold.
    pub success: Vec<Op>,
    /// What is done otherwise.
    pub failure: Vec<Op>,
}

/// What a read brought.
#[derive(Debug, Clone, Serialize)]
pub struct Found {
    /// The header.
    pub header: Header,
    /// The entries in order of their keys.
    pub kvs: Vec<KeyValue>,
    /// How many keys there are.
    pub count: Int,
}

/// The answer to a write.
#[derive(Debug, Clone, Serialize)]
pub struct Written {
    /// The header.
    pub header: Header,
    /// How many keys were removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deleted: Option<Int>,
}

/// The answer to one operation of a transaction.
#[derive(Debug, Clone, Serialize)]
pub enum OpAnswer {
    /// To a read.
    #[serde(rename = "response_range")]
    Range(Found),
    /// To a write.
    #[serde(rename = "response_put")]
    Put(Written),
    /// To a removal.
    #[serde(rename = "response_delete_range")]
    Delete(Written),
}

/// The answer to a transaction.
#[derive(Debug, Clone, Serialize)]
pub struct TxnAnswer {
    /// The header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The answers in the order of the operations.
    pub responses: Vec<OpAnswer>,
}

/// A call about a lease.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct LeaseCall {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int,
    /// Its time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// The answer about a lease.
#[derive(Debug, Clone, Serialize)]
pub struct LeaseAnswer {
    /// The header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int,
    /// Its time to live in seconds; zero if it has lapsed.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// One message of a stream.
#[derive(Debug, Clone, Serialize)]
pub struct Framed<T> {
    /// The message.
    pub result: T,
}

/// Asks for changes.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// What to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Blob,
    /// The first key that is no longer wanted; empty for just `key`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Blob,
    /// The first change that is wanted; zero for those after now.
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
}

/// Whether a change wrote or removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// Wrote.
    Put,
    /// Removed.
    Delete,
}

/// A change.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    /// Its kind.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The entry; after a removal just its key and time.
    pub kv: KeyValue,
}

/// One message of a watch.
#[derive(Debug, Clone, Serialize)]
pub struct WatchAnswer {
    /// The header.
    pub header: Header,
    /// Whether this message says that the watch has begun.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A value is over the limit.
    #[error("etcdserver: request is too large")]
    TooLarge,
    /// The lease is not known.
    #[error("etcdserver: requested lease not found")]
    NoLease,
}
