//! Cached parts are never shared across isolated customers, weights versions or restarts.

use {
    crate::fixture::{DOMAIN, NOW, World, group, long_prompt, shared_keys, spec, worker},
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion,
        gateway::{CacheScope, CachedParts, Fetch, PartState, PartUpdate},
    },
    test_case::test_case,
};

#[test_case(2, None; "newer weights")]
#[test_case(1, Some("isolated"); "an isolated customer")]
fn scopes_share_nothing(weights: u64, isolated_customer: Option<&str>) {
    let prompt = long_prompt(1, 1);
    let shared = shared_keys(&prompt, 1, None);
    let other = shared_keys(&prompt, weights, isolated_customer);
    assert!(shared.iter().all(|key| !other.contains(key)));
    assert_ne!(
        CacheScope::new("model", WeightsVersion(1), group(None)),
        CacheScope::new("model", WeightsVersion(weights), group(isolated_customer))
    );
}

#[test]
fn an_isolated_customer_does_not_fetch_what_others_read() {
    let mut world = World::with_engines(4);
    let prompt = long_prompt(1, 1);
    world.record_cached(&prompt, worker(0), None, NOW);
    let shared = world.choose(&prompt, NOW).expect("an engine");
    assert!(shared.worker == worker(0) || shared.fetch == Some(Fetch::Engine(worker(0))));
    let isolated = world.choose_for(&prompt, Some("isolated"), &[], NOW);
    assert_eq!(isolated.expect("an engine").fetch, None);
}

/// An engine that holds a part has prefilled all parts before it, whether or not it is still tracked
/// as a holder of these. It holds no more than that.
#[test]
fn a_part_implies_those_before_it_and_none_after_it() {
    let keys = shared_keys(&long_prompt(1, 1), 1, None);
    for (held, expected) in [(0, 1), (1, 2)] {
        let mut cached = CachedParts::default();
        let update = PartUpdate {
            part: keys[held],
            worker: worker(0),
            state: PartState::Cached,
        };
        cached.record(update, NOW);
        assert_eq!(cached.cached_len(&keys, worker(0), NOW), expected);
        assert_eq!(cached.fetchable_len(&keys, worker(0), NOW), expected);
        assert_eq!(cached.cached_len(&keys, worker(1), NOW), 0);
    }
    assert_eq!(CachedParts::default().cached_len(&keys, worker(0), NOW), 0);
}

#[test]
fn what_is_still_being_read_is_no_source() {
    let mut cached = CachedParts::default();
    let keys = shared_keys(&long_prompt(1, 1), 1, None);
    for part in &keys {
        let update = PartUpdate {
            part: *part,
            worker: worker(0),
            state: PartState::Prefilling,
        };
        cached.record(update, NOW);
    }
    assert_eq!(cached.cached_len(&keys, worker(0), NOW), 2);
    assert_eq!(cached.fetchable_len(&keys, worker(0), NOW), 0);
}

#[test]
fn beliefs_fade_and_restarts_end_them() {
    let mut world = World::with_engines(1);
    let prompt = long_prompt(1, 1);
    let keys = shared_keys(&prompt, 1, None);
    world.record_cached(&prompt, worker(0), None, NOW);
    let later = NOW.after(DurationMs(60_000));
    assert_eq!(world.cached.cached_len(&keys, worker(0), later), 0);
    let mut restarted = spec(0, "engines", 64);
    restarted.started_at_ms = 2;
    assert_eq!(restarted.domain, DOMAIN);
    assert!(world.backends.upsert(restarted));
    world.cached.remove_worker(worker(0));
    assert_eq!(world.cached.cached_len(&keys, worker(0), NOW), 0);
}

#[test]
fn memory_stays_bounded() {
    let mut cached = CachedParts::default();
    for part in 0..50_000 {
        let update = PartUpdate {
            part,
            worker: worker(0),
            state: PartState::Cached,
        };
        cached.record(update, TimeMs(part));
    }
    assert!(cached.len() <= 6_000, "{}", cached.len());
    assert!(cached.holds(49_999, worker(0), TimeMs(50_000)));
}

/// An update must be reported to the other entry VMs if it is new, changes the state of a part, or
/// was last reported some time ago.
#[test_case(PartState::Prefilling, 100, false; "told a moment ago")]
#[test_case(PartState::Cached, 100, true; "it has been read since")]
#[test_case(PartState::Prefilling, 2_600, true; "told a while ago")]
fn what_others_have_just_heard_is_not_told_again(state: PartState, age_ms: u64, expected: bool) {
    let mut cached = CachedParts::default();
    let update = PartUpdate {
        part: 1,
        worker: worker(0),
        state: PartState::Prefilling,
    };
    assert!(cached.record_local(update, NOW), "it is new");
    let now = NOW.after(DurationMs(age_ms));
    let update = PartUpdate { state, ..update };
    assert_eq!(cached.record_local(update, now), expected);
    let other = PartUpdate {
        worker: worker(1),
        ..update
    };
    cached.record(other, now);
    assert!(
        !cached.record_local(other, now),
        "another entry VM reported it"
    );
}

/// Uses that are not reported must still extend the time for which a part counts as cached.
#[test]
fn a_part_in_use_stays_believed() {
    let mut cached = CachedParts::default();
    let update = PartUpdate {
        part: 1,
        worker: worker(0),
        state: PartState::Cached,
    };
    for step in 0..20 {
        cached.record_local(update, NOW.after(DurationMs(step * 1_000)));
    }
    assert!(cached.holds(1, worker(0), NOW.after(DurationMs(26_000))));
}
