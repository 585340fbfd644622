//! The key that came with a request: where the key may occur, who holds it, and whether it is still
//! valid.

use http::{HeaderMap, HeaderName, HeaderValue, Uri, header};
use sg_tree::{Digest, View};
use sg_types::prelude::*;
use subtle::ConstantTimeEq;

use crate::canonical;

const SCHEME: &str = "bearer ";

/// The length from which an invalid key is searched for in the rest of the request, in bytes. Valid
/// keys are always searched for.
const MIN_SEARCHED_LEN: usize = 8;

/// The holder of a valid key. The key's text is not kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The client account.
    pub account: id::Account,
    /// The key's public name.
    pub name: id::Key,
    /// The key's digest.
    pub digest: Digest,
}

/// A key as presented in a request.
#[derive(Clone, Copy)]
pub struct PresentedKey<'a>(&'a [u8]);

/// The request has more than one `Authorization` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ambiguous;

impl<'a> PresentedKey<'a> {
    /// Returns the key in the `Authorization` header, if there is one.
    ///
    /// # Errors
    /// [`Ambiguous`] if there are several such headers.
    pub fn from_headers(headers: &'a HeaderMap) -> Result<Option<Self>, Ambiguous> {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let first = values.next();
        if values.next().is_some() {
            return Err(Ambiguous);
        }
        Ok(first.and_then(bearer).map(Self))
    }

    /// Returns the key's holder. The digests are compared in constant time.
    #[must_use]
    pub fn holder(self, view: &View) -> Option<Holder> {
        let digest = Digest::of(self.0);
        let (stored, key) = view.keys.get_key_value(&digest)?;
        let matches: bool = stored.as_bytes().ct_eq(digest.as_bytes()).into();
        matches.then(|| Holder {
            account: key.account.clone(),
            name: key.name.clone(),
            digest,
        })
    }

    /// Returns whether the key's text occurs anywhere else in the request's head.
    #[must_use]
    pub fn leaks(self, uri: &Uri, headers: &HeaderMap, valid: bool) -> bool {
        if !valid && self.0.len() < MIN_SEARCHED_LEN {
            return false;
        }
        let path = uri.path_and_query().map_or("", |path| path.as_str());
        self.occurs_in(path.as_bytes())
            || (path.contains('%') && self.occurs_in(&canonical::decode(path)))
            || self.leaks_in(headers)
    }

    /// Returns whether the key's text occurs in a header other than `Authorization`, or in a
    /// header's name.
    #[must_use]
    pub fn leaks_in(self, headers: &HeaderMap) -> bool {
        headers
            .iter()
            .filter(|(name, _)| *name != header::AUTHORIZATION)
            .any(|(name, value)| self.occurs_in(value.as_bytes()) || self.occurs_in_name(name))
    }

    fn occurs_in(self, text: &[u8]) -> bool {
        text.windows(self.0.len()).any(|part| part == self.0)
    }

    fn occurs_in_name(self, name: &HeaderName) -> bool {
        name.as_str()
            .as_bytes()
            .windows(self.0.len())
            .any(|part| part.eq_ignore_ascii_case(self.0))
    }
}

impl Holder {
    /// Returns whether the key is still valid under `view` for the same account.
    #[must_use]
    pub fn is_valid_in(&self, view: &View) -> bool {
        view.keys
            .get(&self.digest)
            .is_some_and(|key| key.account == self.account)
    }
}

fn bearer(value: &HeaderValue) -> Option<&[u8]> {
    let (scheme, key) = value.as_bytes().split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && !key.is_empty()).then_some(key)
}
