//! The canonical form of a path, by which routes are matched.
//!
//! Targets decode percent-encoded bytes and collapse slashes. A route must be chosen by the path
//! that the target will see; otherwise a request on an open route could reach a keyed one.

use std::borrow::Cow;

/// Returns the path percent-decoded and with runs of slashes collapsed; `None` if the path has dot
/// segments or backslashes, which programs interpret differently.
#[must_use]
pub fn path(raw: &str) -> Option<Cow<'_, str>> {
    if !raw.contains('%') && !raw.contains("//") {
        return is_plain(raw).then_some(Cow::Borrowed(raw));
    }
    let decoded = String::from_utf8_lossy(&decode(raw)).into_owned();
    if !is_plain(&decoded) {
        return None;
    }
    let mut path = String::with_capacity(decoded.len());
    for character in decoded.chars() {
        if character != '/' || !path.ends_with('/') {
            path.push(character);
        }
    }
    Some(Cow::Owned(path))
}

/// Percent-decodes `text` once.
#[must_use]
pub fn decode(text: &str) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let code = (byte == b'%').then(|| hexadecimal(after)).flatten();
        decoded.push(code.unwrap_or(byte));
        rest = if code.is_some() { &after[2..] } else { after };
    }
    decoded
}

fn hexadecimal(digits: &[u8]) -> Option<u8> {
    let digit = |n: usize| char::from(*digits.get(n)?).to_digit(16);
    u8::try_from(digit(0)? * 16 + digit(1)?).ok()
}

fn is_plain(path: &str) -> bool {
    let is_dot_segment = |segment: &str| matches!(segment, "." | "..");
    !path.contains('\\') && !path.split('/').any(is_dot_segment)
}
