//! The messages of a relay connection.
//!
//! A response is one JSON document, or, if the request says that its sender reads them, packed frames: the byte
//! [`PACKED`], then the response without its large values, then one frame for each of these. A frame is its
//! length in bytes, as 32 bits in little-endian order, and JSON in DEFLATE format.

use std::io::{Read as _, Write as _};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sg_store::{Version, version::Era};
use sg_types::prelude::*;

use super::Error;
use crate::{
    mirror::Change,
    retention::{Deletion, EncodedRange, EncodedVersion},
};

/// The first byte of a packed response, which no JSON document begins with.
pub(super) const PACKED: u8 = 1;
/// The size of a value in bytes from which a packed response has a frame for it.
pub(super) const LARGE_VALUE_BYTES: usize = 16 << 10;
/// The largest JSON document, in bytes.
pub(super) const MAX_DOCUMENT_BYTES: u64 = 32 << 20;

/// A request for the changes of one prefix after a store version.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Request {
    pub index: usize,
    pub after: u64,
    #[serde(default)]
    pub era: u64,
    /// Whether the sender reads packed responses.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub packed: bool,
}

/// The changes, complete up to the store version `position`.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Response {
    pub position: u64,
    #[serde(default)]
    pub era: u64,
    pub changes: Vec<EncodedChange>,
    /// Whether the changes are a listing: keys without a change are gone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub listing: bool,
    /// Values of earlier eras that the sender retains.
    #[serde(default)]
    pub retained: Vec<EncodedChange>,
    /// Deletions of earlier eras that the sender retains. Earlier releases don't tell them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub deletions: Vec<EncodedDeletion>,
    /// The versions of earlier eras whose lasting state the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known: Option<EncodedRange>,
    /// The revisions between which the changes would not have been complete, of the same era. Earlier
    /// releases don't tell them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap: Option<(u64, u64)>,
    /// The time since the sender last reached the store again after a failure, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recovered_ms: Option<u64>,
    /// The number of frames with further changes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub frames: usize,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(number: &usize) -> bool {
    *number == 0
}

/// A change with its value in Base64 or, in packed responses, as text; no value means that the key was deleted.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EncodedChange {
    key: Arc<str>,
    version: u64,
    #[serde(default)]
    era: u64,
    value: Option<String>,
    /// The value, if it is text. Base64 hides repetitions from the compression.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
}

/// A deletion of an earlier era.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EncodedDeletion {
    key: Arc<str>,
    version: EncodedVersion,
    hides: EncodedVersion,
}

impl From<Deletion> for EncodedDeletion {
    fn from(deletion: Deletion) -> Self {
        Self {
            key: deletion.key,
            version: deletion.version.into(),
            hides: deletion.hides.into(),
        }
    }
}

impl From<EncodedDeletion> for Deletion {
    fn from(encoded: EncodedDeletion) -> Self {
        Self {
            key: encoded.key,
            version: encoded.version.into(),
            hides: encoded.hides.into(),
        }
    }
}

impl EncodedChange {
    /// Encodes a change, with the value as text if that `is_allowed` and possible.
    pub fn new(change: &Change, text_is_allowed: bool) -> Self {
        let value = change.value.as_deref();
        let text = value.filter(|_| text_is_allowed);
        let text = text.and_then(|value| std::str::from_utf8(value).ok());
        Self {
            key: change.key.clone(),
            version: change.version.revision(),
            era: change.version.era().get(),
            value: value
                .filter(|_| text.is_none())
                .map(|value| STANDARD.encode(value)),
            text: text.map(str::to_owned),
        }
    }
}

impl TryFrom<EncodedChange> for Change {
    type Error = Error;

    fn try_from(encoded: EncodedChange) -> Result<Self, Error> {
        let value = match encoded.text {
            Some(text) => Some(text.into_bytes()),
            None => {
                let value = encoded.value.map(|text| STANDARD.decode(text)).transpose();
                value.map_err(|error| Error::Malformed(error.to_string()))?
            }
        };
        Ok(Self {
            key: encoded.key,
            value: value.map(Into::into),
            version: Version::at(Era::new(encoded.era), encoded.version),
        })
    }
}

/// Returns the frame of `content`, with its length.
pub(super) fn pack(content: &impl Serialize) -> Result<Vec<u8>, Error> {
    let json = serde_json::to_vec(content).map_err(malformed_error)?;
    let mut encoder = DeflateEncoder::new(vec![0; size_of::<u32>()], Compression::fast());
    encoder.write_all(&json)?;
    let mut frame = encoder.finish()?;
    let length = frame.len() - size_of::<u32>();
    let length = u32::try_from(length).map_err(malformed_error)?;
    frame[..size_of::<u32>()].copy_from_slice(&length.to_le_bytes());
    Ok(frame)
}

/// Reads the content of a frame, which comes without its length.
pub(super) fn unpack<T: DeserializeOwned>(frame: &[u8]) -> Result<T, Error> {
    let mut json = Vec::new();
    let mut decoder = DeflateDecoder::new(frame).take(MAX_DOCUMENT_BYTES);
    decoder.read_to_end(&mut json)?;
    parse(&json)
}

/// Reads a JSON document.
pub(super) fn parse<'a, T: Deserialize<'a>>(json: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(json).map_err(malformed_error)
}

pub(super) fn malformed_error(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

/// The frames of the large values that were asked for last. All instances of a failure domain ask for the same
/// ones at about the same time.
#[derive(Debug, Default)]
pub(super) struct FrameCache {
    frames: IndexMap<Arc<str>, (Version, Arc<[u8]>)>,
}

impl FrameCache {
    /// The largest number of frames.
    const MAX_FRAMES: usize = 4;

    /// Returns the frame of a change.
    pub fn frame(&mut self, change: &Change) -> Result<Arc<[u8]>, Error> {
        if let Some((version, frame)) = self.frames.get(&change.key)
            && *version == change.version
        {
            return Ok(frame.clone());
        }
        let frame: Arc<[u8]> = pack(&EncodedChange::new(change, true))?.into();
        if self.frames.len() >= Self::MAX_FRAMES {
            self.frames.shift_remove_index(0);
        }
        self.frames.shift_remove(&change.key);
        let cached = (change.version, frame.clone());
        self.frames.insert(change.key.clone(), cached);
        Ok(frame)
    }
}
