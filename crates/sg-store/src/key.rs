//! Keys of client accounts. A key is generated here, shown once, and stored only as a digest.
//!
//! To rotate a key, add a second one to the client account, distribute it, then set `withdrawn` on
//! the first. Both keys are valid in the meantime.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use sg_tree::Digest;

/// Prefix of all keys, by which secret scanners recognize a leaked key.
pub const PREFIX: &str = "sgk_";
/// Size of the random part, in bytes.
const RANDOM_BYTES: usize = 32;

/// A key in plain text. The `Debug` form hides the key. Use `Display` once, to show the key to its
/// owner.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(String);

impl Key {
    /// Returns the digest that the tree stores for the key.
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

/// Generates a key with 256 random bits.
#[must_use]
pub fn generate() -> Key {
    let bytes: [u8; RANDOM_BYTES] = rand::random();
    Key(format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes)))
}
