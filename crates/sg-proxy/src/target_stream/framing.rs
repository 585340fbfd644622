//! Where a response begins and ends in the bytes of a connection.

use http::HeaderName;

/// Maximum number of header fields of a response, that of the HTTP library.
const MAX_FIELDS: usize = 100;

/// Result of parsing the bytes at which a response should begin.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<'a> {
    /// The head is not complete.
    Partial,
    /// The bytes are not the head of a response.
    Invalid,
    Complete(Head<'a>),
}

/// Head of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct Head<'a> {
    /// Number of bytes.
    pub length: usize,
    pub status: u16,
    /// Id of the request that the response names.
    pub id: Option<&'a [u8]>,
    pub body: BodyLength,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    Bytes(u64),
    Chunks,
    /// The body ends with the connection, or its length can't be parsed.
    Unknown,
}

impl<'a> Head<'a> {
    /// Parses the head of a response, which names its request in the field `id_header`.
    pub fn parse(bytes: &'a [u8], id_header: &HeaderName) -> Parsed<'a> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Parsed::Partial,
            Err(_) => return Parsed::Invalid,
        };
        let status = response.code.unwrap_or_default();
        let id = response
            .headers
            .iter()
            .find(|field| field.name.eq_ignore_ascii_case(id_header.as_str()));
        Parsed::Complete(Self {
            length,
            status,
            id: id.map(|field| field.value),
            body: body_length(status, response.headers),
        })
    }

    /// Returns whether another head follows for the same request.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status) && self.status != 101
    }
}

fn body_length(status: u16, fields: &[httparse::Header<'_>]) -> BodyLength {
    if matches!(status, 204 | 304) {
        return BodyLength::Bytes(0);
    }
    let values = |name: &'static str| {
        let named = fields
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name));
        named.map(|field| field.value.trim_ascii())
    };
    if let Some(coding) = values("transfer-encoding").next_back() {
        let last = coding.rsplit(|byte| *byte == b',').next();
        return match last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked")) {
            true => BodyLength::Chunks,
            false => BodyLength::Unknown,
        };
    }
    let mut lengths = values("content-length");
    match (lengths.next().and_then(parse_digits), lengths.next()) {
        (Some(length), None) => BodyLength::Bytes(length),
        _ => BodyLength::Unknown,
    }
}

fn parse_digits(text: &[u8]) -> Option<u64> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_number)?;
    text.parse().ok()
}

/// What of a body comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rest {
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
pub enum Step {
    /// So many bytes belong to the body, and this comes next; `None` if the body has ended.
    Consumed(usize, Option<Rest>),
    /// The bytes are not a body in chunks.
    Invalid,
}

impl Rest {
    /// The beginning of a body in chunks.
    pub const CHUNKS: Self = Self::ChunkSize(None);

    /// Returns whether data comes next, rather than lines that frame the data.
    pub const fn is_data(self) -> bool {
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
