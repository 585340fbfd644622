//! Definitions of all settings: name, format, the kinds of nodes that use the setting, default and
//! description.

use std::net::SocketAddr;

use sg_types::prelude::*;

use crate::{Digest, Kind};

/// The format of a setting's value in text form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Requests per second, greater than zero, such as `50/s`.
    Rate,
    /// A length of time, such as `250ms`.
    Span,
    /// A size, such as `64KiB`.
    Bytes,
    /// A fraction, such as `12.5%`.
    Percent,
    /// Bits per second, greater than zero, such as `280Mbit/s`.
    Bandwidth,
    /// An integer of at least one.
    Count,
    /// `yes` or `no`.
    Flag,
    /// `open` or `keyed`.
    Access,
    /// An IP address and port, such as `127.0.0.1:9000`.
    Address,
    /// The name of a failure domain.
    Domain,
    /// 64 hexadecimal digits.
    Digest,
    /// A prefix of a URL path, such as `/profiles`.
    Path,
    /// An HTTP method, or `any`.
    Method,
    /// Comma-separated blocks of client addresses, such as `10.1.0.0/16, 2001:db8::/32`.
    Blocks,
}

impl Format {
    /// Returns an example value or a description of the allowed values, for messages.
    #[must_use]
    pub const fn example(self) -> &'static str {
        match self {
            Self::Rate => "50/s",
            Self::Span => "250ms",
            Self::Bytes => "64KiB",
            Self::Percent => "12.5%",
            Self::Bandwidth => "280Mbit/s",
            Self::Count => "7",
            Self::Flag => "yes or no",
            Self::Access => "open or keyed",
            Self::Address => "127.0.0.1:9000",
            Self::Domain => "the name of a failure domain",
            Self::Digest => "64 hexadecimal digits, from 'sg key add'",
            Self::Path => "/profiles",
            Self::Method => "GET or any",
            Self::Blocks => "10.1.0.0/16, 2001:db8::/32",
        }
    }

    /// Returns whether `text` is a valid value of this format.
    #[must_use]
    pub fn accepts(self, text: &str) -> bool {
        match self {
            Self::Rate => text.parse::<Rate>().is_ok_and(|rate| rate > Rate::ZERO),
            Self::Span => text.parse::<Span>().is_ok(),
            Self::Bytes => text.parse::<Bytes>().is_ok(),
            Self::Percent => text.parse::<Percent>().is_ok(),
            Self::Bandwidth => text.parse::<Bandwidth>().is_ok_and(|b| b.as_bits() > 0),
            Self::Count => text.parse::<u32>().is_ok_and(|count| count > 0),
            Self::Flag => matches!(text, "yes" | "no"),
            Self::Access => matches!(text, "open" | "keyed"),
            Self::Address => text.parse::<SocketAddr>().is_ok(),
            Self::Domain => text.parse::<id::Domain>().is_ok(),
            Self::Digest => text.parse::<Digest>().is_ok(),
            Self::Path => text.starts_with('/'),
            Self::Method => !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphabetic()),
            Self::Blocks => text.split(',').all(is_address_block),
        }
    }
}

/// Returns whether `text` is an IP address, a slash and a prefix length that is valid for the address.
fn is_address_block(text: &str) -> bool {
    let Some((address, length)) = text.trim().split_once('/') else {
        return false;
    };
    let Ok(address) = address.parse::<std::net::IpAddr>() else {
        return false;
    };
    let max_length = if address.is_ipv4() { 32 } else { 128 };
    length
        .parse::<u8>()
        .is_ok_and(|length| length <= max_length)
}

/// The definition of one setting.
#[derive(Debug)]
pub struct Spec {
    /// The setting's name in the tree.
    pub name: &'static str,
    /// The format of the value.
    pub format: Format,
    /// The kinds of nodes that use the setting. It may be set at any of these nodes or at any node
    /// above.
    pub used_by: &'static [Kind],
    /// The default in text form. `None` means that a value must be set.
    pub default: Option<&'static str>,
    /// The description of the setting in the settings reference.
    pub doc: &'static str,
}

impl Spec {
    /// Returns whether the setting may be set at a node of `kind`.
    #[must_use]
    pub fn allowed_at(&self, kind: Kind) -> bool {
        self.used_by.iter().any(|used| kind.contains(*used))
    }
}

/// Returns the setting with the given name.
#[must_use]
pub fn find(name: &str) -> Option<&'static Spec> {
    ALL.iter().copied().find(|spec| spec.name == name)
}

macro_rules! settings {
    ($($const:ident = $name:literal, $format:ident, [$($kind:ident),+], $default:expr, $doc:literal;)*) => {
        $(
            #[doc = $doc]
            pub static $const: Spec = Spec {
                name: $name,
                format: Format::$format,
                used_by: &[$(Kind::$kind),+],
                default: $default,
                doc: $doc,
            };
        )*

        /// All settings, in the order of the settings reference.
        pub static ALL: &[&Spec] = &[$(&$const),*];
    };
}

settings! {
    SLOTS = "slots", Count, [Fleet, Target], Some("1"),
        "For the fleet: the number of slots that hold a base share of every budget, one an instance. For a target: how many requests it runs at once.";
    VALIDITY = "validity", Span, [Fleet], Some("5s"),
        "How long an instance serves keyed routes after it last knew that no key was withdrawn.";
    RELAYS = "relays", Count, [Fleet], Some("2"),
        "How many instances of a failure domain watch the store and relay changes to the others.";
    LOOKUP_CACHE = "lookup-cache", Span, [Fleet], Some("2s"),
        "How long callers may cache the answer to a look-up.";
    TICKET_LIFETIME = "ticket-lifetime", Span, [Fleet], Some("10m"),
        "How long a ticket for a request that may not be repeated is good.";
    HEADER_LIMIT = "header-limit", Bytes, [Fleet], Some("16KiB"),
        "The largest total size of a request's headers.";
    CONCURRENCY = "concurrency", Count, [Fleet], Some("4096"),
        "How many requests one instance works on at once.";
    DRAIN_GRACE = "drain-grace", Span, [Fleet], Some("5s"),
        "How long an instance that stops goes on with work in hand.";
    DRAIN = "drain", Flag, [Entry, Domain, Target], Some("no"),
        "Whether the entry, or the targets of the failure domain or region, or the target, take no new work.";
    BLOCKS = "blocks", Blocks, [Domain], Some("127.0.0.0/8"),
        "The blocks of client addresses that are nearest to the failure domain.";
    BANDWIDTH = "bandwidth", Bandwidth, [Link], Some("1Gbit/s"),
        "What the link between two regions carries each way.";
    ANSWER_SIZE = "answer-size", Bytes, [Service], Some("16KiB"),
        "The usual size of an answer, for working out what a link carries.";
    SERVICE_TIME = "service-time", Span, [Service], Some("50ms"),
        "The usual time that a target takes for a request, for working out capacity.";
    CONNECTIONS = "connections", Count, [Service], Some("400"),
        "How many connections a target takes from all instances together.";
    CONNECT_TIMEOUT = "connect-timeout", Span, [Service], Some("250ms"),
        "How long an attempt waits for a connection.";
    PROGRESS_TIMEOUT = "progress-timeout", Span, [Service], Some("1s"),
        "How long a connection may bring no byte while an answer is awaited.";
    RETRY_BUDGET = "retry-budget", Percent, [Service], Some("10%"),
        "The most retries and hedges as a share of requests.";
    ATTEMPTS = "attempts", Count, [Service], Some("2"),
        "The most attempts for one request that may be repeated.";
    SHIFT_CAP = "shift-cap", Percent, [Service], Some("10%"),
        "The most traffic of the service that moves between regions in one shift interval.";
    SHIFT_INTERVAL = "shift-interval", Span, [Service], Some("10s"),
        "The interval that the shift cap counts over.";
    HEADROOM = "headroom", Percent, [Service], Some("10%"),
        "The part of a region's capacity that steering leaves unused.";
    EJECTION_CAP = "ejection-cap", Percent, [Service], Some("30%"),
        "The most targets of a region that are ejected for errors at once.";
    SLOW_START = "slow-start", Span, [Service], Some("10s"),
        "How long a cold target's part of the traffic takes to grow to the full one.";
    LOAD_STALE = "load-stale", Span, [Service], Some("5s"),
        "How old a target's load report may be before it is left out of account.";
    PROBE_INTERVAL = "probe-interval", Span, [Service], Some("1s"),
        "How often an instance asks a target for its health and load.";
    QUARANTINE = "quarantine", Span, [Service], Some("60s"),
        "How long a request that two targets were lost with is refused.";
    WEIGHT = "weight", Percent, [Part], None,
        "The region's part of the service's traffic.";
    PATH = "path", Path, [Route], None,
        "The start of the URL paths that the route takes. The longest start wins.";
    METHOD = "method", Method, [Route], Some("any"),
        "The HTTP method that the route takes.";
    ACCESS = "access", Access, [Route], Some("keyed"),
        "Whether the route is open to all or wants a key.";
    REPEATABLE = "repeatable", Flag, [Route], Some("no"),
        "Whether a request may run more than once without harm.";
    DEADLINE = "deadline", Span, [Route], Some("2s"),
        "How long a request may take, unless the caller allows less.";
    BODY_LIMIT = "body-limit", Bytes, [Route], Some("1MiB"),
        "The largest body of a request.";
    BODY_TIMEOUT = "body-timeout", Span, [Route], Some("5s"),
        "How long a caller may take to send a body.";
    ANSWER_LIMIT = "answer-limit", Bytes, [Route], Some("16MiB"),
        "The largest answer that is passed on.";
    ADDRESS = "address", Address, [Target], None,
        "The target's IP address and port.";
    DOMAIN = "domain", Domain, [Target], None,
        "The failure domain that the target is in.";
    RATE = "rate", Rate, [Account], Some("10/s"),
        "The requests a second that the client account may make, counted over the fleet.";
    BURST = "burst", Count, [Account], Some("20"),
        "How many requests the client account may make at once after a pause.";
    PRIORITY = "priority", Count, [Account], Some("1"),
        "The client account's weight in the queue for targets.";
    QUEUE_LIMIT = "queue-limit", Count, [Account], Some("64"),
        "How many requests of the client account wait in one instance.";
    DIGEST = "digest", Digest, [Key], None,
        "The BLAKE3 digest of the key. The key itself is never stored.";
    WITHDRAWN = "withdrawn", Flag, [Key], Some("no"),
        "Whether the key no longer works.";
}
