//! Keeps the copies of the store's tables up to date by long polling.

use {
    super::{
        Shared,
        clock::now,
        common_key::KEY_ROW,
        heartbeats,
        peer_table::Peers,
        quarantine,
        replica::{StoreVersion, TableChanges, TableCopy},
        store::{Changes, MetadataStore, StoreError, WriteResult},
        store_polls::{NextCall, StoreCall},
        watch_duty::Duty,
    },
    cactusspur_core::{
        DurationMs, TimeMs,
        gateway::{AgeSource, AnnouncedAt},
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long a watcher waits after a change before the next poll. Changes come in bursts, and every
/// call is charged for.
const CHANGE_DELAY_MS: DurationMs = DurationMs(250);
/// The same in a large fleet, where some row changes nearly always and changes must be in force
/// within several seconds.
const LARGE_CHANGE_DELAY_MS: DurationMs = DurationMs(500);
/// How often a gateway that waits for a peer's copy of a table checks whether to go on waiting.
const UNKNOWN_CHECK_PERIOD_MS: DurationMs = DurationMs(100);
/// The table in which gateways register their addresses.
pub const GATEWAYS_TABLE: &str = "gateways";
/// The waits before a gateway registers its address and reads the others' addresses. It does so
/// twice: when all gateways start at once, the first read may miss some of them.
const REGISTER_DELAYS: [Duration; 2] = [JOIN_WAIT, Duration::from_secs(3)];
/// How long a starting gateway waits for the answers of its seeds before it calls the store: in a
/// large fleet only a few gateways do.
pub const JOIN_WAIT: Duration = Duration::from_millis(200);
/// How long a gateway of a large fleet waits for a table from its peers before it reads the store
/// itself.
const PEER_TABLE_WAIT_MS: DurationMs = DurationMs(1_500);
/// The further wait for each member that comes before it, so that the members of a domain don't read
/// the store at the same time.
const PEER_TABLE_STAGGER_MS: DurationMs = DurationMs(40);
/// Members of each failure domain that register in a large fleet, where gateways find each other
/// through their seeds.
const MAX_REGISTERED: usize = 3;
/// The wait before a failed registration is retried. It may be long, since peers also learn of each
/// other by notices.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The longest wait before a gateway registers again after the store has returned from a backup. It is
/// drawn, so that gateways don't write at the same moment.
const MAX_REGISTER_AGAIN_DELAY_MS: u64 = 1_500;
/// How often backend servers whose rows vanished in an outage are checked.
const VANISHED_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Starts the tasks that watch all tables and register this gateway.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>)
where
    S: MetadataStore,
{
    let tables = shared.protocol.watched_tables();
    shared.state.borrow_mut().set_watched_tables(tables);
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
        if !should_register(&shared) {
            continue;
        }
        register_until_done(&shared, store.as_ref()).await;
    }
    let mut registered_era = shared.state.borrow().replica.era();
    loop {
        let restored = shared.store_restored.notified();
        let era = shared.state.borrow().replica.era();
        if era == registered_era {
            restored.await;
            continue;
        }
        // The registration may be lost with the backup.
        sleep(Duration::from_millis(rand::random_range(
            0..MAX_REGISTER_AGAIN_DELAY_MS,
        )))
        .await;
        if should_register(&shared) {
            register_until_done(&shared, store.as_ref()).await;
        }
        registered_era = era;
    }
}

async fn register_until_done<S>(shared: &Rc<Shared>, store: &S)
where
    S: MetadataStore,
{
    while let Err(error) = register_once(shared, store).await {
        tracing::debug!(%error, "failed to register this gateway");
        sleep(REGISTER_RETRY_DELAY).await;
    }
    shared.peers.announce(shared);
}

/// Whether this gateway is one of those that write their own state to the store.
pub fn should_register(shared: &Shared) -> bool {
    let now = now();
    let state = shared.state.borrow();
    !state.peers.is_large_fleet(now)
        || !state.peers.has_running(now)
        || state.peers.domain_position(now) < MAX_REGISTERED
}

async fn register_once<S>(shared: &Rc<Shared>, store: &S) -> Result<(), StoreError>
where
    S: MetadataStore,
{
    let listed = store.read_table(GATEWAYS_TABLE).await?;
    if listed.rows.is_empty() {
        shared.state.borrow_mut().is_first_gateway = true;
        shared.servers_listed.notify_one();
    }
    let own_address = shared.settings.peers_address;
    let mut known = None;
    for row in listed.rows.iter().filter(|row| row.key != KEY_ROW) {
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
    let expected = known.map_or(0, |(version, _): (StoreVersion, _)| version.version);
    let value = own_address.to_string().into();
    let name = &shared.settings.name;
    match store
        .write_row(GATEWAYS_TABLE, name, expected, value)
        .await?
    {
        WriteResult::Done { version, .. } => tracing::info!(%version, "registered in the store"),
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
    sleep(JOIN_WAIT).await;
    let started_at_ms = now();
    loop {
        let pollers_changed = shared.pollers_changed.notified();
        let is_known = shared.state.borrow().replica.head(table).is_some();
        if let Duty::Wait(wait_ms) = next_duty(&shared, is_known, started_at_ms) {
            // Times out unless another gateway has stopped polling.
            let _ = timeout(Duration::from_millis(wait_ms.0), pollers_changed).await;
            continue;
        }
        let next = shared
            .state
            .borrow_mut()
            .store_polls
            .next_call(table, rand::random(), now());
        let call = match next {
            NextCall::Now(call) => call,
            NextCall::Wait(wait_ms) => {
                // Times out unless the store has answered a call for another table.
                let answered = shared.store_answers.notified();
                let _ = timeout(Duration::from_millis(wait_ms.0), answered).await;
                continue;
            }
        };
        let called_at_ms = now();
        let result = tokio::select! {
            result = poll(&shared, store.as_ref(), table, call) => result,
            () = superseded(&shared, table, call) => {
                tracing::debug!(table, waited_ms = now().since(called_at_ms).0, "a poll is made again");
                continue;
            }
        };
        match result {
            Ok(has_changed) => record_answer(&shared, table, call, has_changed),
            Err(error) => {
                record_failure(&shared, table, call, called_at_ms, &error);
                // A gateway that has tables learns of newer ones from notices.
                if !is_known {
                    shared.peers.pull_from_some(&shared);
                }
            }
        }
    }
}

/// Waits until a call in progress should be given up, since the store has answered a later one after
/// a failure.
async fn superseded(shared: &Shared, table: &str, call: StoreCall) {
    loop {
        let answered = shared.store_answers.notified();
        if shared.state.borrow().store_polls.is_superseded(table, call) {
            return;
        }
        answered.await;
    }
}

fn record_answer(shared: &Shared, table: &str, call: StoreCall, has_changed: bool) {
    let now = now();
    let mut state = shared.state.borrow_mut();
    let silent_ms = state.store_age_ms(now);
    state.record_store_success(now);
    let pause_ms = match (has_changed, state.peers.is_large_fleet(now)) {
        (false, _) => DurationMs(0),
        (true, false) => CHANGE_DELAY_MS,
        (true, true) => LARGE_CHANGE_DELAY_MS,
    };
    let failures = state.store_polls.record_answer(table, call, pause_ms, now);
    let begins = state.watch_duty.record_answer();
    drop(state);
    if begins {
        tracing::info!(
            table,
            "polls the store, since no other gateway of the failure domain does"
        );
        metrics::counter!("cactusspur_store_poller_changes_total").increment(1);
        shared.pollers_changed.notify_waiters();
        heartbeats::send(shared);
    }
    if failures > 0 {
        shared.store_answers.notify_waiters();
        tracing::info!(
            table,
            failures,
            silent_ms = silent_ms.map(|silent_ms| silent_ms.0),
            "the store answers again"
        );
    }
}

fn record_failure(
    shared: &Shared,
    table: &'static str,
    call: StoreCall,
    called_at_ms: TimeMs,
    error: &StoreError,
) {
    let now = now();
    let mut state = shared.state.borrow_mut();
    state.record_store_failure(now);
    let failures = state.store_polls.record_failure(table, call, now);
    let mut stops = false;
    // A connection that was kept may have been closed while it was idle.
    if state.store_polls.is_failing() || !state.watch_duty.is_polling() {
        let members = state
            .peers
            .domain_pollers(state.store_polls.times(), now)
            .members;
        stops = state
            .watch_duty
            .record_failure(members, rand::random(), now);
    }
    drop(state);
    if stops {
        tracing::info!(table, "no longer polls the store, which does not answer");
        heartbeats::send(shared);
    }
    let waited_ms = now.since(called_at_ms).0;
    if failures == 1 {
        tracing::warn!(table, %error, waited_ms, "the store does not answer");
    } else {
        tracing::debug!(table, %error, waited_ms, failures, "the store still does not answer");
    }
    metrics::counter!("cactusspur_store_failures_total", "table" => table).increment(1);
}

/// What to do next for a table.
fn next_duty(shared: &Shared, is_known: bool, started_at_ms: TimeMs) -> Duty {
    let mut state = shared.state.borrow_mut();
    if is_known {
        return state.next_duty(rand::random(), now());
    }
    if should_read_unknown(&state.peers, started_at_ms, now()) {
        Duty::Poll
    } else {
        Duty::Wait(UNKNOWN_CHECK_PERIOD_MS)
    }
}

/// Whether a gateway without a copy of a table should read it from the store instead of waiting for a
/// peer's copy.
fn should_read_unknown(peers: &Peers, started_at_ms: TimeMs, now: TimeMs) -> bool {
    if !peers.is_large_fleet(now) {
        return true;
    }
    let position = peers.domain_position(now);
    let stagger_ms = PEER_TABLE_STAGGER_MS.0 * position as u64;
    position == 0 || now.since(started_at_ms) >= PEER_TABLE_WAIT_MS + DurationMs(stagger_ms)
}

/// Polls the store once. Returns whether the table has changed.
///
/// # Errors
///
/// When the store doesn't answer.
pub async fn poll<S>(
    shared: &Rc<Shared>,
    store: &S,
    table: &str,
    call: StoreCall,
) -> Result<bool, StoreError>
where
    S: MetadataStore,
{
    let known = shared.state.borrow().replica.head(table);
    let asked_at_ms = now();
    let Some(head) = known else {
        let snapshot = store.read_table(table).await?;
        merge_answer(shared, snapshot, asked_at_ms, None);
        return Ok(false);
    };
    match store
        .changes(table, head, call.hold_ms, call.answer_within_ms)
        .await?
    {
        Changes::Rows {
            rows,
            head,
            store_now_ms,
        } => {
            shared
                .state
                .borrow_mut()
                .store_polls
                .record_store_clock(store_now_ms, now());
            let has_changed = !rows.is_empty();
            let copy = TableCopy {
                name: table.to_owned(),
                head,
                complete_since: head,
                rows,
                is_whole: false,
            };
            // Without a change the store has held the call.
            let held_until_ms = asked_at_ms.after(call.hold_ms).min(now());
            let known_until_ms = if has_changed {
                asked_at_ms
            } else {
                held_until_ms
            };
            let held_since_ms = changed_not_before_ms(shared, call, asked_at_ms);
            merge_answer(shared, copy, known_until_ms, held_since_ms);
            Ok(has_changed)
        }
        Changes::HistoryTruncated => {
            tracing::info!(
                table,
                %head,
                "the store lacks the history since this version; reading the whole table"
            );
            let asked_at_ms = now();
            merge_answer(shared, store.read_table(table).await?, asked_at_ms, None);
            Ok(true)
        }
    }
}

/// Before when the rows that a poll brings had not changed: the store answers a poll that it holds once a row
/// changes. `None` if it may not have held the poll, or if the answer is later than a store in order gives it.
fn changed_not_before_ms(shared: &Shared, call: StoreCall, asked_at_ms: TimeMs) -> Option<TimeMs> {
    let now = now();
    let answer_ms = shared.state.borrow().store_polls.times().answer_ms(0);
    let waited_ms = now.since(asked_at_ms);
    let is_held = waited_ms > answer_ms && waited_ms <= call.hold_ms + answer_ms;
    is_held.then(|| TimeMs(now.0.saturating_sub(answer_ms.0)))
}

/// Merges an answer of the store, which tells the table as it was at `known_until_ms` or later. Its rows had not
/// changed before `changed_not_before_ms`, if that is known.
fn merge_answer(
    shared: &Rc<Shared>,
    copy: TableCopy,
    known_until_ms: TimeMs,
    changed_not_before_ms: Option<TimeMs>,
) {
    let table = copy.name.clone();
    let held = changed_not_before_ms.map(|at_ms| AnnouncedAt::NotBefore {
        at_ms,
        source: AgeSource::Store,
    });
    let unchanged_until =
        held.unwrap_or_else(|| shared.state.borrow().unchanged_until(&table, now()));
    merge_changes(shared, copy, unchanged_until, Source::Store);
    let mut state = shared.state.borrow_mut();
    state.record_known_until(&table, known_until_ms);
}

/// Merges a copy of a table that a peer sent into the local one.
pub fn merge(shared: &Rc<Shared>, copy: TableCopy, peer: SocketAddr) {
    let state = shared.state.borrow();
    let unchanged_until = state.unchanged_until(&copy.name, now());
    let source = if state.peers.is_in_domain(peer) {
        Source::Domain
    } else {
        Source::OtherDomain
    };
    drop(state);
    merge_changes(shared, copy, unchanged_until, source);
}

/// Where rows come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer of this failure domain.
    Domain,
    /// A peer of another failure domain.
    OtherDomain,
}

fn merge_changes(
    shared: &Rc<Shared>,
    copy: TableCopy,
    unchanged_until: AnnouncedAt,
    source: Source,
) {
    let table = copy.name.clone();
    let mut state = shared.state.borrow_mut();
    let changes = state.replica.apply(copy);
    let new_era = state.record_era(now());
    drop(state);
    if let Some(era) = new_era {
        tracing::warn!(table, era, "the store has returned from a backup");
        metrics::counter!("cactusspur_store_eras_total").increment(1);
        shared.store_restored.notify_waiters();
    }
    apply(shared, &table, &changes, unchanged_until, source);
}

fn apply(
    shared: &Rc<Shared>,
    table: &str,
    changes: &TableChanges,
    unchanged_until: AnnouncedAt,
    source: Source,
) {
    if changes.rows.is_empty() {
        return;
    }
    let has_effect = shared.state.borrow_mut().apply_rows(
        shared.protocol.as_ref(),
        table,
        &changes.rows,
        changes.is_restored,
        unchanged_until,
        now(),
    );
    tracing::debug!(table, ?source, rows = changes.rows.len(), "changes applied");
    heartbeats::announce_change(shared, source);
    if has_effect {
        shared.weights_changed.notify_one();
        shared.weights_ages_changed.notify_one();
        shared.servers_listed.notify_one();
        quarantine::confirm(shared);
    }
    if shared.state.borrow().has_vanished_backends() {
        ntex::rt::spawn(remove_vanished_backends(Rc::clone(shared)));
    }
}

async fn remove_vanished_backends(shared: Rc<Shared>) {
    // Enough checks to cover the grace period of a row that has just vanished or is doubtful.
    const MAX_CHECKS: u32 = 25;
    for _ in 0..MAX_CHECKS {
        sleep(VANISHED_CHECK_PERIOD).await;
        let mut state = shared.state.borrow_mut();
        let mut changed = state.remove_vanished_backends(now());
        changed |= state.apply_doubtful_rows(shared.protocol.as_ref(), now());
        let is_done = !state.has_vanished_backends();
        drop(state);
        if changed {
            shared.weights_changed.notify_one();
        }
        if is_done {
            return;
        }
    }
}
