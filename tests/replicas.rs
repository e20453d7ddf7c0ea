//! Copies of a table that gateways read from the store and pull from each other, without a network. Gateways
//! restart and forget what was removed.

use {
    cactusspur::gateway::replica::{Replica, StoreVersion, StoredRow, TableCopy},
    std::collections::BTreeMap,
};

const TABLE: &str = "servers";

type Rows = BTreeMap<String, (StoreVersion, Option<Vec<u8>>)>;

fn live(rows: &Rows) -> Vec<(String, Vec<u8>)> {
    let rows = rows.iter();
    rows.filter_map(|(key, row)| Some((key.clone(), row.1.clone()?)))
        .collect()
}

/// The store: its rows, removed ones included.
struct Store {
    now: StoreVersion,
    rows: Rows,
    history_since: StoreVersion,
}

impl Store {
    fn new() -> Self {
        let now = StoreVersion { era: 0, version: 1 };
        Self {
            now,
            rows: Rows::new(),
            history_since: now,
        }
    }

    fn write(&mut self, key: u8, value: Option<Vec<u8>>) {
        self.now.version += 1;
        self.rows.insert(format!("server-{key}"), (self.now, value));
    }

    /// Another table changes, so that versions have gaps.
    fn write_elsewhere(&mut self) {
        self.now.version += 1;
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
