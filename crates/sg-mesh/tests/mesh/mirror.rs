//! Mirrors whose changes arrive in any order, from the store and from other instances.

use bytes::Bytes;
use quickcheck::{QuickCheck, quickcheck};
use sg_mesh::{Mirror, mirror::Change};
use sg_store::{Changes, Entry, Event, Page, Version};
use sg_types::prelude::*;

/// More deletions than a mirror keeps.
const DELETIONS: usize = 5_000;

fn put(key: &str, version: u64) -> Change {
    Change {
        key: key.into(),
        value: Some(Bytes::from(version.to_string())),
        version: Version::new(version),
    }
}

fn deleted(key: &str, version: u64) -> Change {
    Change {
        value: None,
        ..put(key, version)
    }
}

fn entry(key: &str, version: u64) -> Entry {
    Entry {
        key: key.into(),
        value: Bytes::from(version.to_string()),
        version: Version::new(version),
    }
}

fn page(entries: Vec<Entry>, version: u64) -> Page {
    Page {
        entries,
        version: Version::new(version),
    }
}

#[test]
fn an_older_value_never_returns() {
    let mut mirror = Mirror::default();
    assert!(mirror.apply_change(put("a", 5)).is_some());
    assert!(mirror.apply_change(put("a", 4)).is_none());
    assert!(mirror.apply_change(deleted("a", 6)).is_some());
    assert!(mirror.apply_change(put("a", 5)).is_none());
    assert_eq!(mirror.values().count(), 0);
    assert!(mirror.apply_change(put("a", 7)).is_some());
}

#[test]
fn a_listing_removes_unlisted_keys_unless_they_are_newer() {
    let mut mirror = Mirror::default();
    mirror.apply_change(put("old", 3));
    mirror.apply_change(put("late", 12));
    let applied = mirror.apply_listing(page(vec![entry("new", 8)], 10));
    let deletions: Vec<_> = applied
        .iter()
        .filter(|change| change.value.is_none())
        .collect();
    assert_eq!(deletions.len(), 1);
    assert_eq!(deletions[0].key.as_ref(), "old");
    assert_eq!(mirror.values().count(), 2);
    assert_eq!(mirror.position(), Version::new(10));
}

#[test]
fn a_stale_listing_does_not_change_newer_keys() {
    let mut mirror = Mirror::default();
    mirror.apply_change(put("a", 9));
    mirror.apply_change(deleted("b", 9));
    let applied = mirror.apply_listing(page(vec![entry("a", 4), entry("b", 4)], 5));
    assert!(applied.is_empty());
    let values: Vec<_> = mirror.values().map(|(_, value)| value.clone()).collect();
    assert_eq!(values, [Bytes::from("9")]);
}

#[test]
fn a_key_deleted_and_written_in_one_batch_exists() {
    let mut mirror = Mirror::default();
    mirror.apply_change(put("a", 1));
    let events = vec![
        Event::Removed {
            key: "a".into(),
            version: Version::new(2),
        },
        Event::Put(entry("a", 3)),
    ];
    let applied = mirror.apply_watch(Changes {
        events,
        version: Version::new(3),
    });
    assert_eq!(applied.len(), 2);
    assert_eq!(mirror.values().count(), 1);
}

/// Guards against a target that has left being used on: an instance that has just started lists the targets
/// without those that left before, and others fetch changes from it.
#[test]
fn changes_of_a_mirror_that_has_just_listed_remove_what_is_gone() {
    let mut known = Mirror::default();
    known.apply_listing(page(vec![entry("kept", 1), entry("gone", 2)], 2));
    let mut started = Mirror::default();
    started.apply_listing(page(vec![entry("kept", 1), entry("new", 4)], 4));
    let applied = known.merge(started.snapshot_after(known.position()));
    let mut keys: Vec<(&str, bool)> = applied
        .iter()
        .map(|change| (&*change.key, change.value.is_some()))
        .collect();
    keys.sort_unstable();
    assert_eq!(keys, [("gone", false), ("new", true)]);
    assert_eq!(known.position(), started.position());
    // A mirror that has followed from an earlier version on tells of the deletion, and of nothing else.
    let mut follower = Mirror::default();
    follower.apply_listing(page(vec![entry("kept", 1), entry("gone", 2)], 2));
    follower.apply_listing(page(vec![entry("kept", 1), entry("new", 4)], 4));
    let snapshot = follower.snapshot_after(Version::new(2));
    let keys: IndexSet<&str> = snapshot.changes.iter().map(|change| &*change.key).collect();
    assert!(!snapshot.is_listing);
    assert_eq!(keys, IndexSet::from(["gone", "new"]));
}

/// Guards against deletions that are forgotten for lack of room while the changes still count as complete.
#[test]
fn forgotten_deletions_reach_mirrors_that_lie_far_behind() {
    let mut far = Mirror::default();
    let mut near = Mirror::default();
    let first = page(vec![entry("first", 1), entry("kept", 2)], 2);
    far.apply_listing(first.clone());
    near.apply_listing(first);
    far.apply_change(deleted("first", 3));
    let mut version = 3;
    for index in 0..DELETIONS {
        let key = format!("k{index}");
        far.apply_change(put(&key, version + 1));
        far.apply_change(deleted(&key, version + 2));
        version += 2;
    }
    near.merge(far.snapshot_after(near.position()));
    let keys: Vec<&Arc<str>> = near.values().map(|(key, _)| key).collect();
    assert_eq!(keys, [&Arc::from("kept")]);
}

/// Guards against a target that has left being used on: a mirror that had to list the store again does not
/// know of the keys that came and went in between, while another instance knows of one.
#[test]
fn keys_that_came_and_went_before_a_second_listing_are_removed() {
    let mut far = Mirror::default();
    let mut near = Mirror::default();
    for mirror in [&mut far, &mut near] {
        mirror.apply_listing(page(vec![entry("kept", 1)], 2));
    }
    let batch = |event: Event, version| Changes {
        events: vec![event],
        version: Version::new(version),
    };
    near.apply_watch(batch(Event::Put(entry("brief", 3)), 3));
    // The key is deleted at version 4, and the history is gone by version 5.
    far.apply_listing(page(vec![entry("kept", 1)], 5));
    let mut third = Mirror::default();
    third.apply_listing(page(vec![entry("kept", 1)], 2));
    // A mirror that got its state from this one doesn't know of the key either.
    third.merge(far.snapshot_after(third.position()));
    let mut other = near.clone();
    let applied = near.merge(far.snapshot_after(near.position()));
    assert_eq!(applied.len(), 1);
    assert_eq!((&*applied[0].key, &applied[0].value), ("brief", &None));
    other.merge(third.snapshot_after(other.position()));
    let keys: Vec<&str> = other.values().map(|(key, _)| &**key).collect();
    assert_eq!(keys, ["kept"]);
    // Mirrors that know the prefix up to either listing need no listing.
    assert!(!far.snapshot_after(Version::new(2)).is_listing);
    assert!(!far.snapshot_after(Version::new(5)).is_listing);
    assert!(far.snapshot_after(Version::new(4)).is_listing);
}

quickcheck! {
    /// All mirrors that received all changes are equal, in whatever order and however often the changes
    /// arrived.
    fn order_does_not_matter(changes: Vec<(u8, bool)>, order: Vec<usize>) -> bool {
        let changes: Vec<Change> = changes
            .iter()
            .enumerate()
            .map(|(index, (key, present))| {
                let (key, version) = (format!("k{}", key % 4), index as u64 + 1);
                if *present { put(&key, version) } else { deleted(&key, version) }
            })
            .collect();
        let mut in_order = Mirror::default();
        for change in &changes {
            in_order.apply_change(change.clone());
        }
        let mut shuffled = Mirror::default();
        for index in &order {
            if let Some(change) = changes.get(index % changes.len().max(1)) {
                shuffled.apply_change(change.clone());
            }
        }
        for change in changes.iter().rev() {
            shuffled.apply_change(change.clone());
        }
        in_order.changes_after(Version::default()) == shuffled.changes_after(Version::default())
    }

    /// After a merge of another mirror's changes, both mirrors are equal.
    fn a_merge_makes_the_mirrors_equal(changes: Vec<(u8, bool)>, known: usize) -> bool {
        let mut far = Mirror::default();
        let mut near = Mirror::default();
        let known = known % (changes.len() + 1);
        for (index, (key, present)) in changes.iter().enumerate() {
            let (key, version) = (format!("k{}", key % 4), index as u64 + 1);
            let change = if *present { put(&key, version) } else { deleted(&key, version) };
            let events = vec![match &change.value {
                Some(_) => Event::Put(entry(&key, version)),
                None => Event::Removed { key: key.as_str().into(), version: change.version },
            }];
            let batch = Changes { events, version: Version::new(version) };
            far.apply_watch(batch.clone());
            if index < known {
                near.apply_watch(batch);
            }
        }
        let after = near.position();
        near.merge(far.snapshot_after(after));
        near.position() == far.position()
            && near.changes_after(Version::default()) == far.changes_after(Version::default())
    }

    /// After a merge of the changes of a mirror that has listed the store at any moment, both have the same values.
    fn a_merge_from_a_mirror_that_listed_makes_the_values_equal(
        changes: Vec<(u8, bool)>,
        known: usize,
        listed: usize
    ) -> bool {
        let mut store = Mirror::default();
        let mut near = Mirror::default();
        let mut far = Mirror::default();
        let (known, listed) = (known % (changes.len() + 1), listed % (changes.len() + 1));
        for (index, (key, present)) in changes.iter().enumerate() {
            if index == listed {
                far.apply_listing(listing_of(&store, index as u64));
            }
            let (key, version) = (format!("k{}", key % 4), index as u64 + 1);
            let event = match present {
                true => Event::Put(entry(&key, version)),
                false => Event::Removed { key: key.as_str().into(), version: Version::new(version) },
            };
            let batch = Changes { events: vec![event], version: Version::new(version) };
            store.apply_watch(batch.clone());
            if index < known {
                near.apply_watch(batch.clone());
            }
            if index >= listed {
                far.apply_watch(batch);
            }
        }
        if listed == changes.len() {
            far.apply_listing(listing_of(&store, changes.len() as u64));
        }
        near.merge(far.snapshot_after(near.position()));
        values(&near) == values(&store) && near.position() == store.position()
    }
}

/// Mirrors that watch, list and merge from each other in any order never report changes as complete that
/// leave another mirror with a value that the store no longer has. There is one key, so that short sequences
/// of steps suffice.
#[test]
fn merges_between_mirrors_that_list_at_any_time_are_complete() {
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(are_merges_complete as fn(Vec<(u8, u8)>) -> bool);
}

fn are_merges_complete(steps: Vec<(u8, u8)>) -> bool {
    let mut store = Mirror::default();
    let mut history: Vec<Changes> = Vec::new();
    let mut mirrors = vec![Mirror::default(); 3];
    for (step, mirror) in steps {
        let (mirror, other) = (usize::from(mirror) % 3, usize::from(mirror / 3) % 3);
        let version = history.len() as u64;
        match step % 5 {
            kind @ 0..2 => {
                let event = match kind {
                    0 => Event::Put(entry("k", version + 1)),
                    _ => Event::Removed {
                        key: "k".into(),
                        version: Version::new(version + 1),
                    },
                };
                let batch = Changes {
                    events: vec![event],
                    version: Version::new(version + 1),
                };
                store.apply_watch(batch.clone());
                history.push(batch);
            }
            2 if mirrors[mirror].position() > Version::default() => {
                let known = mirrors[mirror].position().revision() as usize;
                for batch in &history[known..] {
                    mirrors[mirror].apply_watch(batch.clone());
                }
            }
            3 if version > 0 => {
                mirrors[mirror].apply_listing(listing_of(&store, version));
            }
            4 if mirrors[other].position() > mirrors[mirror].position() => {
                let snapshot = mirrors[other].snapshot_after(mirrors[mirror].position());
                mirrors[mirror].merge(snapshot);
            }
            _ => {}
        }
        let current = mirrors
            .iter()
            .filter(|mirror| mirror.position() == store.position());
        if current
            .clone()
            .any(|mirror| values(mirror) != values(&store))
        {
            return false;
        }
    }
    true
}

/// Returns the values of a mirror in order of their keys.
fn values(mirror: &Mirror) -> Vec<(Arc<str>, Bytes)> {
    let values = mirror.values();
    let mut values: Vec<_> = values
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect();
    values.sort();
    values
}

/// Returns what a listing of a store with the values of `mirror` returns at `version`.
fn listing_of(mirror: &Mirror, version: u64) -> Page {
    let changes = mirror.changes_after(Version::default());
    let present = changes.iter().filter(|change| change.value.is_some());
    page(
        present
            .map(|change| entry(&change.key, change.version.revision()))
            .collect(),
        version,
    )
}
