//! The lease on orders to engines, as a row in the platform's store.
//!
//! The row names the holder and the end of its term by the store's clock. Only one write under a
//! condition wins. The store's version of the row is the fencing number, so it rises with every
//! term. Another gateway takes over only after the end of the term and the pause that the
//! deployment asks for between orders of two holders.

use {
    super::{
        clock::now_with_suspension,
        store::{MetadataStore, StoreError, WriteResult},
    },
    cactusspur_core::{DurationMs, FencingNumber, TimeMs, Verdict},
    serde::{Deserialize, Serialize},
};

/// The table and the key of the row.
const TABLE: &str = "leases";
const KEY: &str = "orders";
/// The length of a term. Short, so that another can take over in time when a holder dies.
pub const TERM_MS: DurationMs = DurationMs(1_500);
/// How much sooner than its term the holder stops: what an order may take to arrive.
const MARGIN_MS: DurationMs = DurationMs(300);
/// How much of its term is left when the holder renews it.
pub const RENEW_BEFORE_MS: DurationMs = DurationMs(700);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    holder: String,
    ends_at_store_ms: u64,
}

/// A term that this gateway holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// When the holder must have stopped, by the clock that counts suspension.
    ends_at_ms: TimeMs,
    asked_at_ms: TimeMs,
    store_now_ms: TimeMs,
}

impl Term {
    /// How long it may still be used.
    #[must_use]
    pub fn remaining_ms(&self) -> DurationMs {
        self.ends_at_ms.since(now_with_suspension())
    }
}

/// What came of asking for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// This gateway holds it.
    Held(Term),
    /// Another does, or did until a moment ago; it is worth asking again after this time.
    Taken {
        /// The time to wait.
        retry_after_ms: DurationMs,
    },
}

/// Asks for the lease.
///
/// # Errors
///
/// When the store can't be asked. A write that may have been done is not counted as held.
pub async fn acquire<S>(
    store: &S,
    holder: &str,
    pause_ms: DurationMs,
) -> Result<Acquired, StoreError>
where
    S: MetadataStore,
{
    let read = store.read_row(TABLE, KEY).await?;
    let (expected, row) = match &read.row {
        Some(stored) => (stored.version, decode(stored.value.as_deref())?),
        None => (0, None),
    };
    if let Some(row) = row.filter(|row| row.holder != holder) {
        let free_at = TimeMs(row.ends_at_store_ms).after(pause_ms);
        let wait = free_at.since(read.store_now_ms);
        if wait > DurationMs(0) {
            return Ok(Acquired::Taken {
                retry_after_ms: wait,
            });
        }
    }
    let asked_at_ms = now_with_suspension();
    // The store has read its clock before this process did: the term that is written ends later
    // than the one that is used.
    let ends_at_store_ms = read.store_now_ms.after(TERM_MS);
    write(
        store,
        holder,
        expected,
        asked_at_ms,
        ends_at_store_ms,
        pause_ms,
    )
    .await
}

/// Renews a term, with one call.
///
/// # Errors
///
/// When the store can't be asked. A write that may have been done is not counted as held.
pub async fn renew<S>(
    store: &S,
    holder: &str,
    term: &Term,
    pause_ms: DurationMs,
) -> Result<Acquired, StoreError>
where
    S: MetadataStore,
{
    let asked_at_ms = now_with_suspension();
    // The store told its clock after the last write was asked for, so this is no earlier than
    // what its clock shows now.
    let passed = asked_at_ms.since(term.asked_at_ms);
    let ends_at_store_ms = term.store_now_ms.after(passed).after(TERM_MS);
    let expected = term.fencing.0;
    write(
        store,
        holder,
        expected,
        asked_at_ms,
        ends_at_store_ms,
        pause_ms,
    )
    .await
}

async fn write<S>(
    store: &S,
    holder: &str,
    expected: u64,
    asked_at_ms: TimeMs,
    ends_at_store_ms: TimeMs,
    pause_ms: DurationMs,
) -> Result<Acquired, StoreError>
where
    S: MetadataStore,
{
    let row = LeaseRow {
        holder: holder.to_owned(),
        ends_at_store_ms: ends_at_store_ms.0,
    };
    let value = serde_json::to_vec(&row).map_err(|error| not_run(error.to_string()))?;
    match store.write_row(TABLE, KEY, expected, value.into()).await? {
        WriteResult::Done {
            version,
            store_now_ms,
        } => Ok(Acquired::Held(Term {
            fencing: FencingNumber(version),
            ends_at_ms: asked_at_ms.after(TERM_MS.saturating_sub(MARGIN_MS)),
            asked_at_ms,
            store_now_ms,
        })),
        WriteResult::Conflict => Ok(Acquired::Taken {
            retry_after_ms: pause_ms,
        }),
    }
}

fn decode(value: Option<&[u8]>) -> Result<Option<LeaseRow>, StoreError> {
    let Some(value) = value else {
        return Ok(None);
    };
    match serde_json::from_slice(value) {
        Ok(row) => Ok(Some(row)),
        Err(error) => Err(not_run(format!("the row of the lease: {error}"))),
    }
}

fn not_run(reason: String) -> StoreError {
    StoreError {
        reason,
        verdict: Verdict::NotRun,
    }
}
