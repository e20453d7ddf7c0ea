//! Copies of tables, backend servers and the order lease when the store returns from a backup, without
//! a network.

use {
    bytes::Bytes,
    cactusspur::gateway::{
        lease::{Acquired, Candidate, TERM_MS, acquire, fencing_number, wait_after_backup_ms},
        replica::{Replica, StoreVersion, StoredRow, TableCopy},
        store::{Changes, MetadataStore, ReadRow, StoreError, WriteResult},
    },
    cactusspur_core::{
        DurationMs, TimeMs, WorkerId,
        gateway::{BackendSpec, BackendTable},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::net::SocketAddr,
    test_case::test_case,
};

const TABLE: &str = "configuration";
const PAUSE_MS: DurationMs = DurationMs(3_300);

fn at(era: u64, version: u64) -> StoreVersion {
    StoreVersion { era, version }
}

fn row(key: &str, version: StoreVersion, value: u8) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        version,
        value: Some(vec![value]),
    }
}

/// The copy of a peer that knows all changes since that of its newest row.
fn whole(head: StoreVersion, rows: Vec<StoredRow>) -> TableCopy {
    TableCopy {
        name: TABLE.to_owned(),
        head,
        complete_since: rows.iter().map(|row| row.version).max().unwrap_or(head),
        rows,
        is_whole: true,
    }
}

fn value(replica: &Replica, key: &str) -> Option<Vec<u8>> {
    let tables = replica.changes_since(&[]);
    let rows = tables.into_iter().flat_map(|table| table.rows);
    rows.into_iter().find(|row| row.key == key)?.value
}

/// A copy of the old era with a higher version was kept, and the lower version of the new era lost.
#[test]
fn a_lower_version_of_a_new_era_replaces_the_copy() {
    let mut replica = Replica::default();
    replica.apply(whole(
        at(1, 90),
        vec![row("a", at(1, 90), 1), row("b", at(1, 80), 1)],
    ));
    let changes = replica.apply(whole(at(2, 40), vec![row("a", at(2, 40), 2)]));
    assert!(changes.is_restored);
    assert_eq!(replica.head(TABLE), Some(at(2, 40)));
    assert_eq!(value(&replica, "a"), Some(vec![2]));
    assert_eq!(value(&replica, "b"), None);
}

/// A late answer of the old era, or a peer that still lives in it, brought back what is gone.
#[test]
fn nothing_of_an_older_era_is_taken_in() {
    let mut replica = Replica::default();
    replica.apply(whole(at(2, 40), vec![row("a", at(2, 40), 2)]));
    assert!(
        replica
            .apply(whole(at(1, 99), vec![row("a", at(1, 99), 1)]))
            .rows
            .is_empty()
    );
    let changes = TableCopy {
        is_whole: false,
        ..whole(at(1, 99), vec![row("a", at(1, 99), 1)])
    };
    assert!(replica.apply(changes).rows.is_empty());
    assert_eq!(replica.head(TABLE), Some(at(2, 40)));
}

/// Changes since a version of another era are not a copy: rows that the receiver has would stay.
#[test]
fn a_peer_of_another_era_is_sent_the_whole_table() {
    let mut replica = Replica::default();
    replica.apply(whole(at(2, 40), vec![row("a", at(2, 12), 2)]));
    let sent = replica.changes_since(&[(TABLE.to_owned(), at(1, 30))]);
    assert!(sent[0].is_whole);
    assert_eq!(sent[0].rows.len(), 1);
    let sent = replica.changes_since(&[(TABLE.to_owned(), at(2, 30))]);
    assert!(!sent[0].is_whole);
    assert!(sent[0].rows.is_empty());
}

/// Gateways that exchange copies in any order must end with that of the newest era, and never go back.
#[test_case(8, 1; "eight gateways")]
#[test_case(300, 2; "three hundred gateways")]
fn gateways_agree_on_the_newest_era(gateways: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut replicas: Vec<Replica> = (0..gateways).map(|_| Replica::default()).collect();
    for replica in &mut replicas {
        let version = random.random_range(50..100);
        replica.apply(whole(at(1, version), vec![row("a", at(1, version), 1)]));
    }
    replicas[0].apply(whole(at(2, 20), vec![row("a", at(2, 20), 2)]));
    for _ in 0..gateways * 40 {
        let (from, to) = (
            random.random_range(0..gateways),
            random.random_range(0..gateways),
        );
        let known = replicas[to].heads();
        let before = replicas[to].head(TABLE);
        for copy in replicas[from].changes_since(&known) {
            replicas[to].apply(copy);
        }
        assert!(replicas[to].head(TABLE) >= before);
    }
    for replica in &replicas {
        assert_eq!(replica.head(TABLE), Some(at(2, 20)));
        assert_eq!(value(replica, "a"), Some(vec![2]));
    }
}

/// Versions are assigned again after a backup, and fencing numbers were versions.
#[test]
fn a_fencing_number_never_comes_again() {
    let highest_of_first = fencing_number(at(1, u64::from(u32::MAX)));
    assert!(fencing_number(at(2, 1)) > highest_of_first);
    assert!(fencing_number(at(1, 6)) > fencing_number(at(1, 5)));
}

/// Two gateways sent orders at the same time: the row of the one was lost with the backup, and the other
/// one found the lease free.
#[test_case(2, 1, 60_000, TERM_MS.0 + PAUSE_MS.0; "a gateway that does not know the new era yet")]
#[test_case(2, 2, 1_000, TERM_MS.0 + PAUSE_MS.0 - 1_000; "one that has known it for a second")]
#[test_case(2, 2, 60_000, 0; "one that has known it for long")]
#[test_case(1, 1, 1_000, TERM_MS.0 + PAUSE_MS.0 - 1_000; "the first return of a store that began at zero")]
#[test_case(0, 0, 0, 0; "a store that has never returned")]
fn the_lease_is_free_only_after_the_term_that_may_be_lost(
    era: u64,
    known_era: u64,
    era_age_ms: u64,
    expected_ms: u64,
) {
    let candidate = Candidate {
        name: "entry-1",
        pause_ms: PAUSE_MS,
        known_era,
        era_age_ms: DurationMs(era_age_ms),
    };
    assert_eq!(
        wait_after_backup_ms(&candidate, era),
        DurationMs(expected_ms)
    );
}

/// A store without a lease row, which answers reads in one era and writes in another.
struct EmptyStore {
    read_era: u64,
    write_era: u64,
}

impl MetadataStore for EmptyStore {
    async fn read_table(&self, table: &str) -> Result<TableCopy, StoreError> {
        Ok(TableCopy {
            name: table.to_owned(),
            ..TableCopy::default()
        })
    }

    async fn changes(
        &self,
        _table: &str,
        _after: StoreVersion,
        _wait_ms: DurationMs,
        _answer_within_ms: DurationMs,
    ) -> Result<Changes, StoreError> {
        Ok(Changes::HistoryTruncated)
    }

    async fn read_row(&self, _table: &str, _key: &str) -> Result<ReadRow, StoreError> {
        Ok(ReadRow {
            row: None,
            era: self.read_era,
            store_now_ms: TimeMs(0),
        })
    }

    async fn write_row(
        &self,
        _table: &str,
        _key: &str,
        _expected: u64,
        _value: Bytes,
    ) -> Result<WriteResult, StoreError> {
        Ok(WriteResult::Done {
            version: at(self.write_era, 7),
            store_now_ms: TimeMs(0),
        })
    }
}

/// A gateway acquired the lease at once when its row was lost with a backup, or held it by a write that
/// reached the store after its return.
#[test_case(0, 0, true; "a store that has never returned")]
#[test_case(1, 1, false; "the first return of a store that began at zero")]
#[test_case(0, 1, false; "a return between the read and the write")]
#[tokio::test]
async fn a_lease_without_a_row_is_held_only_if_none_can_be_lost(
    read_era: u64,
    write_era: u64,
    is_held: bool,
) {
    let store = EmptyStore {
        read_era,
        write_era,
    };
    let candidate = Candidate {
        name: "entry-1",
        pause_ms: PAUSE_MS,
        known_era: read_era,
        era_age_ms: DurationMs(1_000),
    };
    let acquired = acquire(&store, &candidate).await.expect("an answer");
    assert_eq!(matches!(acquired, Acquired::Held(_)), is_held);
}

fn spec(is_ready: bool, started_at_ms: u64) -> BackendSpec {
    BackendSpec {
        instance: "server-1".to_owned(),
        started_at_ms,
        service: "plain".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        domain: "north".to_owned(),
        slots: 8,
        is_ready,
        weights: Vec::new(),
        software: None,
    }
}

/// A row from a backup said that a draining server was ready.
#[test]
fn a_draining_server_is_ready_again_only_after_a_restart() {
    let mut backends = BackendTable::default();
    let is_ready = |backends: &BackendTable| {
        let backend = backends.get(WorkerId::from_name("server-1"));
        backend.is_some_and(cactusspur_core::gateway::Backend::is_ready)
    };
    backends.upsert(spec(true, 1));
    backends.upsert(spec(false, 1));
    backends.upsert(spec(true, 1));
    assert!(!is_ready(&backends));
    backends.upsert(spec(true, 2));
    assert!(is_ready(&backends));
}
