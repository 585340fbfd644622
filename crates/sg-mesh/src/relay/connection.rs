//! The two ends of a relay connection. A transfer may take as long as bytes keep moving.

use std::net::SocketAddr;

use sg_clock::{Progress, Timer, progress::Limit};
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

use super::Error;

/// The limit of one transfer. An exchange between two instances takes about 100 ms; silence for the longest
/// time means that the network is partitioned.
const TRANSFER_LIMIT: Limit = Limit {
    stall: Span::from_millis(1_000),
    min_rate: 8 << 10,
};
/// The time after which another instance is tried while the connection to the one before has not opened.
const CONNECT_STAGGER: Span = Span::from_millis(300);
/// The size of the parts in which a response is read and written, in bytes.
const PART_BYTES: usize = 16 << 10;

/// A connection with the progress of what the other side sends, or takes.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    progress: Progress,
}

impl Connection {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, timer: &Timer) -> Self {
        Self {
            stream,
            progress: Progress::start(timer, TRANSFER_LIMIT),
        }
    }

    /// Connects to the first of `sources` that accepts. The next one is tried as well when one has failed or has not
    /// accepted in a while: on a full link the first packet may be lost.
    pub async fn open(
        timer: &Timer,
        sources: impl IntoIterator<Item = SocketAddr>,
    ) -> Result<(Self, SocketAddr), Error> {
        let deadline = timer.now() + TRANSFER_LIMIT.stall;
        let mut sources = sources.into_iter().peekable();
        let mut connects = JoinSet::new();
        let mut error = Error::Timeout { received: 0 };
        loop {
            if let Some(source) = sources.next() {
                connects.spawn(async move { (source, TcpStream::connect(source).await) });
            }
            if connects.is_empty() {
                return Err(error);
            }
            let until = match sources.peek() {
                Some(_) => deadline.min(timer.now() + CONNECT_STAGGER),
                None => deadline,
            };
            match timer.until(until, connects.join_next()).await {
                Ok(Some(Ok((source, Ok(stream))))) => {
                    return Ok((Self::new(stream, timer), source));
                }
                Ok(Some(Ok((_, Err(failure))))) => error = Error::Io(failure),
                // Connects don't panic and are not aborted.
                Ok(Some(Err(_)) | None) => {}
                Err(_) if timer.now() >= deadline => return Err(error),
                Err(_) => {}
            }
        }
    }

    /// Returns the number of bytes that were read or written so far.
    pub fn bytes(&self) -> usize {
        usize::try_from(self.progress.bytes()).unwrap_or(usize::MAX)
    }

    fn timeout_error(&self) -> Error {
        Error::Timeout {
            received: self.bytes(),
        }
    }

    /// Reads at most `limit` more bytes into `buffer`. Returns their number, zero at the end.
    async fn read_part(&mut self, buffer: &mut Vec<u8>, limit: usize) -> Result<usize, Error> {
        let start = buffer.len();
        buffer.resize(start + limit.min(PART_BYTES), 0);
        let read = self.progress.step(self.stream.read(&mut buffer[start..]));
        let read = read.await;
        buffer.truncate(start + read.as_ref().map_or(0, |read| *read.as_ref().unwrap_or(&0)));
        let count = read.map_err(|_| self.timeout_error())??;
        self.progress.record(count);
        Ok(count)
    }

    /// Reads `count` bytes.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] if the other side ends the connection before.
    pub async fn read_exact(&mut self, count: usize) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        while bytes.len() < count {
            let rest = count - bytes.len();
            if self.read_part(&mut bytes, rest).await? == 0 {
                return Err(Error::Malformed("the response ended early".to_owned()));
            }
        }
        Ok(bytes)
    }

    /// Reads what follows `bytes` until the end of the connection.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] if that is more than `limit` bytes.
    pub async fn read_to_end(
        &mut self,
        mut bytes: Vec<u8>,
        limit: usize,
    ) -> Result<Vec<u8>, Error> {
        while self.read_part(&mut bytes, PART_BYTES).await? > 0 {
            if bytes.len() > limit {
                return Err(Error::Malformed("the message is too long".to_owned()));
            }
        }
        Ok(bytes)
    }

    /// Reads a line of at most `limit` bytes.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] if there is no such line.
    pub async fn read_line(&mut self, limit: usize) -> Result<Vec<u8>, Error> {
        let mut line = Vec::new();
        loop {
            let start = line.len();
            let count = self.read_part(&mut line, limit - start).await?;
            if let Some(end) = line[start..].iter().position(|byte| *byte == b'\n') {
                line.truncate(start + end);
                return Ok(line);
            }
            if count == 0 || line.len() >= limit {
                return Err(Error::Malformed("the request has no end".to_owned()));
            }
        }
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, mut bytes: &[u8]) -> Result<(), Error> {
        while !bytes.is_empty() {
            let part = &bytes[..bytes.len().min(PART_BYTES)];
            let written = self.progress.step(self.stream.write(part)).await;
            let count = written.map_err(|_| self.timeout_error())??;
            self.progress.record(count);
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Writes a request. The progress of the response begins then.
    pub async fn ask(&mut self, request: &[u8], timer: &Timer) -> Result<(), Error> {
        self.write(request).await?;
        self.progress = Progress::start(timer, TRANSFER_LIMIT);
        Ok(())
    }

    /// Tells the other side that nothing follows.
    pub async fn finish(mut self) -> Result<(), Error> {
        Ok(self.stream.shutdown().await?)
    }
}
