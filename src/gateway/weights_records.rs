//! Keeps the times at which weights were announced in the platform's store, for the gateways that learn of them
//! from no peer.
//!
//! A row for each model holds the versions whose grace period goes on, with times by the store's clock. It is
//! written once for each version, and read by gateways that know engines with older weights and not since when.

use {
    super::{
        Shared,
        clock::now,
        store::{MetadataStore, ReadRow, StoreError, WriteResult},
        watch::{JOIN_WAIT, should_register},
    },
    cactusspur_core::{
        DurationMs, TimeMs, VecMap, WeightsVersion, WorkerId,
        gateway::{AgeSource, AnnouncedAt, AnnouncedWeights, outdated},
    },
    serde::{Deserialize, Serialize},
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The table with a row for each model.
const TABLE: &str = "weights";
/// How often a gateway checks whether records must be read or written, besides when weights are announced.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// How long after each other gateways write a record that none before has written.
const STAGGER: Duration = Duration::from_millis(500);
/// The gateways that write a record when those before them have not.
const MAX_WRITERS: usize = 4;
/// The wait before a record that told nothing is read again: it may be written meanwhile.
const READ_AGAIN_MS: DurationMs = DurationMs(2_000);

/// The value of a row.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RecordRow {
    /// The era in which the row was written. In a later one the clock may be another.
    era: u64,
    announcements: Vec<RecordedAnnouncement>,
}

impl RecordRow {
    fn versions(&self) -> Vec<WeightsVersion> {
        self.announcements.iter().map(|row| row.version).collect()
    }
}

/// No version after `follows`, up to `version`, was announced before a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedAnnouncement {
    version: WeightsVersion,
    follows: WeightsVersion,
    not_before_store_ms: TimeMs,
}

/// Starts the task that reads and writes the records.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>)
where
    S: MetadataStore,
{
    ntex::rt::spawn(keep(Rc::clone(shared), Rc::clone(store)));
}

async fn keep<S>(shared: Rc<Shared>, store: Rc<S>)
where
    S: MetadataStore,
{
    sleep(JOIN_WAIT).await;
    let mut models: VecMap<String, ModelRecord> = VecMap::default();
    loop {
        let names: Vec<String> = {
            let state = shared.state.borrow();
            let names = state.announced_weights.iter().map(|row| row.0.clone());
            names.collect()
        };
        for model in names {
            let record = models.get_or_insert_with(model.clone(), ModelRecord::default);
            if should_register(&shared)
                && let Err(error) = record.step(&shared, store.as_ref(), &model).await
            {
                tracing::info!(model, %error, "the store does not keep the ages of weights");
            }
        }
        let _ = timeout(CHECK_PERIOD, shared.weights_ages_changed.notified()).await;
    }
}

/// What a gateway knows of a row.
#[derive(Debug, Default)]
struct ModelRecord {
    /// The era of what is known.
    era: u64,
    /// The versions that the row holds.
    recorded: Vec<WeightsVersion>,
    /// The newest announced version when an unknown age was first read, and when that was.
    first_read: Option<(Option<WeightsVersion>, TimeMs)>,
    /// When the row was read last.
    read_at_ms: Option<TimeMs>,
    /// Since when the row must be written.
    due_since_ms: Option<TimeMs>,
}

impl ModelRecord {
    /// Reads the row if it may tell an age that isn't known, and writes it if it lacks one that is.
    async fn step<S>(
        &mut self,
        shared: &Rc<Shared>,
        store: &S,
        model: &str,
    ) -> Result<(), StoreError>
    where
        S: MetadataStore,
    {
        let (era, _) = shared.state.borrow().store_era(now());
        if era > self.era {
            // The row may be lost with the backup.
            *self = Self {
                era,
                ..Self::default()
            };
        }
        if self.should_read(shared, model) {
            self.read_at_ms = Some(now());
            self.read(shared, store, model).await?;
        }
        if self.should_write(shared, model) {
            self.write(shared, store, model).await?;
        }
        Ok(())
    }

    /// Whether engines have weights that were outdated at an unknown time.
    fn should_read(&mut self, shared: &Shared, model: &str) -> bool {
        let now = now();
        let state = shared.state.borrow();
        let newest = state.newest_weights(model);
        if !has_unknown_age(shared, model) {
            return false;
        }
        let first_read = self.first_read.filter(|known| known.0 == newest);
        let is_again = first_read.is_some();
        let (_, since_ms) = *self.first_read.insert(first_read.unwrap_or((newest, now)));
        // What is recorded later is that of weights that are past their grace period by then.
        let may_help = now.since(since_ms) < state.old_weights_grace_ms;
        let is_due = self
            .read_at_ms
            .is_none_or(|read_at_ms| !is_again || now.since(read_at_ms) >= READ_AGAIN_MS);
        may_help && is_due
    }

    /// Whether it is this gateway's turn to write a version.
    fn should_write(&mut self, shared: &Shared, model: &str) -> bool {
        let now = now();
        let state = shared.state.borrow();
        let Some(announced) = state.announced_weights.get(&model.to_owned()) else {
            return false;
        };
        let mut versions = announced.worth_recording(now);
        if versions.all(|weights| self.recorded.contains(&weights.version)) {
            self.due_since_ms = None;
            return false;
        }
        let since_ms = *self.due_since_ms.get_or_insert(now);
        let before = state
            .peers
            .count_running_before(WorkerId::from_name(model).0, now);
        let wait = STAGGER * u32::try_from(before).unwrap_or(u32::MAX);
        before < MAX_WRITERS && Duration::from_millis(now.since(since_ms).0) >= wait
    }

    /// Reads the row and takes in what it tells.
    async fn read<S>(
        &mut self,
        shared: &Rc<Shared>,
        store: &S,
        model: &str,
    ) -> Result<(ReadRow, RecordRow), StoreError>
    where
        S: MetadataStore,
    {
        let asked_at_ms = now();
        let read = store.read_row(TABLE, model).await?;
        let row = parse(&read, model);
        self.recorded = row.versions();
        let before = has_unknown_age(shared, model);
        let mut state = shared.state.borrow_mut();
        for recorded in &row.announcements {
            // The store read its clock after `asked_at_ms`.
            let age_ms = read.store_now_ms.since(recorded.not_before_store_ms);
            let at = AnnouncedAt::NotBefore {
                at_ms: TimeMs(asked_at_ms.0.saturating_sub(age_ms.0)),
                source: AgeSource::Record,
            };
            state.record_announced_weights(model, recorded.version, recorded.follows, at);
        }
        drop(state);
        tracing::info!(
            model,
            era = read.era,
            versions = row.announcements.len(),
            "ages of weights read"
        );
        if before && !has_unknown_age(shared, model) {
            shared.peers.announce(shared);
        }
        Ok((read, row))
    }

    /// Adds what the row lacks.
    async fn write<S>(
        &mut self,
        shared: &Rc<Shared>,
        store: &S,
        model: &str,
    ) -> Result<(), StoreError>
    where
        S: MetadataStore,
    {
        let (read, known) = self.read(shared, store, model).await?;
        let read_by_ms = now();
        let row = {
            let state = shared.state.borrow();
            let announced = state.announced_weights.get(&model.to_owned());
            let versions = announced.into_iter();
            let versions = versions.flat_map(|announced| announced.worth_recording(read_by_ms));
            RecordRow {
                era: read.era,
                announcements: versions
                    .filter_map(|weights| recorded(weights, &read, read_by_ms))
                    .collect(),
            }
        };
        let known = known.versions();
        let mut versions = row.announcements.iter().map(|row| row.version);
        if versions.all(|version| known.contains(&version)) {
            return Ok(());
        }
        let value = match serde_json::to_vec(&row) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(%error, "the ages of weights can't be written");
                return Ok(());
            }
        };
        let expected = read.row.as_ref().map_or(0, |row| row.version.version);
        let written = store
            .write_row(TABLE, model, expected, value.into())
            .await?;
        let WriteResult::Done { version, .. } = written else {
            return Ok(());
        };
        tracing::info!(model, %version, versions = row.announcements.len(), "ages of weights recorded");
        metrics::counter!("cactusspur_weights_records_written_total").increment(1);
        if version.era == row.era {
            self.recorded = row.versions();
        }
        Ok(())
    }
}

/// Whether a ready engine has weights that were outdated at a time that is unknown, or an estimate.
fn has_unknown_age(shared: &Shared, model: &str) -> bool {
    let state = shared.state.borrow();
    let Some(announced) = state.announced_weights.get(&model.to_owned()) else {
        return false;
    };
    state.backends.iter().any(|(_, backend)| {
        let weights = backend.weights(model).filter(|_| backend.is_ready());
        let outdated = weights.and_then(|weights| outdated(weights, announced.versions()));
        outdated.is_some_and(|outdated| !outdated.at.is_firm())
    })
}

/// What a row tells. One of an earlier era, or that can't be read, tells nothing.
fn parse(read: &ReadRow, model: &str) -> RecordRow {
    let Some(stored) = &read.row else {
        return RecordRow::default();
    };
    let value = stored.value.as_deref().unwrap_or_default();
    let mut row: RecordRow = serde_json::from_slice(value).unwrap_or_else(|error| {
        tracing::warn!(model, %error, "invalid record of the ages of weights");
        RecordRow::default()
    });
    let is_current = row.era == read.era;
    row.announcements.retain(|announced| {
        is_current
            && announced.follows < announced.version
            && announced.not_before_store_ms <= read.store_now_ms
    });
    row
}

/// A version as it is written, by the clock of a store whose answer was read at `read_by_ms`.
fn recorded(
    weights: &AnnouncedWeights,
    read: &ReadRow,
    read_by_ms: TimeMs,
) -> Option<RecordedAnnouncement> {
    // The store read its clock before `read_by_ms`.
    let age_ms = weights.at.age_ms(read_by_ms)?;
    // A clock that is younger than the announcement can't tell its time.
    let is_told = age_ms.0 <= read.store_now_ms.0;
    is_told.then_some(RecordedAnnouncement {
        version: weights.version,
        follows: weights.follows,
        not_before_store_ms: TimeMs(read.store_now_ms.0.saturating_sub(age_ms.0)),
    })
}
