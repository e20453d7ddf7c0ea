//! Keeps the copies of the store's tables up to date, by long polls.

use {
    super::{
        Shared,
        clock::now,
        notice::gateway_rank,
        replica::{StoredRow, TableCopy},
        store::{Changes, MetadataStore, StoreError, WriteResult},
    },
    cactusspur_core::DurationMs,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How long the store may hold a poll. An answer that takes longer than that shows that the
/// store, or the way to it, has gone silent.
const POLL_MS: DurationMs = DurationMs(3_000);
/// How long a watcher waits after something has changed before it asks again: changes come in
/// series, and every call is paid for.
const SERIES_WAIT: Duration = Duration::from_millis(250);
/// Gateways of a failure domain that ask the store: one, and one in case it fails.
const WATCHERS: usize = 2;
/// The order of gateways in which they watch tables.
const WATCHERS_KEY: u64 = 0;
/// How often a gateway that doesn't looks whether it should.
const WATCHER_LOOK: Duration = Duration::from_millis(250);
/// The wait after a first failure; it doubles with each further one. Every call is paid for.
const MIN_BACK_OFF_MS: u64 = 100;
/// The longest wait after a failure: part of the time in which a change must be in force after
/// the store has come back.
const MAX_BACK_OFF_MS: u64 = 800;
/// The table in which gateways enter their addresses.
const GATEWAYS_TABLE: &str = "gateways";
/// When a gateway enters its address, and reads those of the others again: all may start at once,
/// each before the others have entered theirs.
const REGISTER_AT: [Duration; 2] = [Duration::ZERO, Duration::from_secs(3)];
/// How long to wait before a failed registration is tried again. Peers learn of each other by
/// notices too, so there is no hurry.
const REGISTER_RETRY: Duration = Duration::from_secs(2);
/// How often servers whose entries vanished in an outage are looked at.
const VANISHED_POLL: Duration = Duration::from_millis(200);

/// Starts to watch all tables.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>)
where
    S: MetadataStore,
{
    let tables = shared.protocol.watched_tables();
    shared.state.borrow_mut().set_watched_tables(tables.len());
    for table in tables {
        ntex::rt::spawn(watch(Rc::clone(shared), Rc::clone(store), table));
    }
    ntex::rt::spawn(register(Rc::clone(shared), Rc::clone(store)));
}

/// Enters this gateway's address in the store and learns those of the others. Later ones are
/// learnt from their notices.
async fn register<S>(shared: Rc<Shared>, store: Rc<S>)
where
    S: MetadataStore,
{
    for wait in REGISTER_AT {
        sleep(wait).await;
        while let Err(error) = register_once(&shared, store.as_ref()).await {
            tracing::debug!(%error, "this gateway is not registered yet");
            sleep(REGISTER_RETRY).await;
        }
        shared.peers.announce(&shared);
    }
}

async fn register_once<S>(shared: &Rc<Shared>, store: &S) -> Result<(), StoreError>
where
    S: MetadataStore,
{
    let listed = store.read_table(GATEWAYS_TABLE).await?;
    let own = shared.settings.peers_address;
    let mut known = None;
    for row in &listed.rows {
        let value = row.value.as_deref().unwrap_or_default();
        let Some(address) = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok()) else {
            tracing::warn!(key = row.key, "a registered address can't be read");
            continue;
        };
        if row.key == shared.settings.name {
            known = Some((row.version, address));
        } else if address != own {
            shared.state.borrow_mut().peers.add(address);
        }
    }
    if known.is_some_and(|(_, address)| address == own) {
        return Ok(());
    }
    let expected = known.map_or(0, |(version, _)| version);
    let value = own.to_string().into();
    let name = &shared.settings.name;
    match store
        .write_row(GATEWAYS_TABLE, name, expected, value)
        .await?
    {
        WriteResult::Done { version, .. } => tracing::info!(version, "registered in the store"),
        // An earlier write whose answer was lost, or the VM's earlier address: the second look
        // at the table tells.
        WriteResult::Conflict => tracing::info!(expected, "the registration has changed meanwhile"),
    }
    Ok(())
}

async fn watch<S>(shared: Rc<Shared>, store: Rc<S>, table: &'static str)
where
    S: MetadataStore,
{
    let mut failures: u32 = 0;
    let mut asks = true;
    loop {
        let is_known = shared.state.borrow().replica.head(table).is_some();
        asks = !is_known || is_watcher(&shared, asks);
        if !asks {
            sleep(WATCHER_LOOK).await;
            continue;
        }
        match poll(&shared, store.as_ref(), table).await {
            Ok(has_changed) => {
                shared.state.borrow_mut().record_store_success(now());
                if failures > 0 {
                    tracing::info!(table, failures, "the store answers again");
                }
                failures = 0;
                if has_changed {
                    sleep(SERIES_WAIT).await;
                }
            }
            Err(error) => {
                if failures == 0 {
                    tracing::warn!(table, %error, "the store does not answer");
                }
                metrics::counter!("cactusspur_store_failures_total", "table" => table).increment(1);
                shared.state.borrow_mut().record_store_failure(now());
                let wait_ms = (MIN_BACK_OFF_MS << failures.min(6)).min(MAX_BACK_OFF_MS);
                failures += 1;
                shared.peers.pull_from_first_available(&shared).await;
                sleep(Duration::from_millis(wait_ms)).await;
            }
        }
    }
}

/// Whether this gateway asks the store itself. Only some of each failure domain do; the others
/// hear from them, and take their place when they fall silent. When too many ask, those that come
/// last in an order which all agree on stop.
fn is_watcher(shared: &Shared, asks: bool) -> bool {
    let own = gateway_rank(&shared.settings.name, WATCHERS_KEY);
    let state = shared.state.borrow();
    let watching = state.peers.store_watchers(&shared.settings.domain, now());
    let enough = watching.filter(|name| !asks || gateway_rank(name, WATCHERS_KEY) > own);
    enough.count() < WATCHERS
}

/// Asks the store once. Gives back whether the table has changed.
async fn poll<S>(shared: &Rc<Shared>, store: &S, table: &str) -> Result<bool, StoreError>
where
    S: MetadataStore,
{
    let known = shared.state.borrow().replica.head(table);
    let Some(head) = known else {
        let whole = store.read_table(table).await?;
        replace(shared, whole);
        return Ok(false);
    };
    match store.changes(table, head, POLL_MS).await? {
        Changes::Rows { rows, head } => {
            let has_changed = !rows.is_empty();
            merge(shared, table, rows, head);
            Ok(has_changed)
        }
        Changes::HistoryTruncated => {
            tracing::info!(
                table,
                head,
                "the store has dropped its history; reading all"
            );
            let whole = store.read_table(table).await?;
            replace(shared, whole);
            Ok(true)
        }
    }
}

fn merge(shared: &Rc<Shared>, table: &str, rows: Vec<StoredRow>, head: u64) {
    let fresh = shared.state.borrow_mut().replica.merge(table, rows, head);
    apply(shared, table, &fresh);
}

/// Takes what a peer knows of a table in.
pub fn merge_peer_copy(shared: &Rc<Shared>, copy: TableCopy) {
    let fresh = shared
        .state
        .borrow_mut()
        .replica
        .merge(&copy.name, copy.rows, copy.head);
    apply(shared, &copy.name, &fresh);
}

/// Takes a whole table in.
fn replace(shared: &Rc<Shared>, whole: TableCopy) {
    let table = whole.name.clone();
    let fresh = shared.state.borrow_mut().replica.replace(whole);
    apply(shared, &table, &fresh);
}

fn apply(shared: &Rc<Shared>, table: &str, fresh: &[StoredRow]) {
    if fresh.is_empty() {
        return;
    }
    let changed =
        shared
            .state
            .borrow_mut()
            .apply_rows(shared.protocol.as_ref(), table, fresh, now());
    shared.peers.announce_in_domain(shared);
    if changed {
        shared.weights_changed.notify_one();
    }
    if shared.state.borrow().has_vanished_backends() {
        ntex::rt::spawn(remove_vanished_backends(Rc::clone(shared)));
    }
}

async fn remove_vanished_backends(shared: Rc<Shared>) {
    // Long enough for the respite of an entry that has just vanished to end.
    const ROUNDS: u32 = 10;
    for _ in 0..ROUNDS {
        sleep(VANISHED_POLL).await;
        if shared.state.borrow_mut().remove_vanished_backends(now()) {
            shared.weights_changed.notify_one();
        }
    }
}
