//! Entries of a target that are out of date by the numbers of its known entry.
//!
//! A target's start time and sequence order its entries, because an older one may arrive late or come back
//! with a copy of the store. Any writer of the store may write an entry with numbers that no entry of the target
//! exceeds. The numbers are not compared with the clock of this machine, which may be wrong: a target that
//! runs goes on to write, so entries that follow each other in order tell that the known entry is not the
//! target's last one.

use crate::Target;

/// Number of entries in order that replace the known one. A late entry or a copy brings one or two.
const CONFIRMATIONS: u32 = 3;

/// The position of an entry among those of its target: the start time and the sequence.
type Position = (u64, u64);

/// Returns the position of the entry `target`.
pub(crate) fn position(target: &Target) -> Position {
    (target.started_at_millis, target.sequence)
}

/// The entries since the known one that are out of date.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contradiction {
    last: Option<Position>,
    count: u32,
}

impl Contradiction {
    /// Records an entry that is out of date. Returns whether it replaces the known one.
    pub fn record(&mut self, target: &Target) -> bool {
        let position = position(target);
        if self.last < Some(position) {
            self.last = Some(position);
            self.count += 1;
        }
        self.count >= CONFIRMATIONS
    }
}
