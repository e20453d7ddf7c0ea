//! Keeps the versions of services in the platform's store, for the gateways that start after the loss
//! of all others.

use {
    super::{
        Shared,
        clock::now,
        replica::{StoreVersion, StoredRow},
        store::{MetadataStore, StoreError, WriteResult},
        watch::{JOIN_WAIT, should_register},
    },
    cactusspur_core::{
        TimeMs, VecMap,
        gateway::{SoftwareKey, VersionRecord},
    },
    serde::{Deserialize, Serialize},
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The table with a row for each service.
const TABLE: &str = "versions";
/// How often a gateway checks whether records must be written, besides when servers change.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// How much later each further gateway of a domain writes a record that none before it has written.
const STAGGER: Duration = Duration::from_millis(500);

/// The value of a row.
#[derive(Debug, Serialize, Deserialize)]
struct RecordRow {
    versions: Vec<u32>,
    is_complete: bool,
    /// The era in which the row was written. In a later one it comes from a backup and may lack versions.
    era: u64,
}

/// Starts the task that reads and writes the records.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>)
where
    S: MetadataStore,
{
    ntex::rt::spawn(keep(Rc::clone(shared), Rc::clone(store)));
}

/// What a gateway knows of the table.
#[derive(Debug, Default)]
struct Keeper {
    /// The era in which the records were read last; `None` while they must be read.
    loaded_era: Option<u64>,
    /// Whether the table had no row when it was read first.
    was_empty: Option<bool>,
    /// Since when records must be written, by service.
    due_since: VecMap<String, TimeMs>,
}

async fn keep<S>(shared: Rc<Shared>, store: Rc<S>)
where
    S: MetadataStore,
{
    sleep(JOIN_WAIT).await;
    let mut keeper = Keeper::default();
    loop {
        if should_register(&shared)
            && let Err(error) = keeper.step(&shared, store.as_ref()).await
        {
            tracing::info!(%error, "the store does not keep the versions of services");
        }
        let _ = timeout(CHECK_PERIOD, shared.servers_listed.notified()).await;
    }
}

impl Keeper {
    /// Reads the records if they aren't known, and writes those that are due.
    async fn step<S>(&mut self, shared: &Rc<Shared>, store: &S) -> Result<(), StoreError>
    where
        S: MetadataStore,
    {
        let (known_era, _) = shared.state.borrow().store_era(now());
        let loaded_era = self.loaded_era.filter(|loaded| *loaded >= known_era);
        let era = match loaded_era {
            Some(era) => era,
            None => self.load(shared, store).await?,
        };
        let due = {
            let mut state = shared.state.borrow_mut();
            if state.is_first_gateway && self.was_empty == Some(true) {
                state.past_versions.record_first_start();
            }
            state.due_version_records(era, now())
        };
        self.due_since
            .retain(|service, _| due.iter().any(|record| record.service == *service));
        for record in due {
            let service = record.service.clone();
            let since_ms = *self.due_since.get_or_insert_with(service, now);
            let position = shared.state.borrow().peers.domain_position(now());
            let wait = STAGGER * u32::try_from(position).unwrap_or(u32::MAX);
            let is_turn = Duration::from_millis(now().since(since_ms).0) >= wait;
            if is_turn && !write(shared, store, record).await? {
                // Another gateway has written the row, or an earlier write of this one took effect.
                self.loaded_era = None;
            }
        }
        Ok(())
    }

    /// Reads all records. Returns the era of the store.
    async fn load<S>(&mut self, shared: &Rc<Shared>, store: &S) -> Result<u64, StoreError>
    where
        S: MetadataStore,
    {
        let read = read(shared, store).await?;
        tracing::info!(
            era = read.era,
            records = read.records,
            "versions of services read"
        );
        self.was_empty.get_or_insert(read.records == 0);
        self.loaded_era = Some(read.era);
        Ok(read.era)
    }
}

/// What was read of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordsRead {
    /// The era of the store.
    pub era: u64,
    /// The number of records.
    pub records: usize,
}

/// Reads all records and takes them in.
///
/// # Errors
///
/// When the store doesn't answer.
pub async fn read<S>(shared: &Rc<Shared>, store: &S) -> Result<RecordsRead, StoreError>
where
    S: MetadataStore,
{
    let table = store.read_table(TABLE).await?;
    let era = table.head.era;
    let rows = table.rows.iter();
    let records: Vec<VersionRecord> = rows.map(|row| parse_row(row, table.head)).collect();
    let read = RecordsRead {
        era,
        records: records.len(),
    };
    let mut state = shared.state.borrow_mut();
    state.load_version_records(records, era, now());
    Ok(read)
}

/// A row that can't be read is one whose versions aren't known.
fn parse_row(row: &StoredRow, head: StoreVersion) -> VersionRecord {
    let value = row.value.as_deref().unwrap_or_default();
    let parsed = serde_json::from_slice(value).unwrap_or_else(|error| {
        tracing::warn!(service = row.key, %error, "invalid record of a service's versions");
        RecordRow {
            versions: Vec::new(),
            is_complete: false,
            era: head.era,
        }
    });
    let mut versions: Vec<SoftwareKey> = parsed.versions.into_iter().map(SoftwareKey).collect();
    versions.sort_unstable();
    versions.dedup();
    VersionRecord {
        service: row.key.clone(),
        versions,
        is_complete: parsed.is_complete && parsed.era == head.era,
        era: head.era,
        row_version: row.version.version,
    }
}

/// Writes a record over the row that it names. Returns whether the row had not changed.
async fn write<S>(shared: &Rc<Shared>, store: &S, record: VersionRecord) -> Result<bool, StoreError>
where
    S: MetadataStore,
{
    let row = RecordRow {
        versions: record.versions.iter().map(|version| version.0).collect(),
        is_complete: record.is_complete,
        era: record.era,
    };
    let value = match serde_json::to_vec(&row) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(%error, "a record of a service's versions can't be written");
            return Ok(true);
        }
    };
    let written = store
        .write_row(TABLE, &record.service, record.row_version, value.into())
        .await?;
    let WriteResult::Done { version, .. } = written else {
        return Ok(false);
    };
    tracing::info!(
        service = record.service, versions = record.versions.len(),
        is_complete = record.is_complete, %version, "versions of a service recorded"
    );
    metrics::counter!("cactusspur_version_records_written_total").increment(1);
    if version.era == record.era {
        let record = VersionRecord {
            row_version: version.version,
            ..record
        };
        shared
            .state
            .borrow_mut()
            .apply_version_record(record, now());
        shared.peers.announce(shared);
    }
    Ok(version.era == row.era)
}
