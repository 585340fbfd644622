//! Decides which requests to refuse because targets were lost while running them.
//!
//! A request is quarantined once a number of different targets, two by default, were lost with it.
//! A complete response to the same request clears the suspicion. Losses of targets with many
//! requests in flight are weak evidence against each of these requests, so the first quarantine
//! after such losses is shorter.

use sg_types::prelude::*;

/// Maximum number of accounts whose suspected requests are kept.
const MAX_ACCOUNTS: usize = 1_024;
/// Maximum number of suspected requests kept for one account.
const MAX_SUSPECTS_PER_ACCOUNT: usize = 256;
/// Default number of different lost targets after which a request is quarantined.
const DEFAULT_TARGETS: usize = 2;
/// Sum of the weights of the losses from which the first quarantine has its full length. The weight
/// of a loss is 1 divided by the number of requests in flight at the lost target.
const STRONG_EVIDENCE: f64 = 0.5;
/// Length of a quarantine on weak evidence, as a part of the full length.
const WEAK_EVIDENCE_PART: f64 = 0.25;

/// The loss of a target while it ran a request.
#[derive(Debug, Clone)]
pub struct Suspicion {
    /// Client account of the request.
    pub account: Option<id::Account>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The lost target.
    pub target: id::Target,
    /// Number of requests in flight at the target.
    pub in_flight: u32,
}

/// The suspected and quarantined requests that one instance knows of.
#[derive(Debug)]
pub struct Table {
    targets: usize,
    accounts: IndexMap<Option<id::Account>, IndexMap<Fingerprint, Suspect>>,
}

#[derive(Debug, Default)]
struct Suspect {
    losses: Vec<Loss>,
    quarantined_until: Option<Instant>,
}

#[derive(Debug)]
struct Loss {
    target: id::Target,
    /// The instance that told of the loss; `None` for this instance.
    reporter: Option<id::Instance>,
    at: Instant,
    weight: f64,
}

impl Default for Table {
    fn default() -> Self {
        Self::after(DEFAULT_TARGETS)
    }
}

impl Table {
    /// Creates a table that quarantines a request once `targets` different targets were lost with
    /// it.
    #[must_use]
    pub fn after(targets: usize) -> Self {
        Self {
            targets,
            accounts: IndexMap::new(),
        }
    }

    /// Records the loss of a target. Returns whether this loss began a quarantine of the request.
    /// `length` is the full length of a quarantine, and also the time for which a loss counts.
    pub fn note(&mut self, suspicion: Suspicion, length: Span, now: Instant) -> bool {
        self.record(suspicion, None, length, now)
    }

    /// Records the loss of a target that the instance `reporter` told of, like [`note`](Self::note).
    pub fn note_reported(
        &mut self,
        suspicion: Suspicion,
        reporter: id::Instance,
        length: Span,
        now: Instant,
    ) -> bool {
        self.record(suspicion, Some(reporter), length, now)
    }

    /// Forgets the losses since `since` that `reporter` told of, or this instance's own if it is `None`,
    /// because the reporter had lost its paths to all targets. Lifts quarantines that are left without
    /// evidence.
    pub fn forget_losses(&mut self, reporter: Option<&id::Instance>, since: Instant) {
        for suspects in self.accounts.values_mut() {
            for suspect in suspects.values_mut() {
                suspect
                    .losses
                    .retain(|loss| loss.at < since || loss.reporter.as_ref() != reporter);
                if suspect.losses.len() < self.targets {
                    suspect.quarantined_until = None;
                }
            }
            suspects.retain(|_, suspect| !suspect.losses.is_empty());
        }
        self.accounts.retain(|_, suspects| !suspects.is_empty());
    }

    fn record(
        &mut self,
        suspicion: Suspicion,
        reporter: Option<id::Instance>,
        length: Span,
        now: Instant,
    ) -> bool {
        let targets = self.targets;
        let suspects = self.suspects(suspicion.account);
        if suspects.len() >= MAX_SUSPECTS_PER_ACCOUNT
            && !suspects.contains_key(&suspicion.fingerprint)
        {
            evict(suspects, now);
        }
        let suspect = suspects.entry(suspicion.fingerprint).or_default();
        suspect.expire(length, now);
        let was_quarantined = suspect.quarantined_until.is_some();
        let loss = Loss {
            target: suspicion.target,
            reporter,
            at: now,
            weight: 1.0 / f64::from(suspicion.in_flight.max(1)),
        };
        suspect.record_loss(loss, targets);
        if suspect.losses.len() < targets || suspect.is_quarantined(now) {
            return false;
        }
        let weight: f64 = suspect.losses.iter().map(|loss| loss.weight).sum();
        let part = if was_quarantined || weight >= STRONG_EVIDENCE {
            1.0
        } else {
            WEAK_EVIDENCE_PART
        };
        suspect.quarantined_until = Some(now + length.mul_f64(part));
        true
    }

    /// Returns the remaining time of the request's quarantine, or `None` if there is none.
    #[must_use]
    pub fn check(
        &self,
        account: Option<&id::Account>,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<Span> {
        if self.accounts.is_empty() {
            return None;
        }
        let suspects = self.accounts.get(&account.cloned())?;
        let until = suspects.get(&fingerprint)?.quarantined_until?;
        (until > now).then(|| until.since(now))
    }

    /// Returns whether a request is quarantined because of losses of this instance, among others.
    #[must_use]
    pub fn rests_on_own_losses(
        &self,
        account: Option<&id::Account>,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> bool {
        let suspects = self.accounts.get(&account.cloned());
        let suspect = suspects.and_then(|suspects| suspects.get(&fingerprint));
        suspect.is_some_and(|suspect| {
            let mut losses = suspect.losses.iter();
            suspect.is_quarantined(now) && losses.any(|loss| loss.reporter.is_none())
        })
    }

    /// Clears the suspicion against a request after a complete response, which shows that the
    /// request causes no more losses than others do. A quarantine in force stays.
    pub fn clear(&mut self, account: Option<&id::Account>, fingerprint: Fingerprint, now: Instant) {
        if self.accounts.is_empty() {
            return;
        }
        let account = account.cloned();
        let Some(suspects) = self.accounts.get_mut(&account) else {
            return;
        };
        let quarantined = suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.is_quarantined(now));
        if !quarantined {
            suspects.swap_remove(&fingerprint);
        }
        if suspects.is_empty() {
            self.accounts.swap_remove(&account);
        }
    }

    /// Returns the number of suspected requests, quarantined ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.values().map(IndexMap::len).sum()
    }

    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn suspects(&mut self, account: Option<id::Account>) -> &mut IndexMap<Fingerprint, Suspect> {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&account) {
            self.accounts.shift_remove_index(0);
        }
        self.accounts.entry(account).or_default()
    }
}

impl Suspect {
    fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|until| until > now)
    }

    /// Removes expired losses. A quarantine keeps its losses until as long again after its end.
    fn expire(&mut self, length: Span, now: Instant) {
        let oldest = now - length;
        let ended_long_ago = self
            .quarantined_until
            .is_some_and(|until| until + length <= now);
        if ended_long_ago {
            self.quarantined_until = None;
        }
        if self.quarantined_until.is_none() {
            self.losses.retain(|loss| loss.at >= oldest);
        }
    }

    fn record_loss(&mut self, loss: Loss, targets: usize) {
        self.losses.retain(|known| known.target != loss.target);
        self.losses.push(loss);
        if self.losses.len() > targets {
            self.losses.remove(0);
        }
    }
}

/// Removes the first suspect that is not quarantined, or else the oldest.
fn evict(suspects: &mut IndexMap<Fingerprint, Suspect>, now: Instant) {
    let idle = suspects
        .values()
        .position(|suspect| !suspect.is_quarantined(now));
    suspects.shift_remove_index(idle.unwrap_or(0));
}
