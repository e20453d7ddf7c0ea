//! Local copies of the tables of the platform's store.
//!
//! Rows carry the store's own version, so copies from the store and from peers are merged by keeping
//! the higher version of each row. A copy never reverts to an older version. When the store returns
//! from a backup, its versions go back and are assigned again, in another era: a copy of a newer era
//! replaces one of an older era as a whole.

use {
    cactusspur_core::VecMap,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// A version of the store's contents. Versions of different eras are ordered by the era.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{era}.{version}")]
pub struct StoreVersion {
    /// How often the store has returned from a backup.
    pub era: u64,
    /// The version, which is unique and increases within an era.
    pub version: u64,
}

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// The key of the row.
    pub key: String,
    /// The version that the store has assigned to the row, in the era in which it was last read.
    pub version: StoreVersion,
    /// The value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// A table, or its changes, up to one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCopy {
    /// The name of the table.
    pub name: String,
    /// The store's version up to which the copy is complete.
    pub head: StoreVersion,
    /// The version since which the sender knows all changes, removed rows included: at most `head`. A table
    /// that was read as a whole tells what there is, and not what was removed before.
    pub complete_since: StoreVersion,
    /// All rows, or those that have changed since a version known to the receiver.
    pub rows: Vec<StoredRow>,
    /// Whether the copy has all rows, so that others don't exist.
    pub is_whole: bool,
}

/// The changes by which a local copy was brought up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    /// The rows that are new or were removed.
    pub rows: Vec<StoredRow>,
    /// Whether the rows are those of a store that has returned from a backup, and may be older than
    /// what was known before.
    pub is_restored: bool,
}

#[derive(Debug, Default)]
struct LocalTable {
    head: Option<StoreVersion>,
    /// The version since which all changes are known, removed rows included.
    complete_since: StoreVersion,
    rows: VecMap<String, StoredRow>,
}

impl LocalTable {
    /// The version of the newest change: of a row, or of one that may have been removed before the table was
    /// read.
    fn newest_version(&self) -> StoreVersion {
        let versions = self.rows.iter().map(|row| row.1.version);
        versions.fold(self.complete_since, StoreVersion::max)
    }
}

/// Copies of the tables that a gateway watches.
#[derive(Debug, Default)]
pub struct Replica {
    tables: VecMap<String, LocalTable>,
}

impl Replica {
    /// The store's version up to which the copy of a table is complete; `None` before the first read.
    #[must_use]
    pub fn head(&self, table: &str) -> Option<StoreVersion> {
        self.tables.get(&table.to_owned())?.head
    }

    /// Merges changed rows, which are complete up to `head`. Returns the rows that were new.
    pub fn merge(
        &mut self,
        table: &str,
        rows: Vec<StoredRow>,
        head: StoreVersion,
    ) -> Vec<StoredRow> {
        let local = self
            .tables
            .get_or_insert_with(table.to_owned(), LocalTable::default);
        let new_rows: Vec<StoredRow> = rows
            .into_iter()
            .filter(|row| {
                let known = local.rows.get(&row.key);
                known.is_none_or(|known| known.version < row.version)
            })
            .collect();
        for row in &new_rows {
            local.rows.insert(row.key.clone(), row.clone());
        }
        local.head = Some(local.head.map_or(head, |known| known.max(head)));
        new_rows
    }

    /// Merges a copy: a snapshot of a whole table, or changes. Returns what was new.
    pub fn apply(&mut self, copy: TableCopy) -> TableChanges {
        let known = self.head(&copy.name);
        let is_newer_era = known.is_some_and(|known| known.era < copy.head.era);
        if copy.is_whole {
            return TableChanges {
                rows: self.replace(copy),
                is_restored: is_newer_era,
            };
        }
        let is_other_era = known.is_some_and(|known| known.era != copy.head.era);
        if is_other_era {
            // Changes apply to a copy of their own era only.
            return TableChanges::default();
        }
        TableChanges {
            rows: self.merge(&copy.name, copy.rows, copy.head),
            is_restored: false,
        }
    }

    /// Merges a snapshot of a whole table. Rows that the snapshot lacks become removed rows, unless
    /// they are newer than it. Returns the changes, and nothing if the snapshot is outdated.
    pub fn replace(&mut self, snapshot: TableCopy) -> Vec<StoredRow> {
        let known = self.head(&snapshot.name);
        if known.is_some_and(|head| head > snapshot.head) {
            return Vec::new();
        }
        let complete_since = snapshot.complete_since;
        let mut rows = snapshot.rows;
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        if let Some(local) = self.tables.get(&snapshot.name) {
            // The sender may know of an earlier removal of a row that was listed again and removed since.
            let is_listed = |row: &StoredRow| {
                let listed = rows.binary_search_by(|listed| listed.key.cmp(&row.key));
                let listed = listed.ok().map(|index| &rows[index]);
                listed.is_some_and(|listed| listed.value.is_some() || listed.version > row.version)
            };
            let removed: Vec<StoredRow> = local
                .rows
                .iter()
                .map(|row| row.1)
                .filter(|row| row.value.is_some() && row.version <= snapshot.head)
                .filter(|row| !is_listed(row))
                .map(|row| StoredRow {
                    key: row.key.clone(),
                    version: complete_since,
                    value: None,
                })
                .collect();
            rows.extend(removed);
        }
        let new_rows = self.merge(&snapshot.name, rows, snapshot.head);
        if known.is_none_or(|head| head < complete_since)
            && let Some(local) = self.tables.get_mut(&snapshot.name)
        {
            local.complete_since = complete_since;
        }
        new_rows
    }

    /// Returns the changes of all tables since the versions up to which a peer knows them, including
    /// removed rows. A table is returned as a whole if not all changes since then are known here.
    #[must_use]
    pub fn changes_since(&self, known: &[(String, StoreVersion)]) -> Vec<TableCopy> {
        self.tables
            .iter()
            .filter_map(|(name, local)| {
                let head = local.head?;
                let after = known.iter().find(|row| row.0 == *name);
                let after = after
                    .map(|row| row.1)
                    .filter(|after| after.era == head.era && *after >= local.complete_since);
                let rows = local.rows.iter().map(|row| row.1);
                Some(TableCopy {
                    name: name.clone(),
                    head,
                    complete_since: local.newest_version(),
                    rows: rows
                        .filter(|row| after.is_none_or(|after| row.version > after))
                        .cloned()
                        .collect(),
                    is_whole: after.is_none(),
                })
            })
            .collect()
    }

    /// The store's version up to which the copy of each table is complete.
    #[must_use]
    pub fn heads(&self) -> Vec<(String, StoreVersion)> {
        self.tables
            .iter()
            .filter_map(|(name, local)| Some((name.clone(), local.head?)))
            .collect()
    }

    /// The highest era of any table; 0 before the first read.
    #[must_use]
    pub fn era(&self) -> u64 {
        let heads = self.tables.iter().filter_map(|(_, local)| local.head);
        heads.map(|head| head.era).max().unwrap_or(0)
    }

    /// The number of tables that were read at least once.
    #[must_use]
    pub fn table_count(&self) -> usize {
        let tables = self.tables.iter();
        tables.filter(|(_, local)| local.head.is_some()).count()
    }

    /// The version of the newest change of each table. Unlike heads, which advance with each poll, these
    /// become equal in copies with the same contents.
    #[must_use]
    pub fn newest_versions(&self) -> Vec<(String, StoreVersion)> {
        self.tables
            .iter()
            .filter(|(_, local)| local.head.is_some())
            .map(|(name, local)| (name.clone(), local.newest_version()))
            .collect()
    }

    /// Whether a peer with these newest versions knows changes that this copy lacks.
    #[must_use]
    pub fn is_behind(&self, peer_versions: &[(String, StoreVersion)]) -> bool {
        peer_versions.iter().any(|(table, version)| {
            let head = self.head(table);
            head.is_none_or(|head| head < *version)
        })
    }
}
