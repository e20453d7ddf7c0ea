//! The software versions that services had lately, whose streams may still be taken up.
//!
//! What an entry VM remembers ends with it, and all may end at once. One that has just started
//! therefore takes the listed versions for all there were only if a record in the platform's store says
//! so. Entry VMs keep a record for each service, and write a version into it before streams begin there.

use {
    super::stream_origin::SoftwareKey,
    crate::{
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    serde::{Deserialize, Serialize},
};

/// Past versions of services in a report.
const MAX_PAST_VERSIONS: usize = 32;

/// A version that a service had, as entry VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The service.
    pub service: String,
    /// The version.
    pub software: SoftwareKey,
    /// The time since a server of it was listed.
    pub age_ms: DurationMs,
}

/// What a row of the platform's store holds of a service's versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The service.
    pub service: String,
    /// The versions whose streams may still be taken up, in order.
    pub versions: Vec<SoftwareKey>,
    /// Whether streams of no other version may be taken up.
    pub is_complete: bool,
    /// The era of the store.
    pub era: u64,
    /// The version of the row in this era; 0 if there is none.
    pub row_version: u64,
}

impl VersionRecord {
    fn is_newer_than(&self, other: &Self) -> bool {
        (self.era, self.row_version) > (other.era, other.row_version)
    }
}

/// The versions whose last server is no longer listed, as far as this entry VM knows.
#[derive(Clone, Debug, Default)]
pub struct PastVersions {
    rows: VecMap<(String, SoftwareKey), TimeMs>,
    /// Versions that left before this time may be missing, unless a record is complete.
    known_since_ms: TimeMs,
    /// What the store holds, as far as known.
    records: VecMap<String, VersionRecord>,
    /// The services of which a complete record was seen, in order.
    complete: Vec<String>,
}

impl PastVersions {
    /// The versions that an entry VM knows which starts at `now`: none.
    #[must_use]
    pub fn starting_at(now: TimeMs) -> Self {
        Self {
            known_since_ms: now,
            ..Self::default()
        }
    }

    /// Records that no entry VM has ever run before, so that no version can be missing.
    pub const fn record_first_start(&mut self) {
        self.known_since_ms = TimeMs(0);
    }

    /// Records that a server of a version was listed until now.
    pub fn record(&mut self, service: &str, software: SoftwareKey, now: TimeMs) {
        self.record_at(service, software, now);
    }

    /// Records what another entry VM reports.
    pub fn apply(&mut self, reported: &[PastVersion], now: TimeMs) {
        for row in reported {
            let at_ms = TimeMs(now.0.saturating_sub(row.age_ms.0));
            self.record_at(&row.service, row.software, at_ms);
        }
    }

    fn record_at(&mut self, service: &str, software: SoftwareKey, at_ms: TimeMs) {
        let key = (service.to_owned(), software);
        let last_at_ms = self.rows.get_or_insert_with(key, || at_ms);
        *last_at_ms = at_ms.max(*last_at_ms);
    }

    /// Forgets what the store held in earlier eras. It may be lost with the backup from which the store
    /// returned.
    pub fn forget_records_before(&mut self, era: u64) {
        self.records.retain(|_, record| record.era >= era);
    }

    /// Records a record that was read or written here or by another entry VM.
    pub fn apply_record(&mut self, record: VersionRecord, now: TimeMs) {
        for software in &record.versions {
            let key = (record.service.clone(), *software);
            self.rows.get_or_insert_with(key, || now);
        }
        if record.is_complete
            && let Err(index) = self.complete.binary_search(&record.service)
        {
            self.complete.insert(index, record.service.clone());
        }
        let known = self.records.get(&record.service);
        if known.is_none_or(|known| record.is_newer_than(known)) {
            self.records.insert(record.service.clone(), record);
        }
    }

    /// What the store holds, as far as known, for other entry VMs.
    pub fn records(&self) -> impl Iterator<Item = &VersionRecord> {
        self.records.iter().map(|row| row.1)
    }

    /// Whether the store holds a record of a service without this version.
    #[must_use]
    pub fn is_unrecorded(&self, service: &str, software: SoftwareKey) -> bool {
        let record = self.records.get(&service.to_owned());
        record.is_some_and(|record| record.versions.binary_search(&software).is_err())
    }

    /// Whether no version of a service whose streams may be taken up can be missing here.
    #[must_use]
    pub fn is_complete(&self, service: &str, lifetime_ms: DurationMs, now: TimeMs) -> bool {
        let has_record = self
            .complete
            .binary_search_by(|name| name.as_str().cmp(service));
        now.since(self.known_since_ms) >= lifetime_ms || has_record.is_ok()
    }

    /// The record that must be written for a service whose servers have the versions in `listed`, over
    /// the row that it names; `None` while the store holds it. `era` is the store's present one.
    pub fn due_record<I>(
        &self,
        service: &str,
        listed: I,
        lifetime_ms: DurationMs,
        era: u64,
        now: TimeMs,
    ) -> Option<VersionRecord>
    where
        I: IntoIterator<Item = SoftwareKey>,
    {
        let past = self.rows.iter().filter(|((name, _), last_at_ms)| {
            name == service && now.since(**last_at_ms) < lifetime_ms
        });
        let past = past.map(|((_, software), _)| *software);
        let mut versions: Vec<SoftwareKey> = listed.into_iter().chain(past).collect();
        versions.sort_unstable();
        versions.dedup();
        let held = self.records.get(&service.to_owned());
        let due = VersionRecord {
            service: service.to_owned(),
            versions,
            is_complete: self.is_complete(service, lifetime_ms, now),
            era,
            row_version: held.map_or(0, |held| held.row_version),
        };
        (!due.versions.is_empty() && held != Some(&due)).then_some(due)
    }

    /// The only version of a service whose servers have the versions in `listed`, if it had no other one
    /// within `lifetime_ms`.
    pub fn only_version<I>(
        &self,
        service: &str,
        listed: I,
        lifetime_ms: DurationMs,
        now: TimeMs,
    ) -> Option<SoftwareKey>
    where
        I: IntoIterator<Item = SoftwareKey>,
    {
        if !self.is_complete(service, lifetime_ms, now) {
            return None;
        }
        let mut listed = listed.into_iter();
        let first = listed.next()?;
        let mut past = self.rows.iter();
        let had_other = past.any(|((name, software), last_at_ms)| {
            name == service && *software != first && now.since(*last_at_ms) < lifetime_ms
        });
        (!had_other && listed.all(|software| software == first)).then_some(first)
    }

    /// Forgets the versions that no server has had for `lifetime_ms`.
    pub fn forget_old(&mut self, lifetime_ms: DurationMs, now: TimeMs) {
        self.rows
            .retain(|_, last_at_ms| now.since(*last_at_ms) < lifetime_ms);
    }

    /// What other entry VMs must know.
    #[must_use]
    pub fn report(&self, lifetime_ms: DurationMs, now: TimeMs) -> Vec<PastVersion> {
        let recent = self.rows.iter();
        let recent = recent.filter(|row| now.since(*row.1) < lifetime_ms);
        let mut rows: Vec<PastVersion> = recent
            .map(|((service, software), last_at_ms)| PastVersion {
                service: service.clone(),
                software: *software,
                age_ms: now.since(*last_at_ms),
            })
            .collect();
        rows.sort_by_key(|row| row.age_ms);
        rows.truncate(MAX_PAST_VERSIONS);
        rows
    }
}
