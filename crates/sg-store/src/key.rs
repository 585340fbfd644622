//! Keys of client accounts: made here, shown once, stored as digests only.
//!
//! To rotate a key, add a second one to the client account, give it out, then set `withdrawn` on
//! the first. Both work in between.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use sg_tree::Digest;

/// What each key starts with, so that scanners recognise one that leaked.
pub const PREFIX: &str = "sgk_";
/// The random part, in bytes.
const LEN: usize = 32;

/// A key in plain text. Its `Debug` form hides it; write it with `Display` once, to its owner.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(String);

impl Key {
    /// What the tree holds of the key.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Makes a key of 256 random bits.
#[must_use]
pub fn generate() -> Key {
    let bytes: [u8; LEN] = rand::random();
    Key(format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes)))
}
