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

/// The limit of a transfer from its first byte on. An exchange between two instances takes about 100 ms, but packets
/// wait for over a second at a link that callers fill.
const TRANSFER_LIMIT: Limit = Limit {
    stall: Span::from_secs(2),
    min_rate: 8 << 10,
};
/// The time within which the first byte of a response has to arrive.
const RESPONSE_TIMEOUT: Span = Span::from_secs(4);
/// The time after which the next instance is asked as well while no response has begun.
const STAGGER: Span = Span::from_millis(400);
/// The time after which all instances have been asked and one is asked again.
const REPEAT_INTERVAL: Span = Span::from_secs(1);
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

    /// Sends `request` to one of `sources` after the other until a response begins, and returns that connection with
    /// the first byte. An attempt goes on beside the later ones: on a full link, one that began again every
    /// second would never get as far as the response.
    ///
    /// # Errors
    /// Returns the last error if all sources fail, or [`Error::Timeout`].
    pub async fn open(
        timer: &Timer,
        sources: &[SocketAddr],
        request: &Arc<[u8]>,
    ) -> Result<(Self, SocketAddr, u8), Error> {
        let deadline = timer.now() + RESPONSE_TIMEOUT;
        let mut attempts = JoinSet::new();
        let mut error = Error::Timeout { received: 0 };
        for (number, source) in sources.iter().copied().cycle().enumerate() {
            let (own_timer, request) = (timer.clone(), request.clone());
            attempts.spawn(async move {
                let attempt = Self::attempt(&own_timer, source, &request).await;
                attempt.map(|(connection, first)| (connection, source, first))
            });
            let pause = match number + 1 < sources.len() {
                true => STAGGER,
                false => REPEAT_INTERVAL,
            };
            let next_at = deadline.min(timer.now() + pause);
            // Ends when the next source is due, and at once if all have failed.
            while let Ok(attempt) = timer.until(next_at, attempts.join_next()).await {
                match attempt {
                    Some(Ok(Ok(opened))) => return Ok(opened),
                    Some(Ok(Err(failure))) => error = failure,
                    // Attempts don't panic and are not aborted.
                    Some(Err(_)) => {}
                    None if number + 1 < sources.len() => break,
                    None => return Err(error),
                }
            }
            if timer.now() >= deadline {
                break;
            }
        }
        Err(error)
    }

    /// Connects to `source`, sends `request` and waits for the first byte of the response.
    async fn attempt(
        timer: &Timer,
        source: SocketAddr,
        request: &[u8],
    ) -> Result<(Self, u8), Error> {
        let mut connection = Self::new(TcpStream::connect(source).await?, timer);
        connection.stream.write_all(request).await?;
        let first = connection.stream.read_u8().await?;
        connection.progress = Progress::start(timer, TRANSFER_LIMIT);
        connection.progress.record(1);
        Ok((connection, first))
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

    /// Tells the other side that nothing follows.
    pub async fn finish(mut self) -> Result<(), Error> {
        Ok(self.stream.shutdown().await?)
    }
}
