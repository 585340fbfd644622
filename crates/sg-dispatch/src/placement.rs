//! Where objects are warm, and the ranks of the targets for an object.

use sg_place::hash::Object;
use sg_types::prelude::*;

use crate::{group::Place, recent::Recent};

/// Number of ranks that are remembered for an object. If more targets than this have their fair share
/// of the load, the least loaded target is as good as the next rank.
const RANKS: usize = 4;
/// Maximum number of targets that are remembered as warm for an object.
const MAX_WARM: usize = 16;
/// Number of objects that are remembered, of about 150 bytes each.
const OBJECTS: usize = 32_768;

/// What is known of an object.
#[derive(Debug, Clone, Default)]
pub(crate) struct Entry {
    /// The highest-ranked targets.
    pub ranks: Vec<Place>,
    generation: u64,
    /// Targets that began a request about the object; some may have evicted it.
    pub warm: Vec<Place>,
    /// Target where a waiting request is expected to run, if the object is warm nowhere.
    pub planned: Option<Place>,
}

/// What is known of the objects used last.
#[derive(Debug, Clone)]
pub(crate) struct Placements {
    objects: Recent<Object, Entry>,
    /// Number of changes of the set of targets, which change the ranks.
    generation: u64,
}

impl Default for Placements {
    fn default() -> Self {
        Self {
            objects: Recent::new(OBJECTS),
            generation: 0,
        }
    }
}

impl Placements {
    /// Forgets the ranks, because the set of targets has changed.
    pub fn invalidate_ranks(&mut self) {
        self.generation += 1;
    }

    /// Returns what is known of `object`. The ranks are computed from `targets` unless they are known.
    pub fn entry<'a>(
        &mut self,
        object: Object,
        targets: impl Iterator<Item = (&'a id::Target, Place)>,
    ) -> &mut Entry {
        if self.objects.get(&object).is_none() {
            let stale = Entry {
                generation: self.generation.wrapping_sub(1),
                ..Entry::default()
            };
            self.objects.insert(object, stale);
        }
        let generation = self.generation;
        let entry = self.objects.get(&object).expect("inserted above");
        if entry.generation != generation {
            entry.generation = generation;
            entry.ranks = ranks(object, targets);
        }
        entry
    }

    /// Records that a request about `object` begins at `place`.
    pub fn begin(&mut self, object: Object, place: Place) {
        let Some(entry) = self.objects.get(&object) else {
            return;
        };
        entry.planned = None;
        entry.warm.retain(|known| *known != place);
        if entry.warm.len() >= MAX_WARM {
            entry.warm.remove(0);
        }
        entry.warm.push(place);
    }

    /// Records that a request about `object` waits for `place`.
    pub fn plan(&mut self, object: Object, place: Place) {
        if let Some(entry) = self.objects.get(&object) {
            entry.planned = Some(place);
        }
    }

    /// Records that a request about `object` does not wait for `place` any more.
    pub fn unplan(&mut self, object: Option<Object>, place: Place) {
        if let Some(entry) = object.and_then(|object| self.objects.get(&object)) {
            entry.planned = entry.planned.filter(|planned| *planned != place);
        }
    }

    /// Records that `object` is no longer warm at `place`.
    pub fn evict(&mut self, object: Object, place: Place) {
        if let Some(entry) = self.objects.get(&object) {
            entry.warm.retain(|known| *known != place);
        }
    }
}

/// Returns the highest-ranked of `targets` for `object`, the highest first.
fn ranks<'a>(object: Object, targets: impl Iterator<Item = (&'a id::Target, Place)>) -> Vec<Place> {
    let mut best: Vec<(u64, Place)> = Vec::with_capacity(RANKS + 1);
    for (id, place) in targets {
        let score = object.score(id.as_str());
        if best.len() < RANKS || best.last().is_some_and(|(least, _)| score > *least) {
            let index = best.partition_point(|(other, _)| *other >= score);
            best.insert(index, (score, place));
            best.truncate(RANKS);
        }
    }
    best.into_iter().map(|(_, place)| place).collect()
}
