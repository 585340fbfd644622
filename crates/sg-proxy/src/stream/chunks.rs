//! End of a request's body in chunks.

use crate::chunks::Framing;

/// Maximum length of the line with the size of a chunk, without its end.
const MAX_SIZE_DIGITS: usize = 15;
/// End of a line.
const LINE_END: &[u8] = b"\r\n";

/// Part of a body that the next bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// The line with the size of a chunk.
    Size,
    /// The data of a chunk, of which so many bytes are left.
    Data(u64),
    /// The end of the line behind the data of a chunk.
    DataEnd,
    /// The empty line behind the last chunk.
    End,
    /// Nothing, because the body is complete.
    Complete,
    /// Unknown. The body has trailers, extensions or a syntax that only the HTTP library can judge.
    Unknown,
}

/// Finds the end of a body in chunks. Only what every parser takes for the same body is told apart from what
/// follows, so that no part of a body can be taken for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Chunks {
    part: Part,
    /// Number of the next bytes that belong to the body up to `part`.
    known: usize,
    /// Framing of the bytes that were taken.
    framing: Framing,
}

impl Chunks {
    /// Starts at the first byte of a body.
    pub fn new() -> Self {
        Self {
            part: Part::Size,
            known: 0,
            framing: Framing::chunks(),
        }
    }

    /// Gives up the search for the end of the body.
    pub fn end_search(&mut self) {
        if self.part != Part::Complete {
            self.part = Part::Unknown;
        }
    }

    /// Returns how many of the first `available` bytes of `bytes` belong to the body, and counts them as taken.
    pub fn take(&mut self, bytes: &[u8], available: usize) -> usize {
        while self.known < available && self.step(&bytes[self.known..]) {}
        if self.part == Part::Unknown {
            self.known = available;
        }
        let count = available.min(self.known);
        self.known -= count;
        self.framing.follow(&bytes[..count]);
        count
    }

    /// Returns whether the body has more framing than its data allows, and may have no end.
    pub fn is_endless(&self) -> bool {
        !self.framing.is_within_bounds()
    }

    /// Returns whether all bytes of the body were taken.
    pub fn is_taken(&self) -> bool {
        self.part == Part::Complete && self.known == 0
    }

    /// Counts the next part of the body, which begins with `bytes`. Returns whether there was one.
    fn step(&mut self, bytes: &[u8]) -> bool {
        let next = match self.part {
            Part::Size => size_line(bytes),
            Part::Data(0) => Some((0, Part::DataEnd)),
            Part::Data(_) if bytes.is_empty() => None,
            Part::Data(left) => {
                let count = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
                Some((count, Part::Data(left - count as u64)))
            }
            Part::DataEnd => line_end(bytes, Part::Size),
            Part::End => line_end(bytes, Part::Complete),
            Part::Complete | Part::Unknown => None,
        };
        let Some((count, part)) = next else {
            return false;
        };
        self.known += count;
        self.part = part;
        true
    }
}

/// Returns the length of the size line at the start of `bytes` and what follows it; `None` if the line is not
/// complete.
fn size_line(bytes: &[u8]) -> Option<(usize, Part)> {
    let is_digit = |byte: &&u8| byte.is_ascii_hexdigit();
    let digits = bytes.iter().take_while(is_digit).count();
    if digits > MAX_SIZE_DIGITS {
        return Some((0, Part::Unknown));
    }
    let text = std::str::from_utf8(&bytes[..digits]).unwrap_or_default();
    let part = match u64::from_str_radix(text, 16) {
        Ok(0) => Part::End,
        Ok(size) => Part::Data(size),
        Err(_) if bytes.is_empty() => return None,
        Err(_) => Part::Unknown,
    };
    let (end, part) = line_end(&bytes[digits..], part)?;
    match part {
        Part::Unknown => Some((0, part)),
        _ => Some((digits + end, part)),
    }
}

/// Returns the length of the end of a line at the start of `bytes` and `next`; `None` if the end is not complete.
fn line_end(bytes: &[u8], next: Part) -> Option<(usize, Part)> {
    if bytes.starts_with(LINE_END) {
        Some((LINE_END.len(), next))
    } else if LINE_END.starts_with(bytes) {
        None
    } else {
        Some((0, Part::Unknown))
    }
}
