//! What a gateway needs of the platform's store.

use {
    super::replica::{StoredRow, TableCopy},
    bytes::Bytes,
    cactusspur_core::{DurationMs, TimeMs, Verdict},
    derive_more::{Display, Error},
};

/// A call to the store that failed.
#[derive(Clone, Debug, Display, Error)]
#[display("{reason} ({verdict})")]
pub struct StoreError {
    /// What happened.
    pub reason: String,
    /// Whether the call may have been carried out.
    pub verdict: Verdict,
}

/// What has changed in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changed rows, complete up to a version.
    Rows {
        /// The rows.
        rows: Vec<StoredRow>,
        /// The version.
        head: u64,
    },
    /// The store no longer knows; the table must be read whole.
    HistoryTruncated,
}

/// A row that was read, with the store's own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRow {
    /// The row, if there is one.
    pub row: Option<StoredRow>,
    /// The store's steady clock at the time of the answer.
    pub store_now_ms: TimeMs,
}

/// What came of a write under a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It was done and made this version.
    Done {
        /// The version.
        version: u64,
        /// The store's steady clock at the time of the answer.
        store_now_ms: TimeMs,
    },
    /// The row had another version.
    Conflict,
}

/// The platform's store.
pub trait MetadataStore: 'static {
    /// Reads a whole table.
    fn read_table(&self, table: &str) -> impl Future<Output = Result<TableCopy, StoreError>>;

    /// Waits up to `wait_ms` for changes of a table after a version.
    fn changes(
        &self,
        table: &str,
        after: u64,
        wait_ms: DurationMs,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads one row of a table of the gateway's own.
    fn read_row(&self, table: &str, key: &str)
    -> impl Future<Output = Result<ReadRow, StoreError>>;

    /// Writes one row of a table of the gateway's own, if it has the expected version; zero means
    /// that there must be none.
    fn write_row(
        &self,
        table: &str,
        key: &str,
        expected: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<WriteResult, StoreError>>;
}
