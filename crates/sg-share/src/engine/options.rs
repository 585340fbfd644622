//! Configuration of an engine.

use sg_types::prelude::*;

/// The limits and periods of an engine. All instances of a fleet use the same values.
#[derive(Debug, Clone)]
pub struct Options {
    /// Duration of a claim's confirmation, counted from the time at which the holder sent the read or
    /// the request for votes.
    pub validity: Span,
    /// Period at which the driver calls [`crate::Engine::tick`].
    pub interval: Span,
    /// Duration of a loan, counted from the time at which the borrower sent its request.
    pub loan: Span,
    /// Time without a message from a holder after which another instance may claim its slot.
    pub silence: Span,
    /// Interval between reads of all claims from the store.
    pub read_interval: Span,
    /// Maximum error of an instance's clock rate.
    pub drift: Percent,
    /// Maximum time without the store during which confirmations by peers suffice.
    pub outage: Span,
    /// Whether the platform never runs two incarnations of an instance at once. If set, a new
    /// incarnation claims the slots of its predecessor without votes, so a fleet whose instances
    /// all crashed at once recovers by itself. Otherwise such a fleet waits for
    /// [`Options::outage`] or for an operator.
    pub sole_runs: bool,
    /// Seed that spreads the contacts and delays of instances. All instances use the same seed.
    pub seed: u64,
    /// Fault that tests inject to show that their checks detect it.
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
            read_interval: Span::from_secs(2),
            drift: Percent::from_ppm(10_000),
            outage: Span::from_secs(4 * 3600),
            sole_runs: false,
            seed: 0,
            fault: None,
        }
    }
}

/// A fault that tests inject.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A claimant does not wait until the confirmations of earlier holders lapse.
    SkipWait,
    /// A claimant takes over a slot without a majority of voters.
    SkipMajority,
    /// A restarted voter continues to vote with the slot of its earlier incarnation.
    VouchAs(Slot),
    /// A holder uses its share after its confirmation has lapsed.
    IgnoreValidity,
    /// A lender grants a loan without debiting its own share.
    LendTwice,
    /// A borrower uses loans after their expiry.
    IgnoreExpiry,
    /// A borrower accepts answers to earlier requests.
    AcceptStale,
    /// Tokens accrue by the local clock without a margin for drift.
    IgnoreDrift,
    /// A changed number of slots takes effect before all holders know the number.
    GrowAtOnce,
}
