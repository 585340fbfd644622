//! Where a response begins and ends in the bytes of a connection.

use http::HeaderName;

/// Maximum number of header fields of a response, that of the HTTP library.
const MAX_FIELDS: usize = 100;

/// Start of the head of a response.
pub const HEAD_START: &[u8] = b"HTTP/1.";

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

    /// Returns the id of the request that a head names whose status line can't be parsed, once all its fields are there.
    pub fn id_behind_invalid_status(bytes: &'a [u8], id_header: &HeaderName) -> Option<&'a [u8]> {
        let line_end = bytes.iter().position(|byte| *byte == b'\n')?;
        if !bytes.starts_with(HEAD_START) {
            return None;
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let parsed = httparse::parse_headers(&bytes[line_end + 1..], &mut fields);
        let Ok(httparse::Status::Complete((_, fields))) = parsed else {
            return None;
        };
        let mut fields = fields.iter();
        let id = fields.find(|field| field.name.eq_ignore_ascii_case(id_header.as_str()))?;
        Some(id.value)
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
