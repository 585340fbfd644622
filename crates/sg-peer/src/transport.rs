//! How frames and trees travel between instances.

use std::{future::Future, net::SocketAddr};

use serde::{Deserialize, Serialize};
use sg_store::Head;
use sg_types::revision::Revision;

use crate::{Frame, frame::Refused, handler::Handler};

/// The largest part of a tree's text in one answer, in bytes.
pub const PART: usize = 256 << 10;
/// The largest text of a tree that is fetched, in bytes.
pub const MAX_TREE: usize = 64 << 20;

/// Asks for a part of a tree's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The revision.
    pub revision: Revision,
    /// Where the part starts, in bytes.
    pub offset: usize,
}

/// A part of a tree's text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// The head of the revision.
    pub head: Head,
    /// The length of the whole text, in bytes.
    pub total: usize,
    /// The part.
    pub text: String,
}

/// Why an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No answer came in time.
    #[error("the instance did not answer in time; check that it runs and is not overloaded")]
    Timeout,
    /// The instance can't be reached, or the connection was lost.
    #[error("the instance can't be reached ({0}); check the network and the peer address")]
    Unreachable(String),
    /// The instance did not take the frame.
    #[error(transparent)]
    Refused(#[from] Refused),
    /// The instance no longer has what was asked for, or never had.
    #[error("the instance does not have that revision; ask another one")]
    Absent,
    /// The answer can't be read.
    #[error("the answer can't be read ({0}); check that all instances run the same release")]
    Malformed(String),
}

impl Error {
    /// The text that counters carry.
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

/// Carries frames between instances.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Serves until it is dropped.
    type Server: Send + 'static;

    /// Starts to answer others at `address`.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if the address can't be listened on.
    fn serve(
        &self,
        address: SocketAddr,
        handler: Handler,
    ) -> impl Future<Output = Result<Self::Server, Error>> + Send;

    /// Sends a frame and waits for the answer.
    ///
    /// # Errors
    /// See [`Error`].
    fn exchange(
        &self,
        to: SocketAddr,
        frame: &Frame,
    ) -> impl Future<Output = Result<Frame, Error>> + Send;

    /// Asks for a part of a tree.
    ///
    /// # Errors
    /// See [`Error`].
    fn tree(&self, to: SocketAddr, part: Part)
    -> impl Future<Output = Result<Slice, Error>> + Send;
}
