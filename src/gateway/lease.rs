//! The lease on orders to engines, stored as a row in the platform's store.
//!
//! The row holds the holder's name and the end of its term by the store's clock. Of concurrent
//! conditional writes only one succeeds. The store's era and its version of the row make up the fencing
//! number, so that it increases with every term, also when the store returns from a backup and assigns
//! versions again. Another gateway can take over only after the end of the term plus
//! the pause that the deployment requires between orders of two holders.

use {
    super::{
        clock::now_with_suspension,
        replica::StoreVersion,
        store::{MetadataStore, StoreError, WriteResult},
    },
    cactusspur_core::{DurationMs, FencingNumber, TimeMs, Verdict},
    serde::{Deserialize, Serialize},
};

/// The table that holds the lease row.
const TABLE: &str = "leases";
/// The key of the lease row.
const KEY: &str = "orders";
/// The length of a term. It is short, so that another gateway can take over soon after a holder
/// fails.
pub const TERM_MS: DurationMs = DurationMs(1_500);
/// How long before the end of its term the holder stops: the time that an order may take to arrive. One
/// that takes longer is reset.
const SAFETY_MARGIN_MS: DurationMs = DurationMs(300);
/// The remaining time of a term below which the holder renews it.
pub const RENEW_BEFORE_MS: DurationMs = DurationMs(700);

/// Versions of one era in a fencing number.
const VERSIONS_PER_ERA: u64 = 1 << 32;
/// The era of a store that has never returned from a backup, or doesn't tell. A store may begin with a
/// higher one.
const FIRST_ERA: u64 = 0;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    holder: String,
    ends_at_store_ms: u64,
    /// The era in which the row was written. A later one may have another clock, and other terms since.
    #[serde(default)]
    era: u64,
}

/// The gateway that acquires the lease, and what it knows.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The gateway's name.
    pub name: &'a str,
    /// The minimum time between orders of two holders.
    pub pause_ms: DurationMs,
    /// The store's era as far as known, and the time for which it has been known.
    pub known_era: u64,
    /// The time since `known_era` was first seen.
    pub era_age_ms: DurationMs,
}

/// Returns how long to wait before the lease may be acquired under a row of an earlier era, or without
/// a row. A holder whose term was lost with a backup may still send orders until its end.
#[must_use]
pub fn wait_after_backup_ms(candidate: &Candidate<'_>, era: u64) -> DurationMs {
    if era == FIRST_ERA {
        return DurationMs(0);
    }
    let longest_ms = TERM_MS + candidate.pause_ms;
    if candidate.known_era < era {
        return longest_ms;
    }
    longest_ms.saturating_sub(candidate.era_age_ms)
}

/// The fencing number of a term whose row has this version.
#[must_use]
pub const fn fencing_number(version: StoreVersion) -> FencingNumber {
    FencingNumber(version.era * VERSIONS_PER_ERA + version.version)
}

/// A term that this gateway holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The fencing number of orders in this term.
    pub fencing: FencingNumber,
    row_version: StoreVersion,
    /// The time at which the holder must stop, by the clock that includes suspension.
    ends_at_ms: TimeMs,
    asked_at_ms: TimeMs,
    store_now_ms: TimeMs,
}

impl Term {
    /// The time for which the holder may still use the term.
    #[must_use]
    pub fn remaining_ms(&self) -> DurationMs {
        self.ends_at_ms.since(now_with_suspension())
    }

    /// The time for which an order of this term may still arrive.
    #[must_use]
    pub fn arrival_limit_ms(&self) -> DurationMs {
        self.remaining_ms() + SAFETY_MARGIN_MS
    }
}

/// The result of an attempt to acquire or renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// This gateway holds the lease.
    Held(Term),
    /// Another gateway holds the lease, or held it until recently.
    Taken {
        /// The wait before the next attempt.
        retry_after_ms: DurationMs,
    },
}

/// Tries to acquire the lease.
///
/// # Errors
///
/// Fails if a call to the store fails. A write that may have succeeded doesn't count as held.
pub async fn acquire<S>(store: &S, candidate: &Candidate<'_>) -> Result<Acquired, StoreError>
where
    S: MetadataStore,
{
    let read = store.read_row(TABLE, KEY).await?;
    let (expected_version, row) = match &read.row {
        Some(stored) => (stored.version.version, decode(stored.value.as_deref())?),
        None => (0, None),
    };
    let wait_ms = match row {
        Some(row) if row.era == read.era => {
            let available_at_ms = TimeMs(row.ends_at_store_ms).after(candidate.pause_ms);
            if row.holder == candidate.name {
                DurationMs(0)
            } else {
                available_at_ms.since(read.store_now_ms)
            }
        }
        _ => wait_after_backup_ms(candidate, read.era),
    };
    if wait_ms > DurationMs(0) {
        return Ok(Acquired::Taken {
            retry_after_ms: wait_ms,
        });
    }
    let asked_at_ms = now_with_suspension();
    // The store read its clock before `asked_at_ms`. The term that this process uses is shorter by
    // `SAFETY_MARGIN_MS`, so that the written term ends later.
    let ends_at_store_ms = read.store_now_ms.after(TERM_MS);
    let expected = StoreVersion {
        era: read.era,
        version: expected_version,
    };
    write(store, candidate, expected, asked_at_ms, ends_at_store_ms).await
}

/// Renews a term with a single call to the store.
///
/// # Errors
///
/// Fails if the call to the store fails. A write that may have succeeded doesn't count as held.
pub async fn renew<S>(
    store: &S,
    candidate: &Candidate<'_>,
    term: &Term,
) -> Result<Acquired, StoreError>
where
    S: MetadataStore,
{
    let asked_at_ms = now_with_suspension();
    // The store read its clock after the last write was requested, so the sum is no earlier than
    // the store's current time.
    let elapsed_ms = asked_at_ms.since(term.asked_at_ms);
    let ends_at_store_ms = term.store_now_ms.after(elapsed_ms).after(TERM_MS);
    let expected = term.row_version;
    write(store, candidate, expected, asked_at_ms, ends_at_store_ms).await
}

async fn write<S>(
    store: &S,
    candidate: &Candidate<'_>,
    expected: StoreVersion,
    asked_at_ms: TimeMs,
    ends_at_store_ms: TimeMs,
) -> Result<Acquired, StoreError>
where
    S: MetadataStore,
{
    let row = LeaseRow {
        holder: candidate.name.to_owned(),
        ends_at_store_ms: ends_at_store_ms.0,
        era: expected.era,
    };
    let value = serde_json::to_vec(&row).map_err(|error| not_run_error(error.to_string()))?;
    match store
        .write_row(TABLE, KEY, expected.version, value.into())
        .await?
    {
        // The row that was overwritten is another one than expected, with the same version by chance.
        // Its holder can't renew it, and others wait for the end of the written term.
        WriteResult::Done { version, .. } if version.era != expected.era => Ok(Acquired::Taken {
            retry_after_ms: TERM_MS + candidate.pause_ms,
        }),
        WriteResult::Done {
            version,
            store_now_ms,
        } => Ok(Acquired::Held(Term {
            fencing: fencing_number(version),
            row_version: version,
            ends_at_ms: asked_at_ms.after(TERM_MS.saturating_sub(SAFETY_MARGIN_MS)),
            asked_at_ms,
            store_now_ms,
        })),
        WriteResult::Conflict => Ok(Acquired::Taken {
            retry_after_ms: candidate.pause_ms,
        }),
    }
}

fn decode(value: Option<&[u8]>) -> Result<Option<LeaseRow>, StoreError> {
    let Some(value) = value else {
        return Ok(None);
    };
    match serde_json::from_slice(value) {
        Ok(row) => Ok(Some(row)),
        Err(error) => Err(not_run_error(format!("invalid lease row: {error}"))),
    }
}

fn not_run_error(reason: String) -> StoreError {
    StoreError {
        reason,
        verdict: Verdict::NotRun,
    }
}
