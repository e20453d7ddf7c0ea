//! Keeps the copies of the store's tables up to date by long polling.

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

/// How long the store may hold a poll. A longer delay means that the store or the connection to it
/// has failed silently.
const POLL_MS: DurationMs = DurationMs(3_000);
/// How long a watcher waits after a change before the next poll. Changes come in bursts, and every
/// call is charged for.
const CHANGE_DELAY: Duration = Duration::from_millis(250);
/// Gateways of a failure domain that poll the store: one, and a second in case the first fails.
const MAX_WATCHERS: usize = 2;
/// The key of the order in which gateways become watchers.
const WATCHER_ORDER_KEY: u64 = 0;
/// How often a gateway that isn't a watcher checks whether it should become one.
const WATCHER_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// The wait after the first failure; it doubles with each further one, since every call is charged
/// for.
const MIN_RETRY_DELAY_MS: u64 = 100;
/// The longest wait after a failure. It counts towards the time within which a change must be in
/// force once the store answers again.
const MAX_RETRY_DELAY_MS: u64 = 800;
/// The table in which gateways register their addresses.
const GATEWAYS_TABLE: &str = "gateways";
/// The waits before a gateway registers its address and reads the others' addresses. It does so
/// twice: when all gateways start at once, the first read may miss some of them.
const REGISTER_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(3)];
/// The wait before a failed registration is retried. It may be long, since peers also learn of each
/// other by notices.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How often backend servers whose rows vanished in an outage are checked.
const VANISHED_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Starts the tasks that watch all tables and register this gateway.
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

/// Registers this gateway's address in the store and adds the registered peers. Gateways that start
/// later are learned of from their notices.
async fn register<S>(shared: Rc<Shared>, store: Rc<S>)
where
    S: MetadataStore,
{
    for wait in REGISTER_DELAYS {
        sleep(wait).await;
        while let Err(error) = register_once(&shared, store.as_ref()).await {
            tracing::debug!(%error, "failed to register this gateway");
            sleep(REGISTER_RETRY_DELAY).await;
        }
        shared.peers.announce(&shared);
    }
}

async fn register_once<S>(shared: &Rc<Shared>, store: &S) -> Result<(), StoreError>
where
    S: MetadataStore,
{
    let listed = store.read_table(GATEWAYS_TABLE).await?;
    let own_address = shared.settings.peers_address;
    let mut known = None;
    for row in &listed.rows {
        let value = row.value.as_deref().unwrap_or_default();
        let Some(address) = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok()) else {
            tracing::warn!(key = row.key, "invalid address in a gateway's row");
            continue;
        };
        if row.key == shared.settings.name {
            known = Some((row.version, address));
        } else if address != own_address {
            shared.state.borrow_mut().peers.add(address);
        }
    }
    if known.is_some_and(|(_, address)| address == own_address) {
        return Ok(());
    }
    let expected = known.map_or(0, |(version, _)| version);
    let value = own_address.to_string().into();
    let name = &shared.settings.name;
    match store
        .write_row(GATEWAYS_TABLE, name, expected, value)
        .await?
    {
        WriteResult::Done { version, .. } => tracing::info!(version, "registered in the store"),
        // Either an earlier write succeeded and its response was lost, or the row holds an earlier
        // address of this VM. The second registration reads the table again to find out.
        WriteResult::Conflict => tracing::info!(expected, "the registration was changed"),
    }
    Ok(())
}

async fn watch<S>(shared: Rc<Shared>, store: Rc<S>, table: &'static str)
where
    S: MetadataStore,
{
    let mut failures: u32 = 0;
    let mut is_polling = true;
    loop {
        let is_known = shared.state.borrow().replica.head(table).is_some();
        is_polling = !is_known || is_watcher(&shared, is_polling);
        if !is_polling {
            sleep(WATCHER_CHECK_PERIOD).await;
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
                    sleep(CHANGE_DELAY).await;
                }
            }
            Err(error) => {
                if failures == 0 {
                    tracing::warn!(table, %error, "the store does not answer");
                }
                metrics::counter!("cactusspur_store_failures_total", "table" => table).increment(1);
                shared.state.borrow_mut().record_store_failure(now());
                let wait_ms = (MIN_RETRY_DELAY_MS << failures.min(6)).min(MAX_RETRY_DELAY_MS);
                failures += 1;
                shared.peers.pull_from_first_available(&shared).await;
                sleep(Duration::from_millis(wait_ms)).await;
            }
        }
    }
}

/// Returns whether this gateway polls the store itself. Only [`MAX_WATCHERS`] of each failure domain
/// do. The others pull changes from them, and replace them when they become silent. When too many
/// poll, those that rank last in the common order stop.
fn is_watcher(shared: &Shared, is_polling: bool) -> bool {
    let own_rank = gateway_rank(&shared.settings.name, WATCHER_ORDER_KEY);
    let state = shared.state.borrow();
    let watchers = state.peers.store_watchers(&shared.settings.domain, now());
    let watchers_ahead =
        watchers.filter(|name| !is_polling || gateway_rank(name, WATCHER_ORDER_KEY) > own_rank);
    watchers_ahead.count() < MAX_WATCHERS
}

/// Polls the store once. Returns whether the table has changed.
async fn poll<S>(shared: &Rc<Shared>, store: &S, table: &str) -> Result<bool, StoreError>
where
    S: MetadataStore,
{
    let known = shared.state.borrow().replica.head(table);
    let Some(head) = known else {
        let snapshot = store.read_table(table).await?;
        replace(shared, snapshot);
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
                "the store has truncated its history; reading the whole table"
            );
            let snapshot = store.read_table(table).await?;
            replace(shared, snapshot);
            Ok(true)
        }
    }
}

fn merge(shared: &Rc<Shared>, table: &str, rows: Vec<StoredRow>, head: u64) {
    let new_rows = shared.state.borrow_mut().replica.merge(table, rows, head);
    apply(shared, table, &new_rows);
}

/// Merges a peer's copy of a table into the local one.
pub fn merge_peer_copy(shared: &Rc<Shared>, copy: TableCopy) {
    let new_rows = shared
        .state
        .borrow_mut()
        .replica
        .merge(&copy.name, copy.rows, copy.head);
    apply(shared, &copy.name, &new_rows);
}

/// Replaces the local copy with a snapshot of the whole table.
fn replace(shared: &Rc<Shared>, snapshot: TableCopy) {
    let table = snapshot.name.clone();
    let new_rows = shared.state.borrow_mut().replica.replace(snapshot);
    apply(shared, &table, &new_rows);
}

fn apply(shared: &Rc<Shared>, table: &str, new_rows: &[StoredRow]) {
    if new_rows.is_empty() {
        return;
    }
    let changed =
        shared
            .state
            .borrow_mut()
            .apply_rows(shared.protocol.as_ref(), table, new_rows, now());
    shared.peers.announce_in_domain(shared);
    if changed {
        shared.weights_changed.notify_one();
    }
    if shared.state.borrow().has_vanished_backends() {
        ntex::rt::spawn(remove_vanished_backends(Rc::clone(shared)));
    }
}

async fn remove_vanished_backends(shared: Rc<Shared>) {
    // Enough checks to cover the grace period of a row that has just vanished.
    const MAX_CHECKS: u32 = 10;
    for _ in 0..MAX_CHECKS {
        sleep(VANISHED_CHECK_PERIOD).await;
        if shared.state.borrow_mut().remove_vanished_backends(now()) {
            shared.weights_changed.notify_one();
        }
    }
}
