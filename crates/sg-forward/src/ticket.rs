//! Tickets. A ticket permits one run of a request that may not be repeated, and only the issuing
//! instance may run that request.

use std::{fmt, str::FromStr};

use sg_types::prelude::*;
use subtle::ConstantTimeEq;

/// Separates the fields of a ticket's text form.
const SEPARATOR: char = ':';
/// The length of the message authentication code, in bytes.
const MAC_LEN: usize = 16;

/// A ticket. Text form: `INSTANCE:INCARNATION:SEQUENCE:EXPIRY:MAC`, numbers in hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The issuing instance.
    pub instance: id::Instance,
    /// The incarnation of the issuing instance.
    pub incarnation: Incarnation,
    /// The ticket's number within the incarnation.
    pub sequence: Sequence,
    /// The time of expiry by the issuer's clock.
    pub expires: Instant,
    mac: [u8; MAC_LEN],
}

/// The number of a ticket within one incarnation of its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sequence(u64);

/// The text could not be parsed as a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a valid ticket; get one from Sg-Ticket or POST /.sg/ticket")]
pub struct Malformed;

impl Sequence {
    /// Creates a sequence number from its value.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{:x}:{:x}:{:x}:{:032x}",
            self.instance,
            self.incarnation.get(),
            self.sequence.0,
            self.expires.as_nanos(),
            u128::from_be_bytes(self.mac)
        )
    }
}

impl FromStr for Ticket {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.trim().trim_matches('"').split(SEPARATOR);
        let mut next = || parts.next().ok_or(Malformed);
        let instance = next()?.parse().map_err(|_| Malformed)?;
        let incarnation = parse_hex(next()?)?;
        let sequence = parse_hex(next()?)?;
        let expires = parse_hex(next()?)?;
        let mac = u128::from_str_radix(next()?, 16).map_err(|_| Malformed)?;
        if parts.next().is_some() {
            return Err(Malformed);
        }
        Ok(Self {
            instance,
            incarnation: Incarnation::new(incarnation),
            sequence: Sequence(sequence),
            expires: Instant::from_nanos(expires),
            mac: mac.to_be_bytes(),
        })
    }
}

fn parse_hex(text: &str) -> Result<u64, Malformed> {
    u64::from_str_radix(text, 16).map_err(|_| Malformed)
}

/// Issues tickets and verifies them.
pub struct TicketIssuer {
    instance: id::Instance,
    incarnation: Incarnation,
    secret: [u8; blake3::KEY_LEN],
}

impl fmt::Debug for TicketIssuer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mint")
            .field("instance", &self.instance)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl TicketIssuer {
    /// Creates an issuer with a random secret, which is lost when the process ends.
    #[must_use]
    pub fn new(instance: id::Instance, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            secret: rand::random(),
        }
    }

    /// Issues a ticket to `account`.
    #[must_use]
    pub fn issue(
        &self,
        account: Option<&id::Account>,
        sequence: Sequence,
        expires: Instant,
    ) -> Ticket {
        Ticket {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence,
            expires,
            mac: self.mac(account, sequence, expires),
        }
    }

    /// Returns whether the ticket names this incarnation of this instance.
    #[must_use]
    pub fn names_this_incarnation(&self, ticket: &Ticket) -> bool {
        ticket.instance == self.instance && ticket.incarnation == self.incarnation
    }

    /// Returns whether this issuer issued the ticket to `account`.
    #[must_use]
    pub fn has_issued(&self, ticket: &Ticket, account: Option<&id::Account>) -> bool {
        let mac = self.mac(account, ticket.sequence, ticket.expires);
        self.names_this_incarnation(ticket) && bool::from(mac.ct_eq(&ticket.mac))
    }

    fn mac(
        &self,
        account: Option<&id::Account>,
        sequence: Sequence,
        expires: Instant,
    ) -> [u8; MAC_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&sequence.0.to_le_bytes());
        hasher.update(&expires.as_nanos().to_le_bytes());
        hasher.update(&[u8::from(account.is_some())]);
        hasher.update(account.map_or("", id::Account::as_str).as_bytes());
        let mut mac = [0; MAC_LEN];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_LEN]);
        mac
    }
}
