//! Beliefs about cached parts never cross a wall, a version or a restart.

use {
    crate::fixture::{DOMAIN, NOW, World, long_prompt, shared_keys, spec, worker},
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion,
        gateway::{CacheScope, CachedParts, Fetch, HeldAs, PartNote},
    },
    test_case::test_case,
};

#[test_case(2, None; "newer weights")]
#[test_case(1, Some("isolated"); "an isolated customer")]
fn scopes_share_nothing(weights: u64, wall: Option<&str>) {
    let prompt = long_prompt(1, 1);
    let shared = shared_keys(&prompt, 1, None);
    let other = shared_keys(&prompt, weights, wall);
    assert!(shared.iter().all(|key| !other.contains(key)));
    assert_ne!(
        CacheScope::of("model", WeightsVersion(1), None),
        CacheScope::of("model", WeightsVersion(weights), wall)
    );
}

#[test]
fn an_isolated_customer_does_not_fetch_what_others_read() {
    let mut world = World::with_engines(4);
    let prompt = long_prompt(1, 1);
    world.note_read(&prompt, worker(0), None, NOW);
    let shared = world.choose(&prompt, NOW).expect("an engine");
    assert!(shared.worker == worker(0) || shared.fetch == Some(Fetch::Engine(worker(0))));
    let walled = world.choose_for(&prompt, Some("isolated"), &[], NOW);
    assert_eq!(walled.expect("an engine").fetch, None);
}

#[test]
fn a_part_counts_only_behind_those_before_it() {
    let mut cached = CachedParts::default();
    let keys = shared_keys(&long_prompt(1, 1), 1, None);
    let note = PartNote {
        part: keys[1],
        worker: worker(0),
        held_as: HeldAs::Read,
    };
    cached.note(note, NOW);
    assert_eq!(cached.depth(&keys, worker(0), NOW), 0);
    cached.note(
        PartNote {
            part: keys[0],
            ..note
        },
        NOW,
    );
    assert_eq!(cached.depth(&keys, worker(0), NOW), 2);
}

#[test]
fn what_is_still_being_read_is_no_source() {
    let mut cached = CachedParts::default();
    let keys = shared_keys(&long_prompt(1, 1), 1, None);
    for part in &keys {
        let note = PartNote {
            part: *part,
            worker: worker(0),
            held_as: HeldAs::Reading,
        };
        cached.note(note, NOW);
    }
    assert_eq!(cached.depth(&keys, worker(0), NOW), 2);
    assert_eq!(cached.read_depth(&keys, worker(0), NOW), 0);
}

#[test]
fn beliefs_fade_and_restarts_end_them() {
    let mut world = World::with_engines(1);
    let prompt = long_prompt(1, 1);
    let keys = shared_keys(&prompt, 1, None);
    world.note_read(&prompt, worker(0), None, NOW);
    let later = NOW.after(DurationMs(60_000));
    assert_eq!(world.cached.depth(&keys, worker(0), later), 0);
    let mut restarted = spec(0, "engines", 64);
    restarted.born_ms = 2;
    assert_eq!(restarted.domain, DOMAIN);
    assert!(world.backends.upsert(restarted));
    world.cached.forget(worker(0));
    assert_eq!(world.cached.depth(&keys, worker(0), NOW), 0);
}

#[test]
fn memory_stays_bounded() {
    let mut cached = CachedParts::default();
    for part in 0..50_000 {
        let note = PartNote {
            part,
            worker: worker(0),
            held_as: HeldAs::Read,
        };
        cached.note(note, TimeMs(part));
    }
    assert!(cached.len() <= 6_000, "{}", cached.len());
    assert!(cached.holds(49_999, worker(0), TimeMs(50_000)));
}

/// The other entry VMs are told of a part when it is new, changes, or was told a while ago.
#[test_case(HeldAs::Reading, 100, false; "told a moment ago")]
#[test_case(HeldAs::Read, 100, true; "it has been read since")]
#[test_case(HeldAs::Reading, 2_600, true; "told a while ago")]
fn what_others_have_just_heard_is_not_told_again(held_as: HeldAs, age_ms: u64, expected: bool) {
    let mut cached = CachedParts::default();
    let note = PartNote {
        part: 1,
        worker: worker(0),
        held_as: HeldAs::Reading,
    };
    assert!(cached.note_own(note, NOW), "it is new");
    let now = NOW.after(DurationMs(age_ms));
    let note = PartNote { held_as, ..note };
    assert_eq!(cached.note_own(note, now), expected);
    let other = PartNote {
        worker: worker(1),
        ..note
    };
    cached.note(other, now);
    assert!(!cached.note_own(other, now), "another entry VM told it");
}

/// Uses that are not told count all the same.
#[test]
fn a_part_in_use_stays_believed() {
    let mut cached = CachedParts::default();
    let note = PartNote {
        part: 1,
        worker: worker(0),
        held_as: HeldAs::Read,
    };
    for step in 0..20 {
        cached.note_own(note, NOW.after(DurationMs(step * 1_000)));
    }
    assert!(cached.holds(1, worker(0), NOW.after(DurationMs(26_000))));
}
