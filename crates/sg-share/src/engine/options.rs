//! Limits and periods of an engine.

use sg_types::prelude::*;

/// Limits and periods of an engine. All instances of a fleet use the same.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a confirmation of a claim lasts, from the moment that it was asked for.
    pub validity: Span,
    /// How often the driver calls [`crate::Engine::tick`].
    pub interval: Span,
    /// How long a loan lasts, from the moment that the borrower asked for it.
    pub loan: Span,
    /// How long a holder must be silent before its slot is claimed by another.
    pub silence: Span,
    /// How often claims are read from the store.
    pub read_every: Span,
    /// The greatest error of an instance's clock rate.
    pub drift: Percent,
    /// The longest time without the store that vouching bridges.
    pub outage: Span,
    /// Whether the platform never lets two runs of an instance name live at once. Then a new run
    /// takes up its predecessor's slots by itself, and a fleet whose runs all died at once repairs
    /// itself; else such a fleet waits for [`Options::outage`] or for an operator.
    pub sole_runs: bool,
    /// Spreads the contacts and delays of instances. The same on all instances.
    pub seed: u64,
    /// A fault that tests switch on to show that the checks catch it.
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            validity: Span::from_secs(5),
            interval: Span::from_millis(250),
            loan: Span::from_secs(8),
            silence: Span::from_secs(5),
            read_every: Span::from_secs(2),
            drift: Percent::from_ppm(10_000),
            outage: Span::from_secs(4 * 3600),
            sole_runs: false,
            seed: 0,
            fault: None,
        }
    }
}

/// A fault for tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A claimant does not wait for its predecessor's confirmations to lapse.
    SkipWait,
    /// A claimant needs no majority of voters.
    SkipMajority,
    /// A restarted voter goes on voting with the slot that its earlier run held.
    VouchAs(Slot),
    /// A holder uses its share after its confirmation lapsed.
    IgnoreValidity,
    /// A lender credits the borrower without debiting itself.
    LendTwice,
    /// A borrower uses loans after their end.
    IgnoreExpiry,
    /// A borrower takes answers to earlier requests.
    AcceptStale,
    /// Shares accrue by the local clock as if it were exact.
    IgnoreDrift,
    /// A changed number of slots is used at once.
    GrowAtOnce,
}
