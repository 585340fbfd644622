//! Why connections to targets and to other instances failed.

use std::{error::Error, io};

use super::SendError;

/// Part of an exchange in which a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No byte of the request was sent.
    Connect,
    /// The head of the response had not arrived.
    Head,
    /// The body of the response had not arrived completely.
    Body,
}

impl Stage {
    /// Returns the label in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Head => "head",
            Self::Body => "body",
        }
    }
}

/// Failure of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Failure {
    pub stage: Stage,
    /// Label of the error: the socket's own time-out, a reset and an end are told apart.
    pub error: &'static str,
}

impl Failure {
    /// Returns the failure of a send that received no response; `None` if the connection did not fail.
    pub fn of_send(error: &SendError) -> Option<Self> {
        let (stage, error) = match error {
            SendError::NotSent(error) => (Stage::Connect, label(error)),
            SendError::Late { .. } => (Stage::Connect, label(&io::ErrorKind::TimedOut.into())),
            SendError::Withdrawn => return None,
            SendError::Lost { cause, .. } => (Stage::Head, http_label(cause)),
        };
        Some(Self { stage, error })
    }

    /// Returns the failure of a response body.
    pub fn of_body(error: &hyper::Error) -> Self {
        Self {
            stage: Stage::Body,
            error: http_label(error),
        }
    }
}

fn http_label(error: &hyper::Error) -> &'static str {
    let source = error
        .source()
        .and_then(<dyn Error>::downcast_ref::<io::Error>);
    match source {
        Some(source) => label(source),
        None if error.is_incomplete_message() => "end",
        None if error.is_parse() => "not-http",
        None if error.is_canceled() || error.is_closed() => "closed",
        None => "other",
    }
}

fn label(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::TimedOut => "timed-out",
        io::ErrorKind::ConnectionReset => "reset",
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => "unreachable",
        io::ErrorKind::BrokenPipe | io::ErrorKind::UnexpectedEof => "end",
        io::ErrorKind::InvalidData => "not-http",
        _ => "other",
    }
}
