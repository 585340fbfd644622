//! The JSON messages of the store's interface: 64-bit numbers as text, keys and values in base64.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{Entry, Error, Version};

/// Bytes that travel as base64.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct Blob(pub(super) Vec<u8>);

impl Blob {
    pub(super) fn new(bytes: impl AsRef<[u8]>) -> Self {
        Self(bytes.as_ref().to_vec())
    }

    /// The first key after all keys that start with `prefix`.
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

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit number that travels as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Number(pub(super) i64);

impl Number {
    pub(super) fn version(self) -> Version {
        Version::new(u64::try_from(self.0).unwrap_or_default())
    }
}

impl From<Version> for Number {
    fn from(version: Version) -> Self {
        Self(i64::try_from(version.get()).unwrap_or(i64::MAX))
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Plain(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
            Form::Plain(number) => Ok(Self(number)),
        }
    }
}

#[derive(Debug, Clone, Deserialize, Default)]
#[serde(default)]
pub(super) struct Header {
    pub(super) revision: Number,
}

#[derive(Debug, Clone, Deserialize)]
pub(super) struct KeyValue {
    pub(super) key: Blob,
    #[serde(default)]
    pub(super) value: Blob,
    #[serde(default, alias = "modRevision")]
    pub(super) mod_revision: Number,
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
pub(super) struct Range {
    pub(super) key: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Blob>,
}

#[derive(Debug, Clone, Deserialize, Default)]
#[serde(default)]
pub(super) struct Found {
    pub(super) header: Header,
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(super) struct Compare {
    pub(super) key: Blob,
    pub(super) result: &'static str,
    pub(super) target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) create_revision: Option<Number>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) mod_revision: Option<Number>,
}

#[derive(Debug, Serialize)]
pub(super) struct Put {
    pub(super) key: Blob,
    pub(super) value: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) lease: Option<Number>,
}

#[derive(Debug, Serialize)]
pub(super) enum Operation {
    #[serde(rename = "request_put")]
    Put(Put),
    #[serde(rename = "request_range")]
    Range(Range),
    #[serde(rename = "request_delete_range")]
    DeleteRange(Range),
}

#[derive(Debug, Serialize)]
pub(super) struct Txn {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Operation>,
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct Effect {
    #[serde(alias = "responseRange")]
    pub(super) response_range: Option<Found>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct Committed {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<Effect>,
}

#[derive(Debug, Serialize)]
pub(super) struct Grant {
    #[serde(rename = "TTL")]
    pub(super) ttl: Number,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseId {
    #[serde(rename = "ID")]
    pub(super) id: Number,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct Granted {
    #[serde(rename = "ID")]
    pub(super) id: Number,
    #[serde(rename = "TTL")]
    pub(super) ttl: Number,
}

/// Streamed answers come wrapped.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: T,
}

#[derive(Debug, Serialize)]
pub(super) struct Watch {
    pub(super) create_request: CreateWatch,
}

#[derive(Debug, Serialize)]
pub(super) struct CreateWatch {
    pub(super) key: Blob,
    pub(super) range_end: Blob,
    pub(super) start_revision: Number,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct Watched {
    pub(super) header: Header,
    pub(super) canceled: bool,
    #[serde(alias = "compactRevision")]
    pub(super) compact_revision: Number,
    #[serde(alias = "cancelReason")]
    pub(super) cancel_reason: String,
    pub(super) events: Vec<WatchedEvent>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchedEvent {
    #[serde(rename = "type", default)]
    pub(super) kind: String,
    pub(super) kv: KeyValue,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct Failure {
    pub(super) message: String,
    pub(super) error: String,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub(super) struct Empty {}
