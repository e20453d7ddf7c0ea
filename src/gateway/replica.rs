//! A copy of tables of the platform's store.
//!
//! Rows carry the store's own version, so copies from the store and from peers merge by taking
//! the higher one. A copy never goes back.

use {
    cactusspur_core::VecMap,
    serde::{Deserialize, Serialize},
};

/// A row as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Its key.
    pub key: String,
    /// The store's version of it.
    pub version: u64,
    /// Its value; none when it was removed.
    pub value: Option<Vec<u8>>,
}

/// A whole table as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCopy {
    /// The table's name.
    pub name: String,
    /// The store's version up to which the copy is complete.
    pub head: u64,
    /// Its rows, or those that have changed since a version that the reader knows.
    pub rows: Vec<StoredRow>,
}

#[derive(Debug, Default)]
struct Copy {
    head: Option<u64>,
    rows: VecMap<String, StoredRow>,
}

/// Copies of the tables that a gateway watches.
#[derive(Debug, Default)]
pub struct Replica {
    tables: VecMap<String, Copy>,
}

impl Replica {
    /// The version of the store up to which a table is known; none before it was read once.
    #[must_use]
    pub fn head(&self, table: &str) -> Option<u64> {
        self.tables.get(&table.to_owned())?.head
    }

    /// Takes changed rows in, which are complete up to `head`. Gives back those that are new.
    pub fn merge(&mut self, table: &str, rows: Vec<StoredRow>, head: u64) -> Vec<StoredRow> {
        let copy = self
            .tables
            .get_or_insert_with(table.to_owned(), Copy::default);
        let fresh: Vec<StoredRow> = rows
            .into_iter()
            .filter(|row| {
                let known = copy.rows.get(&row.key);
                known.is_none_or(|known| known.version < row.version)
            })
            .collect();
        for row in &fresh {
            copy.rows.insert(row.key.clone(), row.clone());
        }
        copy.head = Some(copy.head.map_or(head, |known| known.max(head)));
        fresh
    }

    /// Takes a whole table in. Rows that it lacks were removed, unless they are newer. Gives back
    /// what is new.
    pub fn replace(&mut self, whole: TableCopy) -> Vec<StoredRow> {
        if self.head(&whole.name).is_some_and(|head| head > whole.head) {
            return Vec::new();
        }
        let mut rows = whole.rows;
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        if let Some(copy) = self.tables.get(&whole.name) {
            let removed: Vec<StoredRow> = copy
                .rows
                .iter()
                .filter(|(key, row)| {
                    row.value.is_some() && row.version <= whole.head && {
                        rows.binary_search_by(|listed| listed.key.cmp(key)).is_err()
                    }
                })
                .map(|(key, _)| StoredRow {
                    key: key.clone(),
                    version: whole.head,
                    value: None,
                })
                .collect();
            rows.extend(removed);
        }
        self.merge(&whole.name, rows, whole.head)
    }

    /// What is known here of all tables that were read, beyond the versions up to which somebody
    /// else knows them. Removed rows are among them.
    #[must_use]
    pub fn changes_since(&self, known: &[(String, u64)]) -> Vec<TableCopy> {
        self.tables
            .iter()
            .filter_map(|(name, copy)| {
                let after = known.iter().find(|row| row.0 == *name);
                let after = after.map_or(0, |row| row.1);
                let rows = copy.rows.iter().map(|row| row.1);
                Some(TableCopy {
                    name: name.clone(),
                    head: copy.head?,
                    rows: rows.filter(|row| row.version > after).cloned().collect(),
                })
            })
            .collect()
    }

    /// The versions of the store up to which each table that was read is known.
    #[must_use]
    pub fn heads(&self) -> Vec<(String, u64)> {
        self.tables
            .iter()
            .filter_map(|(name, copy)| Some((name.clone(), copy.head?)))
            .collect()
    }

    /// How many tables were read.
    #[must_use]
    pub fn table_count(&self) -> usize {
        let tables = self.tables.iter();
        tables.filter(|(_, copy)| copy.head.is_some()).count()
    }

    /// The newest change of each table that was read. Unlike heads, which rise with each poll,
    /// these are equal in copies that hold the same.
    #[must_use]
    pub fn newest_versions(&self) -> Vec<(String, u64)> {
        self.tables
            .iter()
            .filter(|(_, copy)| copy.head.is_some())
            .map(|(name, copy)| {
                let versions = copy.rows.iter().map(|row| row.1.version);
                (name.clone(), versions.max().unwrap_or(0))
            })
            .collect()
    }
}
