//! What an entry VM knows of the time at which weights were announced.

use {
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion,
        gateway::{AgeSource, AnnouncedAt, Announcements, outdated},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    test_case::test_case,
};

const GRACE_MS: DurationMs = DurationMs(10_000);
const NOW: TimeMs = TimeMs(1_000_000);

fn since(at_ms: u64, source: AgeSource) -> AnnouncedAt {
    AnnouncedAt::NotBefore {
        at_ms: TimeMs(at_ms),
        source,
    }
}

fn name(announcements: &mut Announcements, version: u64, until: AnnouncedAt, now: u64) {
    announcements.name(WeightsVersion(version), until, GRACE_MS, TimeMs(now));
}

fn record(announcements: &mut Announcements, version: u64, follows: u64, at: AnnouncedAt) {
    let follows = WeightsVersion(follows);
    announcements.record(WeightsVersion(version), follows, at, GRACE_MS);
}

/// When weights became outdated, as far as known.
fn outdated_at(announcements: &Announcements, weights: u64) -> Option<AnnouncedAt> {
    let newer = outdated(WeightsVersion(weights), announcements.versions());
    newer.map(|newer| newer.at)
}

/// The age counted from when the announcement was heard, which may be long after it.
#[test]
fn an_age_counts_from_the_last_moment_without_the_announcement() {
    let mut known = Announcements::default();
    name(&mut known, 4, AnnouncedAt::Unknown, 100);
    name(&mut known, 7, since(900, AgeSource::Store), 1_500);
    assert_eq!(outdated_at(&known, 7), None);
    for weights in 4..7 {
        let expected = since(900, AgeSource::Store);
        assert_eq!(outdated_at(&known, weights), Some(expected), "{weights}");
    }
    // Those that started after 4 was announced don't know since when 3 is outdated.
    assert_eq!(outdated_at(&known, 3), Some(AnnouncedAt::Unknown));
}

/// The newest version was taken for the first one after the engine's, though others had come between.
#[test]
fn a_version_that_may_lie_between_makes_the_age_unknown() {
    let mut known = Announcements::default();
    name(&mut known, 3, AnnouncedAt::Unknown, 6_000);
    record(&mut known, 3, 2, since(5_900, AgeSource::Peer));
    let expected = since(5_900, AgeSource::Peer);
    assert_eq!(outdated_at(&known, 2), Some(expected));
    assert_eq!(outdated_at(&known, 1), Some(AnnouncedAt::Unknown));
    record(&mut known, 2, 1, since(100, AgeSource::Record));
    let expected = since(100, AgeSource::Record);
    assert_eq!(outdated_at(&known, 1), Some(expected));
}

/// An estimate must neither hide nor spread beside what is known.
#[test]
fn an_estimate_yields_to_any_other_source() {
    let mut known = Announcements::default();
    name(&mut known, 1, AnnouncedAt::Unknown, 100);
    name(&mut known, 5, since(1_000, AgeSource::Estimate), 3_000);
    assert!(known.notices(NOW).is_empty());
    assert_eq!(known.worth_recording(TimeMs(3_000)).count(), 0);
    let expected = since(1_000, AgeSource::Estimate);
    assert_eq!(outdated_at(&known, 1), Some(expected));
    record(&mut known, 5, 1, since(2_800, AgeSource::Record));
    let expected = since(2_800, AgeSource::Record);
    assert_eq!(outdated_at(&known, 1), Some(expected));
}

/// A peer of an earlier build tells the age of one version only: engines with others must stay in use.
#[test]
fn a_peer_that_told_one_version_leaves_an_estimate_for_those_between() {
    let mut known = Announcements::default();
    name(&mut known, 1, AnnouncedAt::Unknown, 100);
    record(&mut known, 5, 4, since(2_700, AgeSource::Peer));
    name(&mut known, 5, since(1_000, AgeSource::Estimate), 3_000);
    let expected = since(1_000, AgeSource::Estimate);
    assert_eq!(outdated_at(&known, 1), Some(expected));
}

/// The oldest versions were dropped, and the next ones taken for the first.
#[test]
fn dropped_versions_make_ages_unknown() {
    let mut known = Announcements::default();
    name(&mut known, 1, AnnouncedAt::Unknown, 0);
    for version in 2..100 {
        let until = since(version * 10, AgeSource::Store);
        name(&mut known, version, until, version * 10 + 5);
    }
    assert_eq!(outdated_at(&known, 1), Some(AnnouncedAt::Unknown));
    let expected = since(990, AgeSource::Store);
    assert_eq!(outdated_at(&known, 98), Some(expected));
}

/// Whatever some gateways saw of a series of announcements, and however they told each other, none of them takes
/// weights for outdated later than they were.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn no_bound_is_later_than_the_announcement(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..300 {
        let mut announced_at = vec![(1, 0)];
        let mut gateways: Vec<(Announcements, Option<u64>)> = vec![Default::default(); 3];
        for now in (10..2_000).step_by(10) {
            if random.random_bool(0.05) {
                let newest = announced_at.last().expect("a version").0;
                announced_at.push((newest + random.random_range(1..4), now));
            }
            let newest = announced_at.last().expect("a version").0;
            let number = random.random_range(0..3);
            match random.random_range(0..10) {
                0 => gateways[number] = Default::default(),
                1..5 => {
                    let (known, until) = &mut gateways[number];
                    let unchanged = until.map(|at_ms| since(at_ms, AgeSource::Store));
                    name(
                        known,
                        newest,
                        unchanged.unwrap_or(AnnouncedAt::Unknown),
                        now,
                    );
                    *until = Some(now);
                }
                _ => {
                    let told = gateways[number].0.notices(TimeMs(now));
                    for (version, age_ms) in told {
                        let at = since(now - age_ms.0, AgeSource::Peer);
                        record(
                            &mut gateways[(number + 1) % 3].0,
                            version.0,
                            version.0 - 1,
                            at,
                        );
                    }
                }
            }
            for (known, _) in &gateways {
                for (weights, _) in &announced_at {
                    let newer = announced_at.iter().find(|row| row.0 > *weights);
                    let Some(AnnouncedAt::NotBefore { at_ms, .. }) = outdated_at(known, *weights)
                    else {
                        continue;
                    };
                    let (_, at) = newer.expect("a newer version");
                    assert!(at_ms.0 <= *at, "{weights}: {at_ms:?} after {at}");
                }
            }
        }
    }
}

/// A peer that told the time of the newest version alone made that of the versions before unknown.
#[test]
fn a_bound_of_the_newest_version_leaves_the_estimate_of_those_before() {
    let mut known = Announcements::default();
    name(&mut known, 1, AnnouncedAt::Unknown, 100);
    let estimate = since(1_000, AgeSource::Estimate);
    name(&mut known, 5, estimate, 3_000);
    record(&mut known, 5, 4, since(2_700, AgeSource::Peer));
    assert_eq!(outdated_at(&known, 1), Some(estimate));
    let peer = since(2_700, AgeSource::Peer);
    assert_eq!(outdated_at(&known, 4), Some(peer));
}

/// A version that the store had named before its return from a backup kept engines out of use.
#[test]
fn versions_that_only_peers_tell_of_outdate_nothing() {
    let mut known = Announcements::default();
    name(&mut known, 2, AnnouncedAt::Unknown, 100);
    record(&mut known, 9, 8, since(50, AgeSource::Peer));
    assert_eq!(outdated_at(&known, 2), None);
    name(&mut known, 9, since(200, AgeSource::Store), 300);
    let peer = since(50, AgeSource::Peer);
    assert_eq!(outdated_at(&known, 8), Some(peer));
}
