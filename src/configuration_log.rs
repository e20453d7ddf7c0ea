//! The log of accepted configurations in the platform's table service.
//!
//! The row `configuration/change/{generation}` holds the change that led to a generation. It is
//! written once, on the condition that there is none: that write accepts the change. The row
//! `configuration/head` is a later copy of the whole configuration, from which a reader starts.
//! See `docs/CONFIGURATION.md`.

use {
    crate::{
        change::{Change, Description, canonical, hash_declarations},
        platform::{Platform, PlatformError, ValueRow, WriteOutcome},
    },
    cactusspur_core::{Configuration, Declarations, Generation, RowVersion, TimeMs},
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    ntex::time::{Millis, sleep},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::future::Future,
};

/// The row with the whole configuration that readers start from.
pub const HEAD_KEY: &str = "configuration/head";
/// The largest change or configuration that a row holds; larger ones go to the object store.
pub const MAX_INLINE_BYTES: usize = 64 * 1_024;
/// How many generations lie at the most between two copies in the object store.
pub const SNAPSHOT_INTERVAL_GENERATIONS: u64 = 32;
/// How many entries a change's summary names at the most.
pub const MAX_SUMMARY_ENTRIES: usize = 32;
/// How many changes are followed one by one until the head is looked at.
const MAX_FOLLOWED: usize = 32;
/// How often a write is tried.
const WRITE_ATTEMPTS: u32 = 5;
/// The wait before the second try of a write; it doubles with each.
const WRITE_BACK_OFF: Millis = Millis(100);

/// The parts of the platform that the log needs.
pub trait Store {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn read_row(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<ValueRow>, Report<PlatformError>>>;

    /// Writes a row if its version is still the expected one.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn write_row(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: &Value,
    ) -> impl Future<Output = Result<WriteOutcome, Report<PlatformError>>>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn read_object(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, Report<PlatformError>>>;

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn write_object(
        &self,
        key: &str,
        content: Vec<u8>,
    ) -> impl Future<Output = Result<(), Report<PlatformError>>>;
}

impl Store for Platform {
    async fn read_row(&self, key: &str) -> Result<Option<ValueRow>, Report<PlatformError>> {
        Self::read_row(self, key).await
    }

    async fn write_row(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: &Value,
    ) -> Result<WriteOutcome, Report<PlatformError>> {
        Self::write_row(self, key, expected, value).await
    }

    async fn read_object(&self, key: &str) -> Result<Option<Vec<u8>>, Report<PlatformError>> {
        Self::read_object(self, key).await
    }

    async fn write_object(&self, key: &str, content: Vec<u8>) -> Result<(), Report<PlatformError>> {
        Self::write_object(self, key, content).await
    }
}

/// Why the log can't be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum LogError {
    /// The platform does not answer, or refuses. A write had no effect.
    #[display("the platform can't be reached; nothing was changed")]
    Unavailable,
    /// A write may have taken effect, or may yet.
    #[display("it is unknown whether the change was accepted")]
    Unknown,
    /// What is there makes no sense.
    #[display("the log of configurations is damaged")]
    Damaged,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The generation that it led to.
    pub generation: Generation,
    /// The id that the operator's command gave it.
    pub change_id: String,
    /// When it was accepted, by the clock of the operator's machine.
    pub accepted_at_ms: TimeMs,
    /// The change.
    pub body: ChangeBody,
    /// What it does, by names, for operators: the first [`MAX_SUMMARY_ENTRIES`] entries.
    #[serde(default)]
    pub summary: Vec<Description>,
    /// The hash of the declarations after it.
    pub result_hash: String,
}

/// Where a change is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeBody {
    /// In the record.
    Inline(Change),
    /// In the object store, under its content's hash.
    Object {
        /// The lower-case hexadecimal BLAKE3 of the content.
        hash: String,
    },
}

/// The head row: the whole configuration, or where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    generation: Generation,
    change_id: String,
    accepted_at_ms: TimeMs,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    declarations: Option<Declarations>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    object: Option<String>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It was accepted as this configuration.
    Accepted(Configuration),
    /// There was nothing to change.
    Unchanged,
    /// Another change was accepted first.
    Conflict(ChangeRecord),
}

/// What a reader finds after the configuration that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatchUp {
    /// The newest configuration that was reached.
    pub newest: Configuration,
    /// The records of all changes on the way, with the changes inline; empty when the way went
    /// over the head.
    pub records: Vec<ChangeRecord>,
}

impl CatchUp {
    const fn at(newest: Configuration) -> Self {
        Self {
            newest,
            records: Vec::new(),
        }
    }
}

/// The key of the row that holds the change that led to a generation.
#[must_use]
pub fn change_key(generation: Generation) -> String {
    format!("configuration/change/{generation}")
}

/// The configuration after a change.
///
/// # Errors
///
/// When the change doesn't follow on the configuration or gives another result than it says.
pub fn apply_record(
    before: &Configuration,
    record: &ChangeRecord,
    change: &Change,
) -> Result<Configuration, Report<LogError>> {
    if record.generation.0 != before.generation.0 + 1 {
        return Err(Report::new(LogError::Damaged).attach("a generation is missing"));
    }
    let declarations = change
        .apply(&before.declarations)
        .change_context(LogError::Damaged)?;
    if hash_declarations(&declarations) != record.result_hash {
        return Err(Report::new(LogError::Damaged).attach("the result has another hash"));
    }
    Ok(Configuration {
        generation: record.generation,
        change_id: record.change_id.clone(),
        accepted_at_ms: record.accepted_at_ms,
        declarations,
    })
}

/// The log of accepted configurations.
#[derive(Clone, Debug)]
pub struct ConfigurationLog<S> {
    store: S,
}

impl<S> ConfigurationLog<S>
where
    S: Store,
{
    /// A log in this store. Nothing is read yet.
    pub const fn new(store: S) -> Self {
        Self { store }
    }

    /// The copy of the configuration that the head row has or names. It may be older than the
    /// newest; none when nothing was ever accepted.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn head(&self) -> Result<Option<Configuration>, Report<LogError>> {
        let row = self.store.read_row(HEAD_KEY).await.map_err(unavailable)?;
        let Some(row) = row else {
            return Ok(None);
        };
        let head: Head = parse(row.value)?;
        let declarations = match (head.declarations, head.object) {
            (Some(declarations), _) => declarations,
            (None, Some(hash)) => self.object(&hash).await?,
            (None, None) => return Err(Report::new(LogError::Damaged).attach("an empty head")),
        };
        Ok(Some(Configuration {
            generation: head.generation,
            change_id: head.change_id,
            accepted_at_ms: head.accepted_at_ms,
            declarations: canonical(declarations),
        }))
    }

    /// The record of the change that led to a generation, if that was accepted.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn record(
        &self,
        generation: Generation,
    ) -> Result<Option<ChangeRecord>, Report<LogError>> {
        let key = change_key(generation);
        let row = self.store.read_row(&key).await.map_err(unavailable)?;
        row.map(|row| parse(row.value)).transpose()
    }

    /// The change of a record, fetched from the object store if need be.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn change(&self, record: &ChangeRecord) -> Result<Change, Report<LogError>> {
        match &record.body {
            ChangeBody::Inline(change) => Ok(change.clone()),
            ChangeBody::Object { hash } => self.object(hash).await,
        }
    }

    /// The configuration after `known`; none when `known` is the newest.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn next(
        &self,
        known: &Configuration,
    ) -> Result<Option<Configuration>, Report<LogError>> {
        let step = self.step(known).await?;
        Ok(step.map(|(next, _)| next))
    }

    /// The configuration after `known`, with the record of the change to it, which is inline.
    async fn step(
        &self,
        known: &Configuration,
    ) -> Result<Option<(Configuration, ChangeRecord)>, Report<LogError>> {
        let generation = Generation(known.generation.0 + 1);
        let Some(mut record) = self.record(generation).await? else {
            return Ok(None);
        };
        let change = self.change(&record).await?;
        let next = apply_record(known, &record, &change)?;
        record.body = ChangeBody::Inline(change);
        Ok(Some((next, record)))
    }

    /// The configuration that `known` is outdated by, reached over the changes after it or, when
    /// they are many, from the head; none when `known` is the newest.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn catch_up(
        &self,
        known: &Configuration,
    ) -> Result<Option<CatchUp>, Report<LogError>> {
        if known.generation == Generation(0) {
            let newest = self.newest().await?;
            let is_newer = newest.generation > known.generation;
            return Ok(is_newer.then(|| CatchUp::at(newest)));
        }
        let mut newest: Option<Configuration> = None;
        let mut records = Vec::new();
        for _ in 0..MAX_FOLLOWED {
            let from = newest.as_ref().unwrap_or(known);
            let Some((next, record)) = self.step(from).await? else {
                return Ok(newest.map(|newest| CatchUp { newest, records }));
            };
            newest = Some(next);
            records.push(record);
        }
        let head = self.head().await.unwrap_or_else(|report| {
            tracing::warn!(?report, "the head can't be read");
            None
        });
        let reached = newest
            .as_ref()
            .map_or(known.generation, |newest| newest.generation);
        let head = head.filter(|head| head.generation > reached);
        let followed = newest.map(|newest| CatchUp { newest, records });
        Ok(head.map(CatchUp::at).or(followed))
    }

    /// The newest configuration, reached from the head or, when that can't be read, from the
    /// first change.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn newest(&self) -> Result<Configuration, Report<LogError>> {
        let head = match self.head().await {
            Ok(head) => head,
            Err(report) if *report.current_context() == LogError::Unavailable => {
                tracing::warn!(%report, "the head can't be read; reading every change");
                None
            }
            Err(report) => return Err(report),
        };
        let mut newest = head.unwrap_or_default();
        while let Some(next) = self.next(&newest).await? {
            newest = next;
        }
        Ok(newest)
    }

    /// Accepts declarations as the generation after `before`, unless another change was first.
    ///
    /// A lost answer is settled by reading the row back, and a repeated call with the same
    /// `change_id` and declarations finds its own row.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] when it surely was not accepted, [`LogError::Unknown`] when it
    /// may have been or may yet be.
    pub async fn accept(
        &self,
        before: &Configuration,
        declarations: Declarations,
        change_id: String,
        now: TimeMs,
    ) -> Result<Acceptance, Report<LogError>> {
        let change = Change::between(&before.declarations, &declarations);
        if change.is_empty() {
            return Ok(Acceptance::Unchanged);
        }
        let record = ChangeRecord {
            generation: Generation(before.generation.0 + 1),
            change_id,
            accepted_at_ms: now,
            body: self.store_body(&change).await?,
            summary: summary(&change, before),
            result_hash: hash_declarations(&declarations),
        };
        let standing = self.create(&record).await?;
        let same = standing.change_id == record.change_id;
        if !same || standing.result_hash != record.result_hash {
            return Ok(Acceptance::Conflict(standing));
        }
        let accepted = apply_record(before, &standing, &change)?;
        self.move_head(&accepted).await;
        Ok(Acceptance::Accepted(accepted))
    }

    /// Creates the row of a record, and gives back the record that stands there in the end.
    async fn create(&self, record: &ChangeRecord) -> Result<ChangeRecord, Report<LogError>> {
        let key = change_key(record.generation);
        let value = serde_json::to_value(record).change_context(LogError::Damaged)?;
        let mut may_stand = false;
        let mut wait = WRITE_BACK_OFF;
        for _ in 0..WRITE_ATTEMPTS {
            match self.store.write_row(&key, None, &value).await {
                Ok(WriteOutcome::Written(_)) => return Ok(record.clone()),
                Ok(WriteOutcome::Conflict(Some(row))) => return parse(row.value),
                Ok(WriteOutcome::Conflict(None)) => {}
                Err(report) => {
                    may_stand |= *report.current_context() != PlatformError::Refused;
                    if let Ok(Some(standing)) = self.record(record.generation).await {
                        return Ok(standing);
                    }
                }
            }
            sleep(wait).await;
            wait = Millis(wait.0 * 2);
        }
        Err(Report::new(if may_stand {
            LogError::Unknown
        } else {
            LogError::Unavailable
        }))
    }

    async fn store_body(&self, change: &Change) -> Result<ChangeBody, Report<LogError>> {
        let content = serde_json::to_vec(change).change_context(LogError::Damaged)?;
        if content.len() <= MAX_INLINE_BYTES {
            return Ok(ChangeBody::Inline(change.clone()));
        }
        let hash = self.store_object(content).await?;
        Ok(ChangeBody::Object { hash })
    }

    /// Brings the head up to a configuration. The head is a copy: when it can't be moved, readers
    /// follow the changes from where it is.
    async fn move_head(&self, accepted: &Configuration) {
        if let Err(report) = self.try_move_head(accepted).await {
            tracing::warn!(?report, "the head was not moved");
        }
    }

    async fn try_move_head(&self, accepted: &Configuration) -> Result<(), Report<LogError>> {
        let row = self.store.read_row(HEAD_KEY).await.map_err(unavailable)?;
        let expected = row.as_ref().map(|row| row.version);
        let standing: Option<Head> = row.map(|row| parse(row.value)).transpose()?;
        let at = standing.map_or(Generation(0), |head| head.generation);
        if at >= accepted.generation {
            return Ok(());
        }
        let content =
            serde_json::to_vec(&accepted.declarations).change_context(LogError::Damaged)?;
        let inline = content.len() <= MAX_INLINE_BYTES;
        if !inline && at.0 > 0 && accepted.generation.0 - at.0 < SNAPSHOT_INTERVAL_GENERATIONS {
            return Ok(());
        }
        let object = if inline {
            None
        } else {
            Some(self.store_object(content).await?)
        };
        let head = Head {
            generation: accepted.generation,
            change_id: accepted.change_id.clone(),
            accepted_at_ms: accepted.accepted_at_ms,
            declarations: inline.then(|| accepted.declarations.clone()),
            object,
        };
        let value = serde_json::to_value(&head).change_context(LogError::Damaged)?;
        self.store
            .write_row(HEAD_KEY, expected, &value)
            .await
            .map_err(unavailable)?;
        Ok(())
    }

    async fn store_object(&self, content: Vec<u8>) -> Result<String, Report<LogError>> {
        let hash = blake3::hash(&content).to_hex().to_string();
        self.store
            .write_object(&object_key(&hash), content)
            .await
            .map_err(unavailable)?;
        Ok(hash)
    }

    async fn object<T>(&self, hash: &str) -> Result<T, Report<LogError>>
    where
        T: DeserializeOwned,
    {
        let key = object_key(hash);
        let content = self.store.read_object(&key).await.map_err(unavailable)?;
        let content = content.ok_or_else(|| {
            Report::new(LogError::Unavailable).attach("the object is not there yet")
        })?;
        if blake3::hash(&content).to_hex().as_str() != hash {
            return Err(Report::new(LogError::Damaged).attach("an object has another hash"));
        }
        serde_json::from_slice(&content).change_context(LogError::Damaged)
    }
}

fn summary(change: &Change, before: &Configuration) -> Vec<Description> {
    let mut summary = change.describe(&before.declarations);
    summary.truncate(MAX_SUMMARY_ENTRIES);
    summary
}

fn object_key(hash: &str) -> String {
    format!("configuration/{hash}")
}

fn unavailable(report: Report<PlatformError>) -> Report<LogError> {
    let error = match report.current_context() {
        PlatformError::Malformed => LogError::Damaged,
        PlatformError::Refused | PlatformError::NoAnswer => LogError::Unavailable,
    };
    report.change_context(error)
}

fn parse<T>(value: Value) -> Result<T, Report<LogError>>
where
    T: DeserializeOwned,
{
    serde_json::from_value(value).change_context(LogError::Damaged)
}
