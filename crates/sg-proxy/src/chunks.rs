//! Bodies in chunks, and bounds on what frames them.
//!
//! The HTTP library reads the lines with the sizes of chunks byte by byte and without a bound, so that a sender
//! whose line has no end would keep its thread from other connections.

/// Maximum number of bytes that frame a message: interim responses, lines with the sizes of chunks, trailers.
/// Each byte of data allows [`FRAMING_PER_DATA_BYTE`] more.
const MAX_FRAMING_BYTES: u64 = 16 << 10;
/// Number of bytes that may frame a byte of data. A chunk with one byte has three before its data.
const FRAMING_PER_DATA_BYTE: u64 = 4;
/// Maximum number of interim responses to a request.
const MAX_INTERIM_RESPONSES: u64 = 32;

/// Framing of a message, as far as it was followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Framing {
    /// What of a body in chunks comes next; `None` in a message without chunks, or behind the last one.
    rest: Option<Rest>,
    interim_responses: u64,
    framing_bytes: u64,
    data_bytes: u64,
}

impl Framing {
    /// Returns the framing of a message whose body begins, in chunks.
    pub const fn chunks() -> Self {
        Self {
            rest: Some(Rest::CHUNKS),
            interim_responses: 0,
            framing_bytes: 0,
            data_bytes: 0,
        }
    }

    /// Records an interim response of `length` bytes.
    pub fn record_interim_response(&mut self, length: usize) {
        self.interim_responses += 1;
        self.framing_bytes += length as u64;
    }

    /// Records that the body begins, in chunks.
    pub fn start_chunks(&mut self) {
        self.rest = Some(Rest::CHUNKS);
    }

    /// Follows the next bytes of the message, until the body ends or the bounds are passed. Returns the number
    /// of bytes that belong to the body.
    pub fn follow(&mut self, bytes: &[u8]) -> usize {
        let mut followed = 0;
        while let Some(rest) = self.rest
            && followed < bytes.len()
            && self.is_within_bounds()
        {
            match rest.step(&bytes[followed..]) {
                Step::Consumed(count, next) => {
                    self.record(rest, count);
                    self.rest = next;
                    followed += count;
                }
                // The HTTP library reports what is wrong.
                Step::Invalid => self.rest = Some(Rest::Bytes(u64::MAX)),
            }
        }
        followed
    }

    /// Returns whether no body in chunks is left.
    pub fn has_ended(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns whether the message has no more framing than its data allows.
    pub fn is_within_bounds(&self) -> bool {
        let data_allows = self.data_bytes.saturating_mul(FRAMING_PER_DATA_BYTE);
        self.interim_responses <= MAX_INTERIM_RESPONSES
            && self.framing_bytes <= MAX_FRAMING_BYTES.saturating_add(data_allows)
    }

    fn record(&mut self, rest: Rest, count: usize) {
        let bytes = if rest.is_data() {
            &mut self.data_bytes
        } else {
            &mut self.framing_bytes
        };
        *bytes += count as u64;
    }
}

/// What of a body comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rest {
    /// So many bytes, and then the end.
    Bytes(u64),
    /// The size of a chunk, of which these digits were read.
    ChunkSize(Option<u64>),
    /// The rest of the line with this size of a chunk.
    ChunkExtension(u64),
    /// The data of a chunk and the end of its line.
    Chunk(u64),
    /// The lines after the last chunk; the one that has begun may be the empty line at the end.
    Trailers { is_empty: bool },
}

/// Result of a step through a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// So many bytes belong to the body, and this comes next; `None` if the body has ended.
    Consumed(usize, Option<Rest>),
    /// The bytes are not a body in chunks.
    Invalid,
}

impl Rest {
    /// The beginning of a body in chunks.
    pub const CHUNKS: Self = Self::ChunkSize(None);

    /// Returns whether data comes next, rather than lines that frame the data.
    const fn is_data(self) -> bool {
        matches!(self, Self::Bytes(_) | Self::Chunk(_))
    }

    /// Consumes the bytes at the start of `bytes` that belong to the body, up to the next part of it.
    pub fn step(self, bytes: &[u8]) -> Step {
        match self {
            Self::Bytes(0) => Step::Consumed(0, None),
            Self::Chunk(0) => Step::Consumed(0, Some(Self::CHUNKS)),
            Self::Bytes(left) => {
                let (taken, left) = take(bytes, left);
                Step::Consumed(taken, Some(Self::Bytes(left)))
            }
            Self::Chunk(left) => {
                let (taken, left) = take(bytes, left);
                Step::Consumed(taken, Some(Self::Chunk(left)))
            }
            Self::ChunkSize(digits) => step_chunk_size(digits, bytes),
            Self::ChunkExtension(size) => match line_end(bytes) {
                None => Step::Consumed(bytes.len(), Some(self)),
                Some(end) if size == 0 => {
                    Step::Consumed(end, Some(Self::Trailers { is_empty: true }))
                }
                Some(end) => {
                    let data = size.saturating_add(b"\r\n".len() as u64);
                    Step::Consumed(end, Some(Self::Chunk(data)))
                }
            },
            Self::Trailers { is_empty } => {
                let end = line_end(bytes);
                let line = &bytes[..end.unwrap_or(bytes.len())];
                let is_empty = is_empty && line.trim_ascii().is_empty();
                let next = match end {
                    Some(_) if is_empty => None,
                    Some(_) => Some(Self::Trailers { is_empty: true }),
                    None => Some(Self::Trailers { is_empty }),
                };
                Step::Consumed(line.len(), next)
            }
        }
    }
}

fn step_chunk_size(mut digits: Option<u64>, bytes: &[u8]) -> Step {
    for (index, byte) in bytes.iter().enumerate() {
        let size = match (char::from(*byte).to_digit(16), digits) {
            (Some(digit), None) => Some(u64::from(digit)),
            (Some(digit), Some(size)) => size.checked_mul(16).map(|size| size + u64::from(digit)),
            (None, Some(size)) if b"\r \t;".contains(byte) => {
                return Step::Consumed(index, Some(Rest::ChunkExtension(size)));
            }
            (None, _) => None,
        };
        if size.is_none() {
            return Step::Invalid;
        }
        digits = size;
    }
    Step::Consumed(bytes.len(), Some(Rest::ChunkSize(digits)))
}

/// Returns the length of the first line with its end.
fn line_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(end + 1)
}

/// Returns how many of `left` bytes there are, and how many are left then.
fn take(bytes: &[u8], left: u64) -> (usize, u64) {
    let taken = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
    (taken, left - taken as u64)
}
