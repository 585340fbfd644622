//! Errors of calls to the store.

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established. The call did not take effect.
    #[error(
        "the store can't be reached ({cause}); check the address and that the store is running"
    )]
    Unreachable {
        /// Cause reported by the connection attempt.
        cause: String,
    },
    /// The response was not received, or reports a server error after a write. The write may or may
    /// not have taken effect.
    #[error(
        "the store's response was lost ({cause}); read the key back to learn whether it was written"
    )]
    ResponseLost {
        /// Cause of the loss.
        cause: String,
    },
    /// The store rejected the call. The call did not take effect.
    #[error("the store rejected the call with status {status}: {message}; try again later")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Message of the store.
        message: String,
    },
    /// The response is not valid.
    #[error("the store's response can't be parsed ({cause}); check the store's address")]
    Malformed {
        /// Description of the problem.
        cause: String,
    },
    /// The value exceeds the size limit of the store.
    #[error("a value of {size} bytes exceeds the store's limit of {limit} bytes; split the value")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The store has discarded the changes that the watch asked for.
    #[error(
        "the store has discarded the changes since the start of the watch; read all keys again"
    )]
    HistoryCompacted,
    /// The call refers to a version of an earlier era and was not sent, or the era changed during the call.
    #[error("the store has come back from an older copy; read the key again before writing")]
    EraEnded,
    /// The lease has expired or was never granted.
    #[error("the lease has expired; grant a new one and write its keys again")]
    LeaseExpired,
}
