//! Versioned rows with conditional writes.

use {
    cactusspur_core::VecMap,
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// A row as readers receive it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Row {
    pub(super) version: u64,
    pub(super) value: Value,
}

/// A row with its key.
#[derive(Debug, Serialize)]
pub(super) struct KeyedRow {
    pub(super) key: String,
    #[serde(flatten)]
    pub(super) row: Row,
}

/// A conditional write.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Write {
    /// The version to replace; none if the row must not exist.
    #[serde(default)]
    pub(super) expected: Option<u64>,
    /// The new value; null deletes the row.
    pub(super) value: Value,
}

/// The rows by key. A deleted row keeps its version and gets a null value, so that versions are
/// never reused.
#[derive(Debug, Default)]
pub(super) struct RowTable {
    rows: VecMap<String, Row>,
}

impl RowTable {
    pub(super) fn get(&self, key: &str) -> Option<&Row> {
        self.rows
            .get(&key.to_owned())
            .filter(|row| !row.value.is_null())
    }

    /// Returns up to `limit` rows whose key starts with `prefix`, ordered by key.
    pub(super) fn list(&self, prefix: &str, limit: usize) -> Vec<KeyedRow> {
        self.rows
            .iter()
            .filter(|(key, row)| key.starts_with(prefix) && !row.value.is_null())
            .take(limit)
            .map(|(key, row)| KeyedRow {
                key: key.clone(),
                row: row.clone(),
            })
            .collect()
    }

    /// Writes a row if its version is the expected one. Returns the new version, or the present row
    /// on a conflict.
    pub(super) fn put(&mut self, key: String, write: Write) -> Result<u64, Option<Row>> {
        let present = self.get(&key);
        if present.map(|row| row.version) != write.expected {
            return Err(present.cloned());
        }
        let version = self.rows.get(&key).map_or(0, |row| row.version) + 1;
        let value = write.value;
        self.rows.insert(key, Row { version, value });
        Ok(version)
    }
}
