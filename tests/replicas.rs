//! Copies of a table that gateways read from the store and pull from each other, without a network. Gateways
//! restart and forget what was removed, the store cuts its history short and returns from backups.

use {
    cactusspur::gateway::replica::{Replica, StoreVersion, StoredRow, TableCopy},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeMap,
    test_case::test_case,
};

const TABLE: &str = "servers";
const KEYS: u8 = 12;
const STEPS: usize = 4_000;

type Rows = BTreeMap<String, (StoreVersion, Option<Vec<u8>>)>;

fn live(rows: &Rows) -> Vec<(String, Vec<u8>)> {
    let rows = rows.iter();
    rows.filter_map(|(key, row)| Some((key.clone(), row.1.clone()?)))
        .collect()
}

/// The store: its rows, removed ones included, and what it held at each version.
struct Store {
    now: StoreVersion,
    rows: Rows,
    history_since: StoreVersion,
    past: Vec<(StoreVersion, Rows)>,
}

impl Store {
    fn new() -> Self {
        let now = StoreVersion { era: 0, version: 1 };
        Self {
            now,
            rows: Rows::new(),
            history_since: now,
            past: vec![(now, Rows::new())],
        }
    }

    fn write(&mut self, key: u8, value: Option<Vec<u8>>) {
        self.now.version += 1;
        self.rows.insert(format!("server-{key}"), (self.now, value));
        self.past.push((self.now, self.rows.clone()));
    }

    /// Another table changes, so that versions have gaps.
    fn write_elsewhere(&mut self) {
        self.now.version += 1;
        self.past.push((self.now, self.rows.clone()));
    }

    fn cut_history(&mut self) {
        self.history_since = self.now;
    }

    /// Returns from a backup that is a few versions old.
    fn restore(&mut self, random: &mut StdRng) {
        let age = random.random_range(0..5).min(self.past.len() - 1);
        let (version, rows) = self.past[self.past.len() - 1 - age].clone();
        self.now = StoreVersion {
            era: self.now.era + 1,
            version: version.version,
        };
        let renewed = rows.into_iter().map(|(key, row)| {
            let version = StoreVersion {
                era: self.now.era,
                ..row.0
            };
            (key, (version, row.1))
        });
        self.rows = renewed.filter(|row| row.1.1.is_some()).collect();
        self.history_since = self.now;
        self.past.push((self.now, self.rows.clone()));
    }

    fn rows_after(&self, after: Option<StoreVersion>) -> Vec<StoredRow> {
        let rows = self.rows.iter().filter(|(_, row)| match after {
            Some(after) => row.0 > after,
            None => row.1.is_some(),
        });
        rows.map(|(key, row)| StoredRow {
            key: key.clone(),
            version: row.0,
            value: row.1.clone(),
        })
        .collect()
    }

    /// What a gateway reads that has the table up to a version.
    fn read(&self, known: Option<StoreVersion>) -> TableCopy {
        let after = known.filter(|known| known.era == self.now.era && *known >= self.history_since);
        TableCopy {
            name: TABLE.to_owned(),
            head: self.now,
            complete_since: self.now,
            rows: self.rows_after(after),
            is_whole: after.is_none(),
        }
    }

    fn held_at(&self, version: StoreVersion) -> Vec<(String, Vec<u8>)> {
        let past = self.past.iter().rfind(|row| row.0 == version);
        live(&past.expect("a version of the store").1)
    }
}

/// A gateway's copy, and what its changes have made of the rows: as the gateway uses them.
#[derive(Default)]
struct Gateway {
    replica: Replica,
    used: BTreeMap<String, Vec<u8>>,
}

impl Gateway {
    fn merge(&mut self, copy: TableCopy) {
        for row in self.replica.apply(copy).rows {
            match row.value {
                Some(value) => self.used.insert(row.key, value),
                None => self.used.remove(&row.key),
            };
        }
    }

    fn pull(&mut self, peer: &Replica) {
        for copy in peer.changes_since(&self.replica.heads()) {
            self.merge(copy);
        }
    }

    fn used(&self) -> Vec<(String, Vec<u8>)> {
        let used = self.used.iter();
        used.map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }
}

/// A gateway that had just read the table answered a pull as if it knew which rows were removed before, so that
/// a removed server stayed in use at the one that asked for as long as that ran (review/4, DRAIN).
#[test]
fn a_pull_from_a_gateway_that_restarted_tells_what_was_removed() {
    let mut store = Store::new();
    store.write(1, Some(vec![1]));
    store.write(2, Some(vec![1]));
    let (mut stale, mut restarted) = (Gateway::default(), Gateway::default());
    stale.merge(store.read(None));
    store.write(1, None);
    restarted.merge(store.read(None));
    store.write(3, Some(vec![1]));
    restarted.merge(store.read(restarted.replica.head(TABLE)));
    stale.pull(&restarted.replica);
    assert_eq!(stale.used(), live(&store.rows));
}

/// All other gateways had restarted since a server was removed, and none of them announced a change: the one
/// that had missed the removal pulled nothing until the next change (related to review/4, DRAIN).
#[test]
fn a_gateway_that_read_the_table_announces_what_may_have_been_removed_before() {
    let mut store = Store::new();
    store.write(1, Some(vec![1]));
    store.write(2, Some(vec![1]));
    let (mut stale, mut restarted) = (Gateway::default(), Gateway::default());
    stale.merge(store.read(None));
    store.write(1, None);
    restarted.merge(store.read(None));
    assert!(
        stale
            .replica
            .is_behind(&restarted.replica.newest_versions())
    );
    stale.pull(&restarted.replica);
    assert_eq!(stale.used(), live(&store.rows));
    // It is up to date now, and sends others what it got no more than once.
    assert!(
        !stale
            .replica
            .is_behind(&restarted.replica.newest_versions())
    );
    assert!(
        !restarted
            .replica
            .is_behind(&stale.replica.newest_versions())
    );
}

/// A gateway that got the table from a peer knows as much as the peer, and would make all others pull the
/// whole table if it announced more.
#[test]
fn a_copy_from_a_peer_makes_nobody_pull() {
    let mut store = Store::new();
    store.write(1, Some(vec![1]));
    let (mut old, mut restarted) = (Gateway::default(), Gateway::default());
    old.merge(store.read(None));
    store.write_elsewhere();
    old.merge(store.read(old.replica.head(TABLE)));
    restarted.pull(&old.replica);
    assert_eq!(
        old.replica.newest_versions(),
        restarted.replica.newest_versions()
    );
}

/// Pulls between gateways until none announces a change that another one lacks. Returns whether that ends.
fn settle(gateways: &mut [Gateway]) -> bool {
    for _ in 0..gateways.len() * 3 {
        let mut is_settled = true;
        for from in 0..gateways.len() {
            for to in 0..gateways.len() {
                let newest = gateways[from].replica.newest_versions();
                if from == to || !gateways[to].replica.is_behind(&newest) {
                    continue;
                }
                is_settled = false;
                let peer = std::mem::take(&mut gateways[from].replica);
                gateways[to].pull(&peer);
                gateways[from].replica = peer;
            }
        }
        if is_settled {
            return true;
        }
    }
    false
}

/// Whatever the order of changes, reads, pulls and restarts, a gateway uses what the store held, and is told of
/// each change that another one knows (related to review/4, DRAIN).
#[test_case(3, 1; "three gateways")]
#[test_case(3, 2; "three gateways, another seed")]
#[test_case(8, 3; "eight gateways")]
#[test_case(40, 4; "forty gateways")]
fn a_copy_is_what_the_store_held_at_its_version(gateways: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut store = Store::new();
    let mut gateways: Vec<Gateway> = (0..gateways).map(|_| Gateway::default()).collect();
    for step in 0..STEPS {
        let first = random.random_range(0..gateways.len());
        match random.random_range(0..100) {
            0..25 => store.write(
                random.random_range(0..KEYS),
                Some(step.to_le_bytes().into()),
            ),
            25..40 => store.write(random.random_range(0..KEYS), None),
            40..45 => store.write_elsewhere(),
            45..47 => store.cut_history(),
            47 => store.restore(&mut random),
            48..53 => gateways[first] = Gateway::default(),
            53..70 => {
                let copy = store.read(gateways[first].replica.head(TABLE));
                gateways[first].merge(copy);
            }
            70..98 => {
                let second = random.random_range(0..gateways.len());
                if first != second {
                    let peer = std::mem::take(&mut gateways[second].replica);
                    gateways[first].pull(&peer);
                    gateways[second].replica = peer;
                }
            }
            _ => {
                assert!(settle(&mut gateways), "step {step}: pulls without end");
                let heads = gateways.iter().map(|row| row.replica.head(TABLE));
                let newest = heads.max().flatten();
                for gateway in gateways.iter().filter(|_| newest.is_some()) {
                    let held = store.held_at(newest.expect("a version"));
                    assert_eq!(gateway.used(), held, "step {step}: a gateway lags behind");
                }
            }
        }
        let gateway = &gateways[first];
        if let Some(head) = gateway.replica.head(TABLE) {
            assert_eq!(gateway.used(), store.held_at(head), "step {step}");
        }
    }
}

/// A whole table with an earlier removal of a row, which was listed again and removed since, left the row in use
/// at the gateway that pulled it (found by the test above).
#[test]
fn an_earlier_removal_does_not_hide_a_later_one() {
    let mut store = Store::new();
    let (mut stale, mut other) = (Gateway::default(), Gateway::default());
    store.write(1, Some(vec![1]));
    other.merge(store.read(None));
    store.write(1, None);
    other.merge(store.read(other.replica.head(TABLE)));
    store.write(1, Some(vec![2]));
    stale.merge(store.read(None));
    store.write(1, None);
    store.cut_history();
    other.merge(store.read(other.replica.head(TABLE)));
    stale.pull(&other.replica);
    assert_eq!(stale.used(), live(&store.rows));
}
