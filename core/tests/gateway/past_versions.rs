//! The versions of a service in fleets of gateways that are lost all at once, before a store that fails and
//! returns from backups, without a network.

use {
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion, WorkerId,
        gateway::{
            BackendSpec, BackendTable, PastVersions, SoftwareKey, SoftwareVersion, VersionRecord,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    test_case::test_case,
};

const SERVICE: &str = "engines";
const STEP_MS: u64 = 100;
const END_MS: u64 = 90_000;
const LIFETIME_MS: DurationMs = DurationMs(20_000);
/// How long a server of a version that isn't recorded is avoided.
const RECORD_WAIT_MS: u64 = 2_000;
/// The time in which a backup is made before the store returns from it.
const BACKUP_AGE_MS: u64 = 3_000;

#[derive(Clone, Debug, Default)]
struct Gateway {
    past: PastVersions,
    listed: Vec<SoftwareKey>,
    loaded_era: Option<u64>,
}

/// The row of the service, as the store holds it: the record, and the era in which it was written.
type Row = Option<(VersionRecord, u64)>;

struct World {
    random: StdRng,
    now: TimeMs,
    gateways: Vec<Gateway>,
    /// The versions that have servers, with the times at which they came.
    listed: Vec<(SoftwareKey, u64)>,
    row: Row,
    backup: Row,
    row_version: u64,
    era: u64,
    is_store_down: bool,
    begun: Vec<(SoftwareKey, u64)>,
    known: usize,
    refused: usize,
}

impl World {
    fn new(gateways: usize, seed: u64) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            now: TimeMs(100_000),
            gateways: Vec::new(),
            listed: vec![(SoftwareKey(1), 0)],
            row: None,
            backup: None,
            row_version: 0,
            era: 0,
            is_store_down: false,
            begun: Vec::new(),
            known: 0,
            refused: 0,
        };
        world.start(gateways);
        for gateway in &mut world.gateways {
            gateway.past.record_first_start();
        }
        world
    }

    /// Starts gateways that know nothing.
    fn start(&mut self, gateways: usize) {
        let fresh = Gateway {
            past: PastVersions::starting_at(self.now),
            ..Gateway::default()
        };
        self.gateways.resize(gateways, fresh);
    }

    /// A gateway follows the list of servers, reads and writes the record, and tells the others.
    fn tick(&mut self, number: usize) {
        if self.is_store_down {
            return;
        }
        let listed: Vec<SoftwareKey> = self.listed.iter().map(|row| row.0).collect();
        let gateway = &mut self.gateways[number];
        for gone in gateway.listed.iter().filter(|row| !listed.contains(row)) {
            gateway.past.record(SERVICE, *gone, self.now);
        }
        gateway.listed.clone_from(&listed);
        if gateway.loaded_era != Some(self.era) {
            gateway.past.forget_records_before(self.era);
            if let Some((record, written_in_era)) = &self.row {
                let mut record = record.clone();
                record.is_complete &= *written_in_era == self.era;
                record.era = self.era;
                gateway.past.apply_record(record, self.now);
            }
            gateway.loaded_era = Some(self.era);
        }
        let due = gateway
            .past
            .due_record(SERVICE, listed, LIFETIME_MS, self.era, self.now);
        let Some(due) = due else {
            return;
        };
        if self.random.random_bool(0.2) {
            return;
        }
        let held = self.row.as_ref().map_or(0, |row| row.0.row_version);
        if held != due.row_version {
            self.gateways[number].loaded_era = None;
            return;
        }
        self.row_version += 1;
        let record = VersionRecord {
            row_version: self.row_version,
            ..due
        };
        self.row = Some((record.clone(), self.era));
        for gateway in &mut self.gateways {
            gateway.past.apply_record(record.clone(), self.now);
        }
    }

    /// A stream begins at some gateway, at a version that it may use.
    fn begin(&mut self) {
        let number = self.random.random_range(0..self.gateways.len());
        let (gateway, now) = (&self.gateways[number], self.now.0);
        let known = self
            .listed
            .iter()
            .filter(|row| gateway.listed.contains(&row.0));
        let usable = known.clone().filter(|(software, came_at_ms)| {
            !gateway.past.is_unrecorded(SERVICE, *software) || now - came_at_ms >= RECORD_WAIT_MS
        });
        let first = usable.chain(known).next().map(|row| row.0);
        self.begun.extend(first.map(|software| (software, now)));
    }

    /// A caller takes a stream up at some gateway that knows no origins.
    fn take_up(&mut self) {
        let now = self.now;
        self.begun.retain(|row| now.0 - row.1 < LIFETIME_MS.0);
        if self.begun.is_empty() || self.is_store_down {
            return;
        }
        let (began_at, _) = self.begun[self.random.random_range(0..self.begun.len())];
        let gateway = &self.gateways[self.random.random_range(0..self.gateways.len())];
        if gateway.loaded_era.is_none() {
            // It has no list of servers yet and isn't ready.
            return;
        }
        let listed = gateway.listed.iter().copied();
        match gateway.past.only_version(SERVICE, listed, LIFETIME_MS, now) {
            Some(software) => {
                assert_eq!(software, began_at, "a stream is joined at {now}");
                self.known += 1;
            }
            None => self.refused += 1,
        }
    }

    /// The next version comes, and earlier ones leave soon after.
    fn release(&mut self, version: u32) {
        self.listed.push((SoftwareKey(version), self.now.0));
    }

    fn step(&mut self) {
        self.now = self.now.after(DurationMs(STEP_MS));
        if self.now.0.is_multiple_of(BACKUP_AGE_MS) {
            self.backup.clone_from(&self.row);
        }
        for number in 0..self.gateways.len() {
            // In a large fleet a few gateways call the store in each step.
            if self.gateways.len() < 100 || self.random.random_bool(0.1) {
                self.tick(number);
            }
        }
        for _ in 0..5 {
            self.begin();
            self.take_up();
        }
    }
}

/// What befalls the fleet, besides the loss of all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// One version follows another.
    Releases,
    /// So it does, while the store is down at times and returns from backups.
    ReleasesAndBackups,
}

/// After the loss of all gateways, the listed version was taken for all there had ever been. With one version
/// all along, streams must go on as soon as a gateway has the list of servers.
#[test_case(1, Trouble::None; "one gateway, one version")]
#[test_case(8, Trouble::None; "eight gateways, one version")]
#[test_case(300, Trouble::None; "300 gateways, one version")]
#[test_case(1, Trouble::Releases; "one gateway, versions follow each other")]
#[test_case(8, Trouble::Releases; "eight gateways, versions follow each other")]
#[test_case(300, Trouble::Releases; "300 gateways, versions follow each other")]
#[test_case(1, Trouble::ReleasesAndBackups; "one gateway, the store is down and returns older")]
#[test_case(8, Trouble::ReleasesAndBackups; "eight gateways, the store is down and returns older")]
#[test_case(300, Trouble::ReleasesAndBackups; "300 gateways, the store is down and returns older")]
fn no_stream_is_joined_after_the_loss_of_all_gateways(gateways: usize, trouble: Trouble) {
    for seed in 0..if gateways > 100 { 2 } else { 40 } {
        let mut world = World::new(gateways, seed);
        let mut version = 1;
        for step in 1..END_MS / STEP_MS {
            if trouble != Trouble::None && world.random.random_bool(0.01) {
                version += 1;
                world.release(version);
            }
            if world.listed.len() > 1 && world.random.random_bool(0.02) {
                world.listed.remove(0);
            }
            if trouble == Trouble::ReleasesAndBackups {
                if world.random.random_bool(0.02) {
                    world.is_store_down = !world.is_store_down;
                }
                if world.random.random_bool(0.005) {
                    world.era += 1;
                    world.row = world.backup.take();
                }
            }
            if world.random.random_bool(0.01) {
                // Some of the gateways are back first.
                let back = world.random.random_range(1..=gateways);
                world.gateways.clear();
                world.start(back);
            } else if world.gateways.len() < gateways && step.is_multiple_of(20) {
                world.start(gateways);
            }
            world.step();
        }
        assert!(world.known > 0 || trouble != Trouble::None, "seed {seed}");
        assert!(
            world.refused == 0 || trouble != Trouble::None,
            "seed {seed}"
        );
    }
}

/// A gateway of a large fleet may never hear that a version was recorded. It avoided the servers of that version
/// anew with each change of their rows, such as new weights.
#[test]
fn a_version_is_awaited_once() {
    let spec = |weights, software: &str| BackendSpec {
        instance: "engine".to_owned(),
        started_at_ms: 1,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "north".to_owned(),
        slots: 8,
        is_ready: true,
        weights: vec![("model".to_owned(), WeightsVersion(weights))],
        software: Some(SoftwareVersion(software.to_owned())),
    };
    let worker = WorkerId::from_name("engine");
    let mut table = BackendTable::default();
    let mut takes_requests = |weights, software, now_ms| {
        table.upsert(spec(weights, software));
        let backend = table.get_mut(worker).expect("a server");
        backend.await_record(TimeMs(now_ms + RECORD_WAIT_MS));
        backend.takes_requests(TimeMs(now_ms))
    };
    assert!(!takes_requests(1, "v2", 10_000));
    assert!(!takes_requests(2, "v2", 10_000 + RECORD_WAIT_MS - 1));
    assert!(takes_requests(3, "v2", 10_000 + RECORD_WAIT_MS));
    assert!(!takes_requests(3, "v3", 20_000));
}
