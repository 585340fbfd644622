//! Fetches changes of the store from an instance with a newer copy, for use while this instance doesn't follow the
//! store, or can't reach it in time.
//!
//! One TCP connection carries one request, a line of JSON, and one response. The response of an instance that knows
//! how is compressed, and has its large values last, so that orders and targets don't wait for them.

mod connection;
mod message;

use std::{io, net::SocketAddr};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_store::{Version, version::Era};
use sg_types::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use self::{
    connection::Connection,
    message::{
        EncodedChange, EncodedDeletion, FrameCache, PACKED, Request, Response, malformed_error,
    },
};
use crate::{
    follower::Replica,
    mirror::{Change, Gap, Snapshot},
    retention::{Deletion, EncodedRange, Range},
};

/// The largest response without compression, and the largest frame, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 1_024;
/// The time after which connections are accepted again after an error.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(100);

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
    /// No byte came for too long, or too few came on average.
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
    /// The instance that responded.
    pub from: SocketAddr,
    /// The number of changes in the response.
    pub changes: usize,
    /// The size of the response in bytes.
    pub bytes: usize,
}

/// Requests the changes of the prefix at `index` that `replica` lacks from the first of `sources` that responds, and
/// applies them.
///
/// # Errors
/// Returns [`Error`] if no response begins within 4 s, or if it then makes no progress for 2 s.
pub async fn fetch(
    replica: &Replica,
    timer: &Timer,
    sources: &[SocketAddr],
    index: usize,
) -> Result<Outcome, Error> {
    let (snapshot, outcome) = fetch_snapshot(replica, timer, sources, index).await?;
    replica.merge(index, snapshot);
    Ok(outcome)
}

/// Like [`fetch`], but also applies the state of an instance that has not noticed the store's era yet. It
/// is for an instance that has just started.
///
/// # Errors
/// Returns [`Error`] like [`fetch`].
pub async fn fetch_retaining(
    replica: &Replica,
    timer: &Timer,
    source: SocketAddr,
    index: usize,
) -> Result<(), Error> {
    let (snapshot, _) = fetch_snapshot(replica, timer, &[source], index).await?;
    replica.merge_retaining(index, snapshot);
    Ok(())
}

/// Requests what `replica` lacks of the prefix at `index`. Changes that arrive before a large value are applied at
/// once.
async fn fetch_snapshot(
    replica: &Replica,
    timer: &Timer,
    sources: &[SocketAddr],
    index: usize,
) -> Result<(Snapshot, Outcome), Error> {
    let after = replica.position(index);
    let request = Request {
        index,
        after: after.revision(),
        era: after.era().get(),
        packed: true,
    };
    let mut line = serde_json::to_vec(&request).map_err(malformed_error)?;
    line.push(b'\n');
    let (mut connection, from, first) = Connection::open(timer, sources, &line.into()).await?;
    let mut snapshot = if first == PACKED {
        let response: Response = message::unpack(&read_frame(&mut connection).await?)?;
        let frames = response.frames;
        let mut snapshot = decode(replica, timer, index, response)?;
        if frames > 0 && !snapshot.is_listing {
            replica.merge_part(index, snapshot.position.era(), snapshot.changes.clone());
        }
        for _ in 0..frames {
            let change: EncodedChange = message::unpack(&read_frame(&mut connection).await?)?;
            snapshot.changes.push(change.try_into()?);
        }
        snapshot
    } else {
        let json = connection
            .read_to_end(vec![first], MAX_RESPONSE_BYTES)
            .await?;
        decode(replica, timer, index, message::parse(&json)?)?
    };
    snapshot.changes.sort_by_key(|change| change.version);
    let outcome = Outcome {
        from,
        changes: snapshot.changes.len(),
        bytes: connection.bytes(),
    };
    Ok((snapshot, outcome))
}

/// Reads one frame without its length.
async fn read_frame(connection: &mut Connection) -> Result<Vec<u8>, Error> {
    let length = connection.read_exact(size_of::<u32>()).await?;
    let length = length.try_into().map(u32::from_le_bytes);
    let length = length.ok().and_then(|length| usize::try_from(length).ok());
    match length.filter(|length| *length <= MAX_RESPONSE_BYTES) {
        Some(length) => connection.read_exact(length).await,
        None => Err(malformed_error("the frame is too long")),
    }
}

/// Returns the state in a response, and records when its sender last regained the store.
fn decode(
    replica: &Replica,
    timer: &Timer,
    index: usize,
    response: Response,
) -> Result<Snapshot, Error> {
    if let Some(recovered_ms) = response.recovered_ms {
        let at = timer.now() - Span::from_millis(recovered_ms);
        replica.record_relayed_recovery(index, at);
    }
    let decode = |encoded: Vec<EncodedChange>| -> Result<Vec<Change>, Error> {
        encoded.into_iter().map(Change::try_from).collect()
    };
    let at = |revision| Version::at(Era::new(response.era), revision);
    Ok(Snapshot {
        changes: decode(response.changes)?,
        is_listing: response.listing,
        retained: decode(response.retained)?,
        deletions: response.deletions.into_iter().map(Deletion::from).collect(),
        known: response.known.map(Range::from),
        position: at(response.position),
        gap: response.gap.map(|(after, before)| Gap {
            after: at(after),
            before: at(before),
        }),
    })
}

/// What the responses of an instance are made of.
struct Sender {
    replica: Arc<Replica>,
    timer: Timer,
    cache: Mutex<FrameCache>,
}

/// Responds to requests of other instances until the future is dropped.
pub async fn serve(replica: Arc<Replica>, timer: Timer, listener: TcpListener) {
    let sender = Arc::new(Sender {
        replica,
        timer,
        cache: Mutex::default(),
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "relay connection not accepted");
                sender.timer.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            if let Err(error) = sender.respond(stream).await {
                log::debug!(error:% = error; "relay question not answered");
            }
        });
    }
}

impl Sender {
    /// Reads one request and sends the response.
    async fn respond(&self, stream: TcpStream) -> Result<(), Error> {
        let mut connection = Connection::new(stream, &self.timer);
        let line = connection.read_line(MAX_REQUEST_BYTES).await?;
        let request: Request = message::parse(&line)?;
        let after = Version::at(Era::new(request.era), request.after);
        let Some(snapshot) = self.replica.snapshot_after(request.index, after) else {
            return Err(malformed_error("the request names an unknown prefix"));
        };
        if request.packed {
            let frames = self.pack(request.index, snapshot)?;
            connection.write(&[PACKED]).await?;
            for frame in frames {
                connection.write(&frame).await?;
            }
        } else {
            let response = self.encode(request.index, &snapshot, false);
            let json = serde_json::to_vec(&response).map_err(malformed_error)?;
            connection.write(&json).await?;
        }
        connection.finish().await
    }

    /// Returns the frames of a packed response.
    fn pack(&self, index: usize, mut snapshot: Snapshot) -> Result<Vec<Arc<[u8]>>, Error> {
        let is_large = |change: &mut Change| {
            let value = change.value.as_ref();
            value.is_some_and(|value| value.len() >= message::LARGE_VALUE_BYTES)
        };
        let large: Vec<Change> = snapshot.changes.extract_if(.., is_large).collect();
        let mut response = self.encode(index, &snapshot, true);
        response.frames = large.len();
        let mut frames: Vec<Arc<[u8]>> = vec![message::pack(&response)?.into()];
        let mut cache = self.cache.lock();
        for change in &large {
            frames.push(cache.frame(change)?);
        }
        Ok(frames)
    }

    fn encode(&self, index: usize, snapshot: &Snapshot, text_is_allowed: bool) -> Response {
        let encode = |changes: &[Change]| {
            let encoded = changes.iter();
            encoded
                .map(|change| EncodedChange::new(change, text_is_allowed))
                .collect()
        };
        let now = self.timer.now();
        let recovered_at = self.replica.contact(index).last_recovery;
        Response {
            position: snapshot.position.revision(),
            era: snapshot.position.era().get(),
            changes: encode(&snapshot.changes),
            listing: snapshot.is_listing,
            retained: encode(&snapshot.retained),
            deletions: snapshot
                .deletions
                .iter()
                .cloned()
                .map(EncodedDeletion::from)
                .collect(),
            known: snapshot.known.map(EncodedRange::from),
            gap: snapshot
                .gap
                .map(|gap| (gap.after.revision(), gap.before.revision())),
            recovered_ms: recovered_at.map(|at| now.since(at).as_millis()),
            frames: 0,
        }
    }
}
