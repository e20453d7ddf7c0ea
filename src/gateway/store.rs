//! The interface of a gateway to the platform's store.

use {
    super::replica::{StoreVersion, StoredRow, TableCopy},
    bytes::Bytes,
    cactusspur_core::{DurationMs, TimeMs, Verdict},
    derive_more::{Display, Error},
};

/// A failed call to the store.
#[derive(Clone, Debug, Display, Error)]
#[display("{reason} ({verdict})")]
pub struct StoreError {
    /// A description of the failure.
    pub reason: String,
    /// Whether the store may have executed the call.
    pub verdict: Verdict,
}

/// The changes of a table since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The rows that have changed.
    Rows {
        /// The changed rows, including removed ones.
        rows: Vec<StoredRow>,
        /// The version of the store up to which they are complete.
        head: StoreVersion,
        /// The store's monotonic clock when it answered.
        store_now_ms: TimeMs,
    },
    /// The store no longer has the changes since that version, or has returned from a backup; the whole
    /// table must be read.
    HistoryTruncated,
}

/// The result of reading one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRow {
    /// The row; `None` if it doesn't exist.
    pub row: Option<StoredRow>,
    /// The era of the store.
    pub era: u64,
    /// The store's monotonic clock when it answered.
    pub store_now_ms: TimeMs,
}

/// The result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written.
    Done {
        /// The new version of the row.
        version: StoreVersion,
        /// The store's monotonic clock when it answered.
        store_now_ms: TimeMs,
    },
    /// The row had another version than the expected one.
    Conflict,
}

/// The platform's store.
pub trait MetadataStore: 'static {
    /// Reads a whole table.
    fn read_table(&self, table: &str) -> impl Future<Output = Result<TableCopy, StoreError>>;

    /// Waits up to `wait_ms` for changes of a table after the version `after`. Fails if there is no
    /// answer within `answer_within_ms`, or if the answer is one of an earlier era.
    fn changes(
        &self,
        table: &str,
        after: StoreVersion,
        wait_ms: DurationMs,
        answer_within_ms: DurationMs,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads one row of a table that the gateways write.
    fn read_row(&self, table: &str, key: &str)
    -> impl Future<Output = Result<ReadRow, StoreError>>;

    /// Writes one row of a table that the gateways write, if it has the expected version. Version 0
    /// means that the row must not exist.
    fn write_row(
        &self,
        table: &str,
        key: &str,
        expected: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<WriteResult, StoreError>>;
}
