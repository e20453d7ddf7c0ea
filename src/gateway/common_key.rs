//! The key that gateways take from the store when they can't read each other.
//!
//! Without a shared key in the settings, each gateway seals messages with one that the platform's adapter derives
//! from the store's address. Gateways that reach the store at different addresses then share none. They are those
//! of one deployment if they share the store, so that a key in the store tells them from others. It is written
//! once, by a gateway that reads no other one.

use {
    super::{
        Shared,
        clock::now,
        store::{MetadataStore, StoreError, WriteResult},
        watch::GATEWAYS_TABLE,
    },
    crate::peer::{PeerError, PeerKey},
    cactusspur_core::{DurationMs, TimeMs},
    derive_more::{Display, From},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The key of the row with the common key, beside those of the gateways.
pub const KEY_ROW: &str = "peers/shared-key";
/// The time between two checks whether other gateways are read.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// How long a starting gateway may read no other one.
const START_MS: DurationMs = DurationMs(2_000);
/// The least time between two reads of the table, after messages that can't be read.
const READ_INTERVAL_MS: DurationMs = DurationMs(10_000);

/// Why there is no common key.
#[derive(Debug, Display, From)]
enum CommonKeyError {
    #[display("the store: {_0}")]
    Store(StoreError),
    #[display("the key in the store is of no use: {_0}")]
    Key(PeerError),
    #[display("another gateway has just written a key")]
    Conflict,
}

/// Starts the task that notices that no other gateway is read.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>)
where
    S: MetadataStore,
{
    ntex::rt::spawn(watch(Rc::clone(shared), Rc::clone(store)));
}

async fn watch<S>(shared: Rc<Shared>, store: Rc<S>)
where
    S: MetadataStore,
{
    let mut was_alone = false;
    let mut may_read_at_ms = TimeMs(0);
    loop {
        sleep(CHECK_PERIOD).await;
        let unreadable = shared.peers.take_rejected();
        let known = unread_peers(&shared);
        let is_alone = known > 0;
        if is_alone != was_alone {
            report(known, unreadable);
            was_alone = is_alone;
        }
        let is_wanted = is_alone || unreadable > 0;
        let keys = shared.peers.keys();
        if !is_wanted || !shared.settings.has_common_key || keys.has_common() {
            continue;
        }
        if now() < may_read_at_ms {
            continue;
        }
        may_read_at_ms = now().after(READ_INTERVAL_MS);
        match read_or_write(store.as_ref()).await {
            Ok(key) => {
                keys.set_common(key);
                tracing::info!(
                    "gateways that share no key of their own use one that lies in the store"
                );
                shared.peers.join(&shared);
            }
            Err(error) => {
                tracing::warn!(%error, "no common key");
                if matches!(error, CommonKeyError::Conflict) {
                    may_read_at_ms = now();
                }
            }
        }
    }
}

/// The number of other gateways that are known, if none of them is heard, and 0 otherwise.
pub fn unread_peers(shared: &Shared) -> usize {
    let now = now();
    let state = shared.state.borrow();
    if now.since(state.started_at_ms) < START_MS || state.peers.has_running(now) {
        return 0;
    }
    state.peers.addresses().count()
}

fn report(known: usize, unreadable: u64) {
    metrics::gauge!("cactusspur_reads_no_peer").set(if known > 0 { 1.0 } else { 0.0 });
    if known > 0 {
        tracing::warn!(
            known,
            unreadable,
            "reads no other gateway: changes, budgets and quarantines are not shared"
        );
    } else {
        tracing::info!("reads other gateways");
    }
}

async fn read_or_write<S>(store: &S) -> Result<PeerKey, CommonKeyError>
where
    S: MetadataStore,
{
    let listed = store.read_table(GATEWAYS_TABLE).await?;
    let row = listed.rows.into_iter().find(|row| row.key == KEY_ROW);
    if let Some(value) = row.and_then(|row| row.value) {
        return Ok(PeerKey::derive(&String::from_utf8_lossy(&value))?);
    }
    let random = [rand::random::<u128>(), rand::random::<u128>()];
    let text = random.map(|part| format!("{part:032x}")).concat();
    let key = PeerKey::derive(&text)?;
    match store
        .write_row(GATEWAYS_TABLE, KEY_ROW, 0, text.into())
        .await?
    {
        WriteResult::Done { .. } => Ok(key),
        WriteResult::Conflict => Err(CommonKeyError::Conflict),
    }
}
