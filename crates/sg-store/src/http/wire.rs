//! JSON messages of the etcd API. 64-bit numbers are encoded as strings, keys and values in base64.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{Entry, Error, Version};

/// Bytes that are encoded in base64.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct Base64Bytes(pub(super) Vec<u8>);

impl Base64Bytes {
    pub(super) fn new(bytes: impl AsRef<[u8]>) -> Self {
        Self(bytes.as_ref().to_vec())
    }

    /// Returns the exclusive end of the range of keys that start with `prefix`. A zero byte stands
    /// for a range without an end.
    pub(super) fn range_end(prefix: impl AsRef<[u8]>) -> Self {
        let mut end = prefix.as_ref().to_vec();
        while let Some(last) = end.pop() {
            if last < u8::MAX {
                end.push(last + 1);
                return Self(end);
            }
        }
        Self(vec![0])
    }
}

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit number that is encoded as a string.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Int64(pub(super) i64);

impl Int64 {
    pub(super) fn version(self) -> Version {
        Version::new(u64::try_from(self.0).unwrap_or_default())
    }
}

impl From<Version> for Int64 {
    fn from(version: Version) -> Self {
        Self(i64::try_from(version.revision()).unwrap_or(i64::MAX))
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Repr {
            Text(String),
            Plain(i64),
        }
        match Repr::deserialize(deserializer)? {
            Repr::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
            Repr::Plain(number) => Ok(Self(number)),
        }
    }
}

#[derive(Debug, Clone, Deserialize, Default)]
#[serde(default)]
pub(super) struct ResponseHeader {
    pub(super) revision: Int64,
}

#[derive(Debug, Clone, Deserialize)]
pub(super) struct KeyValue {
    pub(super) key: Base64Bytes,
    #[serde(default)]
    pub(super) value: Base64Bytes,
    #[serde(default, alias = "modRevision")]
    pub(super) mod_revision: Int64,
}

impl KeyValue {
    pub(super) fn key(&self) -> Result<String, Error> {
        String::from_utf8(self.key.0.clone()).map_err(|error| Error::Malformed {
            cause: error.to_string(),
        })
    }

    pub(super) fn into_entry(self) -> Result<Entry, Error> {
        Ok(Entry {
            key: self.key()?.into(),
            value: Bytes::from(self.value.0),
            version: self.mod_revision.version(),
        })
    }
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Base64Bytes>,
}

#[derive(Debug, Clone, Deserialize, Default)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: ResponseHeader,
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(super) struct Compare {
    pub(super) key: Base64Bytes,
    pub(super) result: &'static str,
    pub(super) target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) create_revision: Option<Int64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) mod_revision: Option<Int64>,
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    pub(super) key: Base64Bytes,
    pub(super) value: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) lease: Option<Int64>,
}

#[derive(Debug, Serialize)]
pub(super) enum RequestOp {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<RequestOp>,
    pub(super) failure: Vec<RequestOp>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct ResponseOp {
    #[serde(alias = "responseRange")]
    pub(super) response_range: Option<RangeResponse>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: ResponseHeader,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<ResponseOp>,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(super) ttl: Int64,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: Int64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(super) id: Int64,
    #[serde(rename = "TTL")]
    pub(super) ttl: Int64,
}

/// Envelope of the messages of a streaming call.
#[derive(Debug, Deserialize)]
pub(super) struct StreamMessage<T> {
    pub(super) result: T,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreateRequest,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCreateRequest {
    pub(super) key: Base64Bytes,
    pub(super) range_end: Base64Bytes,
    pub(super) start_revision: Int64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) header: ResponseHeader,
    pub(super) canceled: bool,
    #[serde(alias = "compactRevision")]
    pub(super) compact_revision: Int64,
    #[serde(alias = "cancelReason")]
    pub(super) cancel_reason: String,
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type", default)]
    pub(super) kind: String,
    pub(super) kv: KeyValue,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct ErrorResponse {
    pub(super) message: String,
    pub(super) error: String,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct Empty {}
