//! Mirrors of a store that comes back from an older copy, in a new era.

use bytes::Bytes;
use quickcheck::{QuickCheck, quickcheck};
use sg_mesh::{Mirror, mirror::Change, retention::Retention};
use sg_store::{
    Changes, Entry, Event, Page, Version,
    version::{Era, EraTracker},
};
use sg_types::prelude::*;

fn version(era: u64, revision: u64) -> Version {
    Version::at(Era::new(era), revision)
}

fn entry(key: &str, value: &'static str, version: Version) -> Entry {
    Entry {
        key: key.into(),
        value: Bytes::from(value),
        version,
    }
}

fn listing(entries: &[(&str, &'static str, u64)], era: u64, revision: u64) -> Page {
    let entries = entries
        .iter()
        .map(|(key, value, at)| entry(key, value, version(era, *at)));
    Page {
        entries: entries.collect(),
        version: version(era, revision),
    }
}

fn watched(events: Vec<Event>, era: u64, revision: u64) -> Changes {
    Changes {
        events,
        version: version(era, revision),
    }
}

/// Returns a mirror at revision 900 of era 1.
fn mirror(entries: &[(&str, &'static str, u64)]) -> Mirror {
    let mut mirror = Mirror::default();
    mirror.apply_listing(listing(entries, 1, 900));
    mirror
}

fn keys(changes: &[Change]) -> Vec<&str> {
    changes.iter().map(|change| change.key.as_ref()).collect()
}

fn deletions(changes: &[Change]) -> Vec<&str> {
    let deleted = changes.iter().filter(|change| change.value.is_none());
    deleted.map(|change| change.key.as_ref()).collect()
}

#[test]
fn a_lower_revision_of_a_newer_era_is_newer() {
    let mut mirror = mirror(&[("config", "v1", 840)]);
    let applied = mirror.apply_listing(listing(&[("config", "v2", 845)], 2, 850));
    assert_eq!(keys(&applied), ["config"]);
    assert_eq!(mirror.position(), version(2, 850));
    // A revision of the first era is given out again.
    let event = Event::Put(entry("config", "v3", version(2, 900)));
    let applied = mirror.apply_watch(watched(vec![event], 2, 900));
    assert_eq!(keys(&applied), ["config"]);
}

#[test]
fn what_the_copy_lacks_is_retained_and_not_deleted() {
    let known = [
        ("config", "v2", 860),
        ("evacuate", "", 870),
        ("same", "x", 100),
    ];
    let mut mirror = mirror(&known);
    let copy = [("config", "v1", 840), ("same", "x", 100)];
    let applied = mirror.apply_listing(listing(&copy, 2, 850));
    assert_eq!(deletions(&applied), Vec::<&str>::new());
    let mut retained = mirror.retained();
    retained.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(keys(&retained), ["config", "evacuate"]);
    // An older state is written again first: the retained one stays.
    let event = Event::Put(entry("config", "v1b", version(2, 851)));
    mirror.apply_watch(watched(vec![event], 2, 851));
    assert_eq!(mirror.retained().len(), 2);
    // The same value is written again, and the other key is written and deleted.
    let events = vec![
        Event::Put(entry("config", "v2", version(2, 852))),
        Event::Put(entry("evacuate", "later", version(2, 853))),
        Event::Removed {
            key: "evacuate".into(),
            version: version(2, 854),
        },
    ];
    let applied = mirror.apply_watch(watched(events, 2, 854));
    assert_eq!(deletions(&applied), ["evacuate"]);
    assert_eq!(mirror.retained(), []);
}

#[test]
fn values_given_up_are_deleted_unless_they_were_written_again() {
    let mut mirror = mirror(&[("gone", "1", 860), ("back", "1", 860)]);
    mirror.apply_listing(listing(&[], 2, 850));
    let event = Event::Put(entry("back", "2", version(2, 851)));
    mirror.apply_watch(watched(vec![event], 2, 851));
    let applied = mirror.release_retained(Era::new(2));
    assert_eq!(deletions(&applied), ["gone"]);
    assert_eq!(mirror.retained(), []);
    assert_eq!(mirror.values().count(), 1);
}

#[test]
fn a_second_restore_from_an_older_copy_retains_what_the_first_one_did() {
    let mut mirror = mirror(&[("config", "v2", 860), ("target", "1", 700)]);
    mirror.apply_listing(listing(
        &[("config", "v1", 840), ("target", "1", 700)],
        2,
        850,
    ));
    let applied = mirror.apply_listing(listing(&[("config", "v0", 640)], 3, 650));
    assert_eq!(deletions(&applied), Vec::<&str>::new());
    let retained = mirror.retained();
    let config = retained
        .iter()
        .find(|change| change.key.as_ref() == "config");
    assert_eq!(config.and_then(|c| c.value.as_deref()), Some(&b"v2"[..]));
    assert_eq!(retained.len(), 2);
    // The targets' span of the first restore ends: what the second one took is still retained.
    assert_eq!(mirror.release_retained(Era::new(1)), []);
    assert_eq!(mirror.retained().len(), 2);
}

#[test]
fn responses_and_relayed_state_of_an_older_era_change_nothing() {
    let mut restored = mirror(&[("a", "1", 860)]);
    let before = restored.snapshot_after(Version::default());
    restored.apply_listing(listing(&[("a", "2", 840)], 2, 850));
    let state = restored.snapshot_after(Version::default());
    let event = Event::Put(entry("a", "late", version(1, 910)));
    assert_eq!(restored.apply_watch(watched(vec![event], 1, 910)), []);
    assert_eq!(restored.apply_listing(listing(&[], 1, 910)), []);
    assert_eq!(restored.merge(before), []);
    assert_eq!(restored.snapshot_after(Version::default()), state);
}

#[test]
fn an_instance_that_started_after_the_restore_learns_what_others_retain() {
    let mut old = mirror(&[("config", "v2", 860), ("evacuate", "", 870)]);
    old.apply_listing(listing(&[("config", "v1", 840)], 2, 850));
    let mut started = Mirror::default();
    started.apply_listing(listing(&[("config", "v1", 840)], 2, 850));
    let applied = started.merge(old.snapshot_after(started.position()));
    let mut keys = keys(&applied);
    keys.sort_unstable();
    assert_eq!(keys, ["config", "evacuate"]);
    assert_eq!(started.merge(old.snapshot_after(started.position())), []);
}

#[test]
fn an_instance_that_started_learns_from_one_that_has_not_noticed_the_restore() {
    let old = mirror(&[("config", "v2", 860), ("evacuate", "", 870)]);
    let mut started = Mirror::default();
    started.apply_listing(listing(&[("config", "v1", 840)], 2, 850));
    let state = old.snapshot_after(started.position());
    assert_eq!(started.merge(state.clone()), []);
    let mut changes = started.merge_retaining(state);
    changes.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(keys(&changes), ["config", "evacuate"]);
    assert_eq!(started.position(), version(2, 850));
}

#[test]
fn an_instance_behind_the_store_learns_the_new_era_from_another() {
    let mut near = mirror(&[("a", "1", 860), ("b", "1", 870)]);
    let mut far = near.clone();
    near.apply_listing(listing(&[("a", "2", 851)], 2, 851));
    let applied = far.merge(near.snapshot_after(far.position()));
    assert_eq!(deletions(&applied), Vec::<&str>::new());
    assert_eq!(far.position(), near.position());
    assert_eq!(far.retained(), near.retained());
}

#[test]
fn leases_and_preconditions_of_an_older_era_do_not_hold() {
    let eras = EraTracker::default();
    eras.observe(Era::new(3));
    eras.observe(Era::new(2));
    assert_eq!(eras.newest(), Era::new(3));
    let lease = |era| sg_store::Lease::at(Era::new(era), 7);
    assert!(eras.check_lease(lease(2)).is_err() && eras.check_lease(lease(3)).is_ok());
    assert!(eras.check_version(version(2, 900)).is_err());
    assert!(eras.check_version(version(3, 1)).is_ok());
}

fn put(key: &str, value: &'static str, at: Version) -> Event {
    Event::Put(entry(key, value, at))
}

fn removed(key: &str, version: Version) -> Event {
    Event::Removed {
        key: key.into(),
        version,
    }
}

/// Returns a mirror that knows of the deletion of `gone` and `again` at revision 880 and 881 of era 1, after a restore from
/// a copy of revision 850, in which `again` was written anew before the mirror listed.
fn mirror_with_deletions() -> Mirror {
    let mut mirror = Mirror::new(Retention::Deletions);
    let known = [("gone", "1", 800), ("again", "1", 800), ("kept", "1", 800)];
    mirror.apply_listing(listing(&known, 1, 870));
    let events = vec![
        removed("gone", version(1, 880)),
        removed("again", version(1, 881)),
    ];
    mirror.apply_watch(watched(events, 1, 900));
    let copy = [("gone", "1", 800), ("again", "2", 885), ("kept", "1", 800)];
    let applied = mirror.apply_listing(listing(&copy, 2, 886));
    assert_eq!(keys(&applied), ["again", "kept"]);
    mirror
}

#[test]
fn a_key_that_was_deleted_does_not_come_back_with_the_copy() {
    let mut mirror = mirror_with_deletions();
    let values = mirror.values().map(|(key, _)| &**key);
    assert_eq!(values.collect::<Vec<_>>(), ["again", "kept"]);
    // A second copy has the same entry, and the owner writes later.
    let copy = [("gone", "1", 800), ("kept", "1", 800)];
    let applied = mirror.apply_listing(listing(&copy, 3, 840));
    assert_eq!(keys(&applied), ["kept"]);
    let event = put("gone", "2", version(3, 841));
    assert_eq!(
        keys(&mirror.apply_watch(watched(vec![event], 3, 841))),
        ["gone"]
    );
    assert_eq!(mirror.lasting(), None);
}

/// Guards against instances that never ask for what others retain, or ask again and again.
#[test]
fn an_instance_lacks_retained_state_until_it_has_merged_it() {
    let old = mirror_with_deletions();
    let range = old.lasting().expect("a deletion is retained");
    let copy = [("gone", "1", 800), ("again", "2", 885), ("kept", "1", 800)];
    // One started in the new era, one after the deletion, one before.
    let starts = [(None, true), (Some(890), true), (Some(875), false)];
    for (started_at, lacks) in starts {
        let mut mirror = Mirror::new(Retention::Deletions);
        if let Some(revision) = started_at {
            mirror.apply_listing(listing(&[("kept", "1", 800)], 1, revision));
            mirror.apply_watch(watched(Vec::new(), 1, 900));
        }
        assert!(!mirror.lacks(old.position(), range), "of another era");
        mirror.apply_listing(listing(&copy, 2, 886));
        assert_eq!(
            mirror.lacks(old.position(), range),
            lacks,
            "started at {started_at:?}"
        );
        let applied = mirror.merge(old.snapshot_after(mirror.position()));
        assert!(!mirror.lacks(old.position(), range));
        assert_eq!(deletions(&applied), ["gone"]);
        assert!(mirror.has_value("again") && !mirror.has_value("gone"));
    }
}

/// Guards against a value that is lost in a second restore, because an earlier one of the same key was retained.
#[test]
fn a_value_that_replaced_a_retained_one_outlasts_a_second_restore() {
    let mut mirror = mirror(&[("config", "v2", 860)]);
    mirror.apply_listing(listing(&[("config", "v1", 840)], 2, 850));
    let event = put("config", "v3", version(2, 851));
    mirror.apply_watch(watched(vec![event], 2, 851));
    mirror.apply_listing(listing(&[("config", "v1", 840)], 3, 845));
    let mut started = Mirror::new(Retention::Values);
    started.apply_listing(listing(&[("config", "v1", 840)], 3, 845));
    let applied = started.merge(mirror.snapshot_after(started.position()));
    let values = applied.iter().filter_map(|change| change.value.as_deref());
    assert_eq!(values.collect::<Vec<_>>(), [b"v2", b"v3"]);
    // The owner writes the last value again, and the earlier one ends with it.
    let event = put("config", "v3", version(3, 846));
    started.apply_watch(watched(vec![event], 3, 846));
    assert_eq!(started.retained_count(), 0);
}

/// Guards against state that comes back from an instance that is late to give it up.
#[test]
fn retained_state_that_is_over_does_not_return() {
    let known = [("target", "1", 860), ("evacuate", "", 870)];
    let late = {
        let mut late = mirror(&known);
        late.apply_listing(listing(&[], 2, 850));
        late
    };
    let mut mirror = late.clone();
    let events = vec![
        put("evacuate", "", version(2, 851)),
        removed("evacuate", version(2, 852)),
    ];
    mirror.apply_watch(watched(events, 2, 852));
    assert_eq!(deletions(&mirror.release_retained(Era::new(2))), ["target"]);
    assert_eq!(mirror.merge(late.snapshot_after(mirror.position())), []);
    assert_eq!(mirror.retained_count(), 0);
}

/// An instance that starts at any time knows the same targets, after a merge, as one that was there all along.
#[test]
fn a_started_mirror_counts_the_same_values_after_a_merge() {
    type Steps = Vec<(u8, bool)>;
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(are_counted_values_equal as fn(Steps, usize, usize, Steps) -> bool);
}

fn are_counted_values_equal(
    steps: Vec<(u8, bool)>,
    copied: usize,
    started: usize,
    later: Vec<(u8, bool)>,
) -> bool {
    let mut state: IndexMap<Arc<str>, Entry> = IndexMap::new();
    let apply = |state: &mut IndexMap<Arc<str>, Entry>, (key, present): (u8, bool), at| {
        let key: Arc<str> = format!("k{}", key % 4).into();
        if !present {
            state.swap_remove(&key);
            return removed(&key, at);
        }
        let entry = Entry {
            key: key.clone(),
            value: Bytes::from(at.to_string()),
            version: at,
        };
        state.insert(key, entry.clone());
        Event::Put(entry)
    };
    let page = |state: &IndexMap<Arc<str>, Entry>, era: u64, revision: u64| Page {
        entries: state
            .values()
            .map(|entry| Entry {
                version: version(era, entry.version.revision()),
                ..entry.clone()
            })
            .collect(),
        version: version(era, revision),
    };
    let (copied, started) = (copied % (steps.len() + 1), started % (steps.len() + 1));
    let mut old = Mirror::new(Retention::Deletions);
    let mut new = Mirror::new(Retention::Deletions);
    old.apply_listing(page(&state, 1, 1));
    let (mut copy, mut copied_at, mut revision) = (state.clone(), 1, 1);
    for (index, step) in steps.into_iter().enumerate() {
        if index == started {
            new.apply_listing(page(&state, 1, revision));
        }
        if index == copied {
            (copy, copied_at) = (state.clone(), revision);
        }
        revision += 1;
        let event = apply(&mut state, step, version(1, revision));
        old.apply_watch(watched(vec![event.clone()], 1, revision));
        if index >= started {
            new.apply_watch(watched(vec![event], 1, revision));
        }
    }
    state = copy;
    for mirror in [&mut old, &mut new] {
        mirror.apply_listing(page(&state, 2, copied_at));
        mirror.release_retained(Era::new(2));
    }
    for (index, step) in later.into_iter().enumerate() {
        let at = copied_at + 1 + index as u64;
        let event = apply(&mut state, step, version(2, at));
        old.apply_watch(watched(vec![event.clone()], 2, at));
        new.apply_watch(watched(vec![event], 2, at));
    }
    if old
        .lasting()
        .is_some_and(|range| new.lacks(old.position(), range))
    {
        new.merge(old.snapshot_after(new.position()));
    }
    let counted = |mirror: &Mirror| {
        let mut keys: Vec<Arc<str>> = mirror.values().map(|(key, _)| key.clone()).collect();
        keys.sort();
        keys
    };
    counted(&old) == counted(&new)
}

quickcheck! {
    /// A value known before a restore is in the listing, retained, or both.
    fn no_known_value_is_lost(before: Vec<(u8, u8)>, copy: Vec<(u8, u8)>) -> bool {
        let entries = |pairs: &[(u8, u8)], era| -> Vec<Entry> {
            // A listing has each key once.
            let pairs: IndexMap<u8, u8> = pairs.iter().copied().collect();
            let pairs = pairs.into_iter().map(|(key, value)| Entry {
                key: key.to_string().into(),
                value: Bytes::from(vec![value]),
                version: version(era, 1 + u64::from(key)),
            });
            pairs.collect()
        };
        let page = |entries, era, revision| Page { entries, version: version(era, revision) };
        let mut mirror = Mirror::default();
        mirror.apply_listing(page(entries(&before, 1), 1, 900));
        let known: Vec<_> = mirror.values().map(|(key, value)| (key.clone(), value.clone())).collect();
        mirror.apply_listing(page(entries(&copy, 2), 2, 850));
        known.into_iter().all(|(key, value)| {
            let holds = |change: &Change| change.key == key && change.value.as_ref() == Some(&value);
            let listed = mirror.values().any(|(k, v)| *k == key && *v == value);
            listed || mirror.retained().iter().any(holds)
        })
    }

    fn a_version_is_read_as_written(era: u64, revision: u64) -> bool {
        version(era, revision).to_string().parse() == Ok(version(era, revision))
    }
}
