//! Digests: the beacons of all instances of a failure domain in few datagrams.
//!
//! The first byte of a datagram is the version of the format, which is no character that begins a JSON
//! frame. A header without compression follows, so that a receiver can drop a digest that it already has
//! without reading the rest, which is compressed JSON.

use std::io::{self, Read as _, Write as _};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sg_types::prelude::*;

use crate::frame::{Beacon, MAX_FRAME_BYTES};

/// The first byte of a digest.
const VERSION: u8 = 1;
/// The value of the second byte in a digest that an instance passes on in its own failure domain.
const PASSED_ON: u8 = 1;
/// The length of version, passed-on flag, sender and number.
const HEADER_BYTES: usize = 18;
/// The largest size of the beacons of a digest without compression.
const MAX_CONTENT_BYTES: u64 = 1 << 20;

/// A beacon and how old it was when the digest was sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heard {
    /// The time since the sender of the digest heard the beacon, in milliseconds.
    pub age_ms: u64,
    /// The beacon.
    pub beacon: Beacon,
}

impl Heard {
    /// Returns the beacon with the ages of its statements as of now.
    #[must_use]
    pub fn into_beacon(self) -> Beacon {
        let Self { age_ms, mut beacon } = self;
        for statement in &mut beacon.rate_statements {
            statement.age_ms = statement.age_ms.saturating_add(age_ms);
        }
        beacon
    }
}

/// One datagram with beacons.
#[derive(Debug, Clone, PartialEq)]
pub struct Digest {
    /// The run of the sender.
    pub sender: Incarnation,
    /// The sequence number of the sender's digests.
    pub number: u64,
    /// Whether an instance of the receiver's failure domain has passed the digest on.
    pub is_passed_on: bool,
    /// The compressed beacons.
    content: Vec<u8>,
}

/// An error in encoding or decoding a digest.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The datagram has an unknown version or is too short.
    #[error("the datagram is no digest of a known version; upgrade this instance")]
    Unknown,
    /// The content can't be compressed or decompressed.
    #[error(
        "the content of the digest is damaged ({0}); check that all instances run compatible versions"
    )]
    Damaged(#[from] io::Error),
    /// The content is not JSON of the expected form.
    #[error(
        "the content of the digest is invalid ({0}); check that all instances run compatible versions"
    )]
    Malformed(#[from] serde_json::Error),
}

impl Digest {
    /// Puts `beacons` into as few datagrams as fit, with numbers from `first_number` on. A beacon that does
    /// not fit into a datagram of its own is left out with a warning.
    ///
    /// # Errors
    /// Returns [`Error`] if a beacon can't be encoded.
    pub fn pack(
        sender: Incarnation,
        first_number: u64,
        beacons: &[Heard],
    ) -> Result<Vec<Self>, Error> {
        let mut digests = Vec::new();
        let mut parts = vec![beacons];
        while let Some(part) = parts.pop() {
            if part.is_empty() {
                continue;
            }
            let content = compress(part)?;
            if content.len() + HEADER_BYTES <= MAX_FRAME_BYTES {
                digests.push(Self {
                    sender,
                    number: first_number + digests.len() as u64,
                    is_passed_on: false,
                    content,
                });
            } else if let [only] = part {
                log::warn!(other:% = only.beacon.instance, bytes = content.len(); "beacon too large for a digest");
            } else {
                let (first, second) = part.split_at(part.len() / 2);
                parts.extend([first, second]);
            }
        }
        Ok(digests)
    }

    /// Returns the beacons. One that this build can't read is left out, because it must not hold back those of
    /// the other instances of its failure domain.
    ///
    /// # Errors
    /// Returns [`Error`] if the content is damaged or no list.
    pub fn unpack(&self) -> Result<Vec<Heard>, Error> {
        let mut json = Vec::new();
        DeflateDecoder::new(self.content.as_slice())
            .take(MAX_CONTENT_BYTES)
            .read_to_end(&mut json)?;
        let beacons: Vec<&RawValue> = serde_json::from_slice(&json)?;
        let read = beacons.into_iter().filter_map(|beacon| {
            let heard = serde_json::from_str(beacon.get());
            heard
                .inspect_err(|error| log::debug!(error:% = error; "beacon skipped"))
                .ok()
        });
        Ok(read.collect())
    }

    /// Returns the bytes of the datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION, if self.is_passed_on { PASSED_ON } else { 0 }];
        bytes.extend(self.sender.get().to_le_bytes());
        bytes.extend(self.number.to_le_bytes());
        bytes.extend(&self.content);
        bytes
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Returns [`Error::Unknown`] if the datagram is no digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (header, content) = bytes
            .split_at_checked(HEADER_BYTES)
            .filter(|(header, _)| header[0] == VERSION)
            .ok_or(Error::Unknown)?;
        let number = |range| {
            let bytes: [u8; 8] = header
                .get::<std::ops::Range<usize>>(range)?
                .try_into()
                .ok()?;
            Some(u64::from_le_bytes(bytes))
        };
        let sender = number(2..10).ok_or(Error::Unknown)?;
        Ok(Self {
            sender: Incarnation::new(sender),
            number: number(10..18).ok_or(Error::Unknown)?,
            is_passed_on: header[1] == PASSED_ON,
            content: content.to_vec(),
        })
    }

    /// Returns whether `bytes` begin like a digest of any version, and not like a JSON frame.
    #[must_use]
    pub fn is_digest(bytes: &[u8]) -> bool {
        bytes.first().is_some_and(|first| *first != b'{')
    }

    /// Returns the digest as it is passed on in the receiver's failure domain.
    #[must_use]
    pub fn passed_on(&self) -> Self {
        Self {
            is_passed_on: true,
            ..self.clone()
        }
    }
}

fn compress(beacons: &[Heard]) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(beacons)?)?;
    Ok(encoder.finish()?)
}

/// The digests that an instance has received, by sender.
#[derive(Debug, Default)]
pub struct Received {
    /// The number of the last digest of each sender, and when it arrived.
    last: IndexMap<Incarnation, (u64, Instant)>,
}

impl Received {
    /// Time without a digest after which a sender is forgotten.
    const RETENTION: Span = Span::from_secs(60);

    /// Records a digest. Returns whether it is newer than all that its sender sent before.
    pub fn record(&mut self, digest: &Digest, now: Instant) -> bool {
        self.last
            .retain(|_, (_, at)| now.since(*at) <= Self::RETENTION);
        let last = self.last.entry(digest.sender).or_insert((0, now));
        let is_new = digest.number > last.0;
        if is_new {
            *last = (digest.number, now);
        }
        is_new
    }
}
