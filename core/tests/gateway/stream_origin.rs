//! Streams that are taken up in fleets of gateways without a network, while services have several versions.

use {
    cactusspur_core::{
        DurationMs, TimeMs,
        gateway::{
            PastVersions, SoftwareKey, SoftwareVersion, StreamKey, StreamOrigin, StreamOrigins,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    test_case::test_case,
};

const STEP_MS: u64 = 10;
const SECONDS: u64 = 20;
const LIFETIME_MS: DurationMs = DurationMs(20_000);
/// The streams that must go on, in percent.
const MIN_KNOWN_PERCENT: usize = 95;
/// Gateways that are asked for a stream that isn't known.
const MAX_ASKED: usize = 32;

fn key(version: &str) -> SoftwareKey {
    SoftwareKey::new(Some(&SoftwareVersion(version.to_owned())))
}

struct News {
    to: usize,
    at_ms: u64,
    origin: StreamOrigin,
}

struct Fleet {
    random: StdRng,
    origins: Vec<StreamOrigins>,
    in_flight: Vec<News>,
    begun: Vec<(StreamOrigin, u64)>,
    loss_percent: u32,
    known: usize,
    unknown: usize,
}

impl Fleet {
    fn new(gateways: usize, loss_percent: u32, seed: u64) -> Self {
        let mut origins = StreamOrigins::default();
        origins.set_lifetime(LIFETIME_MS);
        Self {
            random: StdRng::seed_from_u64(seed),
            origins: vec![origins; gateways],
            in_flight: Vec::new(),
            begun: Vec::new(),
            loss_percent,
            known: 0,
            unknown: 0,
        }
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_range(0..100) < self.loss_percent
    }

    /// Begins a stream and tells the other gateways 30 ms later at the most, and later still in digests.
    fn begin(&mut self, at_ms: u64) {
        let gateway = self.random.random_range(0..self.origins.len());
        let versions = ["v1", "v1.1", "v2"];
        let origin = StreamOrigin {
            stream: StreamKey::new(Some("shop"), &self.random.random::<u64>().to_string()),
            software: key(versions[self.random.random_range(0..versions.len())]),
        };
        self.origins[gateway].record(origin, TimeMs(at_ms));
        self.begun.push((origin, at_ms));
        for to in (0..self.origins.len()).filter(|to| *to != gateway) {
            if self.random.random_range(0..100) >= self.loss_percent {
                let delay_ms = self.random.random_range(1..200);
                self.in_flight.push(News {
                    to,
                    at_ms: at_ms + delay_ms,
                    origin,
                });
            }
        }
    }

    /// Takes a stream up at any gateway, which asks others if it doesn't know it.
    fn take_up(&mut self, at_ms: u64) {
        let old = self.begun.iter().filter(|row| row.1 + 300 < at_ms).count();
        if old == 0 {
            return;
        }
        let (origin, _) = self.begun.swap_remove(self.random.random_range(0..old));
        let gateway = self.random.random_range(0..self.origins.len());
        let mut software = self.origins[gateway].get(origin.stream);
        for _ in 0..MAX_ASKED.min(self.origins.len() - 1) {
            if software.is_none() && !self.is_lost() && !self.is_lost() {
                let other = self.random.random_range(0..self.origins.len());
                software = self.origins[other].get(origin.stream);
            }
        }
        match software {
            Some(software) => {
                assert_eq!(software, origin.software, "a stream is mixed");
                self.known += 1;
            }
            None => self.unknown += 1,
        }
    }

    /// Starts a gateway again, which gets the origins from another one.
    fn restart(&mut self, gateway: usize, at_ms: u64) {
        let other = self.random.random_range(0..self.origins.len());
        let known: Vec<StreamOrigin> = self.origins[other].iter().collect();
        self.origins[gateway] = StreamOrigins::default();
        self.origins[gateway].set_lifetime(LIFETIME_MS);
        for origin in known.into_iter().filter(|_| other != gateway) {
            self.origins[gateway].record(origin, TimeMs(at_ms));
        }
        self.in_flight.retain(|news| news.to != gateway);
    }

    fn step(&mut self, at_ms: u64) {
        let due = self.in_flight.extract_if(.., |news| news.at_ms <= at_ms);
        let due: Vec<News> = due.collect();
        for News { to, origin, .. } in due {
            self.origins[to].record(origin, TimeMs(at_ms));
        }
    }
}

/// A gateway that had not begun a stream knew nothing of it: any that takes it up must know, also when most
/// gateways restart, and none may guess.
#[test_case(1, 0, None; "one gateway")]
#[test_case(8, 5, None; "eight gateways")]
#[test_case(8, 5, Some(1); "eight gateways, one restarts after the other")]
#[test_case(300, 20, Some(30); "300 gateways, many restart, a fifth of the news is lost")]
fn streams_are_taken_up_at_their_version(
    gateways: usize,
    loss_percent: u32,
    restarts: Option<usize>,
) {
    for seed in 0..if gateways > 100 { 1 } else { 10 } {
        let mut fleet = Fleet::new(gateways, loss_percent, seed);
        for at_ms in (0..SECONDS * 1_000).step_by(usize::try_from(STEP_MS).expect("few")) {
            fleet.step(at_ms);
            fleet.begin(at_ms);
            if at_ms.is_multiple_of(50) {
                fleet.take_up(at_ms);
            }
            if at_ms.is_multiple_of(1_000) {
                for number in 0..restarts.unwrap_or(0) {
                    let first = usize::try_from(at_ms / 1_000).expect("few");
                    fleet.restart((first * restarts.unwrap_or(0) + number) % gateways, at_ms);
                }
            }
        }
        let count = fleet.known + fleet.unknown;
        assert!(
            fleet.known * 100 >= count * MIN_KNOWN_PERCENT,
            "seed {seed}: {} of {count} known",
            fleet.known
        );
    }
}

/// What is kept of streams must not grow with the time.
#[test]
fn old_origins_are_forgotten() {
    let mut origins = StreamOrigins::default();
    origins.set_lifetime(LIFETIME_MS);
    for number in 0..100_000 {
        let origin = StreamOrigin {
            stream: StreamKey(number),
            software: key("v1"),
        };
        origins.record(origin, TimeMs(number * 10));
    }
    assert!(origins.len() <= 2_500, "{} origins", origins.len());
    assert_eq!(origins.get(StreamKey(99_000)), Some(key("v1")));
    assert_eq!(origins.get(StreamKey(90_000)), None);
}

/// The ids of attempts are the callers': another customer's attempt with the same id is another stream.
#[test]
fn streams_of_customers_are_told_apart() {
    assert_ne!(
        StreamKey::new(Some("shop"), "1"),
        StreamKey::new(Some("other"), "1")
    );
    assert_ne!(StreamKey::new(None, "1"), StreamKey::new(Some("shop"), "1"));
}

/// Just after a release only the new version is listed, while streams of the earlier one may still be
/// taken up.
#[test]
fn a_version_that_left_is_remembered_as_long_as_its_streams() {
    let (mut past, mut other) = (PastVersions::default(), PastVersions::default());
    let only = |past: &PastVersions, at_ms| {
        past.only_version(
            "engines",
            [key("v2"), key("v2")],
            LIFETIME_MS,
            TimeMs(at_ms),
        )
    };
    past.record("engines", key("v1"), TimeMs(1_000));
    past.record("plain", key("v0"), TimeMs(5_000));
    assert_eq!(only(&past, 2_000), None);
    other.apply(&past.report(LIFETIME_MS, TimeMs(3_000)), TimeMs(3_000));
    assert_eq!(only(&other, 20_000), None);
    assert_eq!(only(&other, 22_000), Some(key("v2")));
    let both = [key("v1"), key("v2")];
    assert_eq!(
        past.only_version("engines", both, LIFETIME_MS, TimeMs(60_000)),
        None
    );
    assert_eq!(
        past.only_version("engines", [], LIFETIME_MS, TimeMs(60_000)),
        None
    );
}
