//! Fetches changes of the store from an instance with a newer copy, for use while this instance can't
//! reach the store.
//!
//! One TCP connection carries one request, a line of JSON, and one response, a JSON document.

use std::{io, net::SocketAddr};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use sg_clock::Timer;
use sg_store::{Version, version::Era};
use sg_types::prelude::*;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

use crate::{
    follower::Replica,
    mirror::{Change, Gap, Snapshot},
};

/// The time limit of one exchange. An exchange between two instances takes about 100 ms; one that takes
/// much longer means that the network is partitioned.
const EXCHANGE_TIMEOUT: Span = Span::from_millis(1_000);
/// The largest response, in bytes. The complete state of a fleet takes a few hundred kilobytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;
/// The largest request, in bytes.
const MAX_REQUEST_BYTES: u64 = 1_024;

/// A request for the changes of one prefix after a store version.
#[derive(Debug, Serialize, Deserialize)]
struct Request {
    index: usize,
    after: u64,
    #[serde(default)]
    era: u64,
}

/// The changes, complete up to the store version `position`.
#[derive(Debug, Serialize, Deserialize)]
struct Response {
    position: u64,
    #[serde(default)]
    era: u64,
    changes: Vec<EncodedChange>,
    /// Whether the changes are a listing: keys without a change are gone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    listing: bool,
    /// Values of earlier eras that the sender retains.
    #[serde(default)]
    retained: Vec<EncodedChange>,
    /// The revisions between which the changes would not have been complete, of the same era. Earlier
    /// releases don't tell them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    gap: Option<(u64, u64)>,
    /// The time since the sender last reached the store again after a failure, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    recovered_ms: Option<u64>,
}

/// A change whose value is encoded in Base64; no value means that the key was deleted.
#[derive(Debug, Serialize, Deserialize)]
struct EncodedChange {
    key: Arc<str>,
    version: u64,
    #[serde(default)]
    era: u64,
    value: Option<String>,
}

impl From<Change> for EncodedChange {
    fn from(change: Change) -> Self {
        Self {
            key: change.key,
            version: change.version.revision(),
            era: change.version.era().get(),
            value: change.value.map(|value| STANDARD.encode(value)),
        }
    }
}

impl TryFrom<EncodedChange> for Change {
    type Error = Error;

    fn try_from(encoded: EncodedChange) -> Result<Self, Error> {
        let value = encoded.value.map(|text| STANDARD.decode(text)).transpose();
        let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Self {
            key: encoded.key,
            value: value.map(Into::into),
            version: Version::at(Era::new(encoded.era), encoded.version),
        })
    }
}

/// An error in an exchange with another instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error(
        "the connection to the other instance failed ({0}); if this persists, check the network between the instances"
    )]
    Io(#[from] io::Error),
    /// The request or the response can't be encoded or decoded, or the request names an unknown prefix.
    #[error("a relay message is invalid ({0}); check that both instances run the same version")]
    Malformed(String),
    /// The exchange took longer than the time limit.
    #[error(
        "the other instance did not respond in time ({received} bytes arrived); if this persists, check the network between the instances"
    )]
    Timeout {
        /// The number of bytes of the response that arrived; zero if none did, or if no connection opened.
        received: usize,
    },
}

impl Error {
    /// Returns a name of the kind of error, for metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Io(_) => "connection",
            Self::Malformed(_) => "malformed",
            Self::Timeout { received: 0 } => "silent",
            Self::Timeout { .. } => "slow",
        }
    }

    /// Returns the number of bytes that arrived before a time limit ended the exchange.
    #[must_use]
    pub const fn received(&self) -> usize {
        match self {
            Self::Timeout { received } => *received,
            Self::Io(_) | Self::Malformed(_) => 0,
        }
    }
}

/// What a fetch brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// The number of changes in the response.
    pub changes: usize,
    /// The size of the response in bytes.
    pub bytes: usize,
}

/// Requests the changes of the prefix at `index` that `replica` lacks from the instance at `address`
/// and applies them.
///
/// # Errors
/// Returns [`Error`] if the exchange fails or times out.
pub async fn fetch(
    replica: &Replica,
    timer: &Timer,
    address: SocketAddr,
    index: usize,
) -> Result<Outcome, Error> {
    let (snapshot, bytes) = fetch_snapshot(replica, timer, address, index).await?;
    let changes = snapshot.changes.len();
    replica.merge(index, snapshot);
    Ok(Outcome { changes, bytes })
}

/// Like [`fetch`], but also applies the state of an instance that has not noticed the store's era yet. It
/// is for an instance that has just started.
///
/// # Errors
/// Returns [`Error`] if the exchange fails or times out.
pub async fn fetch_retaining(
    replica: &Replica,
    timer: &Timer,
    address: SocketAddr,
    index: usize,
) -> Result<(), Error> {
    let (snapshot, _) = fetch_snapshot(replica, timer, address, index).await?;
    replica.merge_retaining(index, snapshot);
    Ok(())
}

/// Requests what `replica` lacks of the prefix at `index`. Returns it with the size of the response in bytes.
async fn fetch_snapshot(
    replica: &Replica,
    timer: &Timer,
    address: SocketAddr,
    index: usize,
) -> Result<(Snapshot, usize), Error> {
    let after = replica.position(index);
    let mut bytes = Vec::new();
    let exchange = request(address, index, after, &mut bytes);
    let exchanged = timer.until(timer.now() + EXCHANGE_TIMEOUT, exchange).await;
    exchanged.map_err(|_| Error::Timeout {
        received: bytes.len(),
    })??;
    let response: Response =
        serde_json::from_slice(&bytes).map_err(|error| malformed_error(&error))?;
    if let Some(recovered_ms) = response.recovered_ms {
        let at = timer.now() - Span::from_millis(recovered_ms);
        replica.record_relayed_recovery(index, at);
    }
    let decode = |encoded: Vec<EncodedChange>| -> Result<Vec<Change>, Error> {
        encoded.into_iter().map(Change::try_from).collect()
    };
    let at = |revision| Version::at(Era::new(response.era), revision);
    let snapshot = Snapshot {
        changes: decode(response.changes)?,
        is_listing: response.listing,
        retained: decode(response.retained)?,
        position: at(response.position),
        gap: response.gap.map(|(after, before)| Gap {
            after: at(after),
            before: at(before),
        }),
    };
    Ok((snapshot, bytes.len()))
}

/// Sends one request and reads the response into `bytes`.
async fn request(
    address: SocketAddr,
    index: usize,
    after: Version,
    bytes: &mut Vec<u8>,
) -> Result<(), Error> {
    let mut stream = TcpStream::connect(address).await?;
    let request = Request {
        index,
        after: after.revision(),
        era: after.era().get(),
    };
    let mut line = serde_json::to_vec(&request).map_err(|error| malformed_error(&error))?;
    line.push(b'\n');
    stream.write_all(&line).await?;
    stream.take(MAX_RESPONSE_BYTES).read_to_end(bytes).await?;
    Ok(())
}

fn malformed_error(error: &serde_json::Error) -> Error {
    Error::Malformed(error.to_string())
}

/// Responds to requests of other instances until the future is dropped.
pub async fn serve(replica: Arc<Replica>, timer: Timer, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "relay connection not accepted");
                timer.sleep(EXCHANGE_TIMEOUT).await;
                continue;
            }
        };
        let (replica, timer) = (replica.clone(), timer.clone());
        tokio::spawn(async move {
            let exchange = respond(&replica, &timer, stream);
            match timer.until(timer.now() + EXCHANGE_TIMEOUT, exchange).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!(error:% = error; "relay question not answered"),
                Err(_) => log::debug!("relay question took too long"),
            }
        });
    }
}

/// Reads one request and sends the response.
async fn respond(replica: &Replica, timer: &Timer, mut stream: TcpStream) -> Result<(), Error> {
    let (read_half, mut write_half) = stream.split();
    let mut line = Vec::new();
    let mut reader = BufReader::new(read_half.take(MAX_REQUEST_BYTES));
    reader.read_until(b'\n', &mut line).await?;
    let request: Request =
        serde_json::from_slice(&line).map_err(|error| malformed_error(&error))?;
    let after = Version::at(Era::new(request.era), request.after);
    let Some(snapshot) = replica.snapshot_after(request.index, after) else {
        return Err(Error::Malformed(
            "the request names an unknown prefix".to_owned(),
        ));
    };
    let encode = |changes: Vec<Change>| changes.into_iter().map(EncodedChange::from).collect();
    let response = Response {
        position: snapshot.position.revision(),
        era: snapshot.position.era().get(),
        changes: encode(snapshot.changes),
        listing: snapshot.is_listing,
        retained: encode(snapshot.retained),
        gap: snapshot
            .gap
            .map(|gap| (gap.after.revision(), gap.before.revision())),
        recovered_ms: replica
            .contact(request.index)
            .last_recovery
            .map(|at| timer.now().since(at).as_millis()),
    };
    let bytes = serde_json::to_vec(&response).map_err(|error| malformed_error(&error))?;
    write_half.write_all(&bytes).await?;
    write_half.shutdown().await?;
    Ok(())
}
