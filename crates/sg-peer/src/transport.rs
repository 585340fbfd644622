//! Transport of frames and trees between instances.

use std::{future::Future, net::SocketAddr};

use serde::{Deserialize, Serialize};
use sg_store::Head;
use sg_types::revision::Revision;

use crate::{Frame, frame::Rejection, handler::Handler};

/// The maximum size of one chunk of a tree's text, in bytes.
pub const MAX_CHUNK_BYTES: usize = 256 << 10;
/// The least size to which a downloader reduces the chunks that it asks for, in bytes.
pub const MIN_CHUNK_BYTES: usize = 8 << 10;
/// The maximum size of the text of a fetched tree, in bytes.
pub const MAX_TREE_BYTES: usize = 64 << 20;

/// A request for a chunk of a tree's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The revision of the tree.
    pub revision: Revision,
    /// The offset of the chunk, in bytes.
    pub offset: usize,
    /// The largest size of the chunk that the sender wants, in bytes. Earlier releases neither send nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_bytes: Option<usize>,
}

/// A chunk of a tree's text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The head of the revision.
    pub head: Head,
    /// The length of the entire text, in bytes.
    pub total: usize,
    /// The text of the chunk.
    pub text: String,
}

/// The reason for which an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No response came in time.
    #[error("the instance did not respond in time; check that it runs and is not overloaded")]
    Timeout,
    /// The instance can't be reached, or the connection was lost.
    #[error("the instance can't be reached ({0}); check the network and its peer address")]
    Unreachable(String),
    /// The instance refused the frame.
    #[error(transparent)]
    Refused(#[from] Rejection),
    /// The instance does not have the requested revision.
    #[error("the instance does not have that revision; ask another one")]
    Absent,
    /// The response can't be parsed.
    #[error("the response can't be parsed ({0}); check that all instances run the same release")]
    Malformed(String),
}

impl Error {
    /// Returns the value of the `reason` metric label.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Unreachable(_) => "unreachable",
            Self::Refused(refused) => refused.as_str(),
            Self::Absent => "absent",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// A transport of frames between instances.
pub trait Transport: Clone + Send + Sync + 'static {
    /// A running server, which stops when it is dropped.
    type Server: Send + 'static;

    /// Starts to serve other instances at `address`.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if the transport can't listen on the address.
    fn serve(
        &self,
        address: SocketAddr,
        handler: Handler,
    ) -> impl Future<Output = Result<Self::Server, Error>> + Send;

    /// Sends a frame and waits for the response.
    ///
    /// # Errors
    /// See [`Error`].
    fn exchange(
        &self,
        to: SocketAddr,
        frame: &Frame,
    ) -> impl Future<Output = Result<Frame, Error>> + Send;

    /// Requests a chunk of a tree.
    ///
    /// # Errors
    /// See [`Error`].
    fn tree_chunk(
        &self,
        to: SocketAddr,
        request: ChunkRequest,
    ) -> impl Future<Output = Result<Chunk, Error>> + Send;
}
