//! The log of accepted configurations in the platform's table service.
//!
//! The row `configuration/change/{generation}` holds the change that led to a generation. It is
//! written once, on the condition that the row doesn't exist: that write accepts the change. The
//! row `configuration/head` is a copy of the whole configuration, written later, from which readers
//! start.
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

/// The key of the row with the whole configuration that readers start from.
pub const HEAD_KEY: &str = "configuration/head";
/// The largest change or configuration stored in a row; larger ones go to the object store.
pub const MAX_INLINE_BYTES: usize = 64 * 1_024;
/// The most generations between two copies of the configuration in the object store.
pub const SNAPSHOT_INTERVAL_GENERATIONS: u64 = 32;
/// The most entries in a change's summary.
pub const MAX_SUMMARY_ENTRIES: usize = 32;
/// The most changes that a reader applies one by one before it reads the head.
const MAX_APPLIED_CHANGES: usize = 32;
/// The number of attempts of a write.
const WRITE_ATTEMPTS: u32 = 5;
/// The delay before the second attempt of a write; it doubles with each further one.
const WRITE_BACKOFF: Millis = Millis(100);

/// The operations of the platform that the log needs.
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

/// The reason why the log can't be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum LogError {
    /// The platform did not answer or refused the call. A write had no effect.
    #[display("the platform can't be reached; nothing was changed")]
    Unavailable,
    /// A write may have taken effect or may still do so.
    #[display("it is unknown whether the change was accepted")]
    Unknown,
    /// The stored data is inconsistent.
    #[display("the log of configurations is damaged")]
    Damaged,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The generation that the change led to.
    pub generation: Generation,
    /// The id given by the operator's command.
    pub change_id: String,
    /// When the change was accepted, by the clock of the operator's machine.
    pub accepted_at_ms: TimeMs,
    /// The change itself, or its place in the object store.
    pub body: ChangeBody,
    /// The changed entries by name, for operators: the first [`MAX_SUMMARY_ENTRIES`] ones.
    #[serde(default)]
    pub summary: Vec<Description>,
    /// The hash of the declarations after the change.
    pub result_hash: String,
}

/// The place where a change is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeBody {
    /// In the record itself.
    Inline(Change),
    /// In the object store, under the hash of its content.
    Object {
        /// The lower-case hexadecimal BLAKE3 of the content.
        hash: String,
    },
}

/// The head row: the whole configuration, or the hash of its object.
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

/// The outcome of proposing a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The change was accepted and led to this configuration.
    Accepted(Configuration),
    /// The declarations are the same as before.
    Unchanged,
    /// Another change was accepted first, in this record.
    Conflict(ChangeRecord),
}

/// The newest configuration and the changes that lead to it from the one that a reader knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatchUp {
    /// The newest configuration that was reached.
    pub newest: Configuration,
    /// The records of all changes up to it, with the changes inline; empty if the configuration
    /// was read from the head.
    pub records: Vec<ChangeRecord>,
}

impl CatchUp {
    const fn without_records(newest: Configuration) -> Self {
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

/// Applies the change of a record to a configuration.
///
/// # Errors
///
/// Fails when the record's generation doesn't follow the configuration's, or when the result
/// doesn't have the recorded hash.
pub fn apply_record(
    before: &Configuration,
    record: &ChangeRecord,
    change: &Change,
) -> Result<Configuration, Report<LogError>> {
    if record.generation.0 != before.generation.0 + 1 {
        return Err(Report::new(LogError::Damaged)
            .attach("the record's generation doesn't follow the known one"));
    }
    let declarations = change
        .apply(&before.declarations)
        .change_context(LogError::Damaged)?;
    if hash_declarations(&declarations) != record.result_hash {
        return Err(
            Report::new(LogError::Damaged).attach("the result doesn't match the recorded hash")
        );
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
    /// A log in `store`. Nothing is read yet.
    pub const fn new(store: S) -> Self {
        Self { store }
    }

    /// Reads the copy of the configuration in the head row or the object that it refers to. The
    /// copy may be older than the newest configuration. `None` if no change was ever accepted.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub async fn head(&self) -> Result<Option<Configuration>, Report<LogError>> {
        let row = self.store.read_row(HEAD_KEY).await.map_err(to_log_error)?;
        let Some(row) = row else {
            return Ok(None);
        };
        let head: Head = parse(row.value)?;
        let declarations = match (head.declarations, head.object) {
            (Some(declarations), _) => declarations,
            (None, Some(hash)) => self.read_object(&hash).await?,
            (None, None) => return Err(Report::new(LogError::Damaged).attach("the head is empty")),
        };
        Ok(Some(Configuration {
            generation: head.generation,
            change_id: head.change_id,
            accepted_at_ms: head.accepted_at_ms,
            declarations: canonical(declarations),
        }))
    }

    /// Reads the record of the change that led to a generation; `None` if there is no such change.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub async fn record(
        &self,
        generation: Generation,
    ) -> Result<Option<ChangeRecord>, Report<LogError>> {
        let key = change_key(generation);
        let row = self.store.read_row(&key).await.map_err(to_log_error)?;
        row.map(|row| parse(row.value)).transpose()
    }

    /// The change of a record, read from the object store if it isn't inline.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub async fn change(&self, record: &ChangeRecord) -> Result<Change, Report<LogError>> {
        match &record.body {
            ChangeBody::Inline(change) => Ok(change.clone()),
            ChangeBody::Object { hash } => self.read_object(hash).await,
        }
    }

    /// The configuration of the generation after `known`; `None` if `known` is the newest.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub async fn next(
        &self,
        known: &Configuration,
    ) -> Result<Option<Configuration>, Report<LogError>> {
        let step = self.next_with_record(known).await?;
        Ok(step.map(|(next, _)| next))
    }

    /// The configuration of the generation after `known`, with the record of its change, inline.
    async fn next_with_record(
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

    /// The newest configuration, reached through the changes after `known` or, if they are many,
    /// from the head; `None` if `known` is the newest.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub async fn catch_up(
        &self,
        known: &Configuration,
    ) -> Result<Option<CatchUp>, Report<LogError>> {
        if known.generation == Generation(0) {
            let newest = self.newest().await?;
            let is_newer = newest.generation > known.generation;
            return Ok(is_newer.then(|| CatchUp::without_records(newest)));
        }
        let mut newest: Option<Configuration> = None;
        let mut records = Vec::new();
        for _ in 0..MAX_APPLIED_CHANGES {
            let from = newest.as_ref().unwrap_or(known);
            let Some((next, record)) = self.next_with_record(from).await? else {
                return Ok(newest.map(|newest| CatchUp { newest, records }));
            };
            newest = Some(next);
            records.push(record);
        }
        let head = self.head().await.unwrap_or_else(|report| {
            tracing::warn!(?report, "could not read the configuration head");
            None
        });
        let reached_generation = newest
            .as_ref()
            .map_or(known.generation, |newest| newest.generation);
        let head = head.filter(|head| head.generation > reached_generation);
        let from_changes = newest.map(|newest| CatchUp { newest, records });
        Ok(head.map(CatchUp::without_records).or(from_changes))
    }

    /// Reads the newest configuration from the head and the changes after it or, if the head is
    /// unavailable, from all changes.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub async fn newest(&self) -> Result<Configuration, Report<LogError>> {
        let head = match self.head().await {
            Ok(head) => head,
            Err(report) if *report.current_context() == LogError::Unavailable => {
                tracing::warn!(%report, "could not read the configuration head; reading all changes");
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

    /// Proposes declarations as the generation after `before`. They are accepted unless another
    /// change was accepted first.
    ///
    /// After a lost response the row is read back; a repeated call with the same `change_id` and
    /// declarations finds its own row and succeeds.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] if the change was certainly not accepted, [`LogError::Unknown`] if
    /// it may have been accepted or may still be.
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
            summary: summarize(&change, before),
            result_hash: hash_declarations(&declarations),
        };
        let stored = self.create(&record).await?;
        let is_same_change = stored.change_id == record.change_id;
        if !is_same_change || stored.result_hash != record.result_hash {
            return Ok(Acceptance::Conflict(stored));
        }
        let accepted = apply_record(before, &stored, &change)?;
        self.update_head(&accepted).await;
        Ok(Acceptance::Accepted(accepted))
    }

    /// Creates the row of a record. Returns the record that the row holds in the end, which may be
    /// another one.
    async fn create(&self, record: &ChangeRecord) -> Result<ChangeRecord, Report<LogError>> {
        let key = change_key(record.generation);
        let value = serde_json::to_value(record).change_context(LogError::Damaged)?;
        let mut may_be_written = false;
        let mut delay = WRITE_BACKOFF;
        for _ in 0..WRITE_ATTEMPTS {
            match self.store.write_row(&key, None, &value).await {
                Ok(WriteOutcome::Written(_)) => return Ok(record.clone()),
                Ok(WriteOutcome::Conflict(Some(row))) => return parse(row.value),
                Ok(WriteOutcome::Conflict(None)) => {}
                Err(report) => {
                    may_be_written |= *report.current_context() != PlatformError::Refused;
                    if let Ok(Some(stored)) = self.record(record.generation).await {
                        return Ok(stored);
                    }
                }
            }
            sleep(delay).await;
            delay = Millis(delay.0 * 2);
        }
        Err(Report::new(if may_be_written {
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

    /// Updates the head to a configuration. The head is a copy: if the update fails, readers apply
    /// the changes after the older head.
    async fn update_head(&self, accepted: &Configuration) {
        if let Err(report) = self.try_update_head(accepted).await {
            tracing::warn!(?report, "could not update the configuration head");
        }
    }

    async fn try_update_head(&self, accepted: &Configuration) -> Result<(), Report<LogError>> {
        let row = self.store.read_row(HEAD_KEY).await.map_err(to_log_error)?;
        let expected = row.as_ref().map(|row| row.version);
        let stored: Option<Head> = row.map(|row| parse(row.value)).transpose()?;
        let head_generation = stored.map_or(Generation(0), |head| head.generation);
        if head_generation >= accepted.generation {
            return Ok(());
        }
        let content =
            serde_json::to_vec(&accepted.declarations).change_context(LogError::Damaged)?;
        let is_inline = content.len() <= MAX_INLINE_BYTES;
        if !is_inline
            && head_generation.0 > 0
            && accepted.generation.0 - head_generation.0 < SNAPSHOT_INTERVAL_GENERATIONS
        {
            return Ok(());
        }
        let object = if is_inline {
            None
        } else {
            Some(self.store_object(content).await?)
        };
        let head = Head {
            generation: accepted.generation,
            change_id: accepted.change_id.clone(),
            accepted_at_ms: accepted.accepted_at_ms,
            declarations: is_inline.then(|| accepted.declarations.clone()),
            object,
        };
        let value = serde_json::to_value(&head).change_context(LogError::Damaged)?;
        self.store
            .write_row(HEAD_KEY, expected, &value)
            .await
            .map_err(to_log_error)?;
        Ok(())
    }

    async fn store_object(&self, content: Vec<u8>) -> Result<String, Report<LogError>> {
        let hash = blake3::hash(&content).to_hex().to_string();
        self.store
            .write_object(&object_key(&hash), content)
            .await
            .map_err(to_log_error)?;
        Ok(hash)
    }

    async fn read_object<T>(&self, hash: &str) -> Result<T, Report<LogError>>
    where
        T: DeserializeOwned,
    {
        let key = object_key(hash);
        let content = self.store.read_object(&key).await.map_err(to_log_error)?;
        let content = content.ok_or_else(|| {
            Report::new(LogError::Unavailable).attach("the object doesn't exist yet")
        })?;
        if blake3::hash(&content).to_hex().as_str() != hash {
            return Err(Report::new(LogError::Damaged).attach("an object doesn't match its hash"));
        }
        serde_json::from_slice(&content).change_context(LogError::Damaged)
    }
}

fn summarize(change: &Change, before: &Configuration) -> Vec<Description> {
    let mut summary = change.describe(&before.declarations);
    summary.truncate(MAX_SUMMARY_ENTRIES);
    summary
}

fn object_key(hash: &str) -> String {
    format!("configuration/{hash}")
}

fn to_log_error(report: Report<PlatformError>) -> Report<LogError> {
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
