//! When weights were announced, as far as an entry VM knows.
//!
//! The platform's store names the newest version only. What counts for the older ones is the earliest moment at
//! which a newer one may have been announced, whichever entry VM hears of it and when.

use {
    crate::{
        id::WeightsVersion,
        unit::{DurationMs, TimeMs},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Announced versions that are kept. An age that was dropped is unknown.
const MAX_VERSIONS: usize = 32;
/// Versions in a notice to peers.
const MAX_NOTICE_VERSIONS: usize = 6;

/// Where the age of announced weights comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgeSource {
    /// The answers of the store to this entry VM.
    #[display("store")]
    Store,
    /// A record in the store.
    #[display("record")]
    Record,
    /// A peer.
    #[display("peer")]
    Peer,
    /// The time that an announcement may take to reach this entry VM, through its peers or after the store was
    /// silent. Any other source replaces it.
    #[display("estimate")]
    Estimate,
}

/// When weights were announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedAt {
    /// Not before a moment.
    NotBefore {
        /// The moment.
        at_ms: TimeMs,
        /// Where it comes from.
        source: AgeSource,
    },
    /// At any time.
    Unknown,
}

impl AnnouncedAt {
    /// The earlier of two bounds.
    fn min(self, other: Self) -> Self {
        let at_ms = |bound| match bound {
            Self::NotBefore { at_ms, .. } => Some(at_ms),
            Self::Unknown => None,
        };
        match (at_ms(self), at_ms(other)) {
            (Some(own), Some(others)) if others < own => other,
            (None, Some(_)) => other,
            _ => self,
        }
    }

    /// The time since the announcement, at the most; `None` if it isn't known.
    #[must_use]
    pub fn age_ms(self, now: TimeMs) -> Option<DurationMs> {
        match self {
            Self::NotBefore { at_ms, .. } => Some(now.since(at_ms)),
            Self::Unknown => None,
        }
    }

    /// Where the time comes from; `None` if it isn't known.
    #[must_use]
    pub const fn source(self) -> Option<AgeSource> {
        match self {
            Self::NotBefore { source, .. } => Some(source),
            Self::Unknown => None,
        }
    }

    /// Whether the time is known other than by an estimate.
    #[must_use]
    pub fn is_firm(self) -> bool {
        matches!(self, Self::NotBefore { source, .. } if source != AgeSource::Estimate)
    }
}

/// A weights version that was announced for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedWeights {
    /// The announced version.
    pub version: WeightsVersion,
    /// The newest version that may have been announced before the moment in `at`.
    pub follows: WeightsVersion,
    /// When the first version after `follows` was announced.
    pub at: AnnouncedAt,
    /// When this entry VM heard of the announcement, if it was running then.
    pub heard_at_ms: Option<TimeMs>,
    /// How long a request may still start on older weights.
    pub grace_ms: DurationMs,
}

impl AnnouncedWeights {
    const fn is_estimate(&self) -> bool {
        matches!(self.at.source(), Some(AgeSource::Estimate))
    }

    /// Takes in another bound.
    fn merge(&mut self, follows: WeightsVersion, at: AnnouncedAt) {
        match (self.at.is_firm(), at.is_firm()) {
            // What the earlier bound says holds for the versions of both.
            (true, true) => {
                self.follows = self.follows.min(follows);
                self.at = self.at.min(at);
            }
            (false, true) => {
                self.follows = follows;
                self.at = at;
            }
            (_, false) => {}
        }
    }
}

/// The announcement that made weights outdated; `None` if no newer ones were announced. Its time is that of the
/// first one, and unknown if others may have come before.
#[must_use]
pub fn outdated(
    weights: WeightsVersion,
    announced: &[AnnouncedWeights],
) -> Option<AnnouncedWeights> {
    let newer = announced.iter().find(|newer| newer.version > weights)?;
    let is_first = newer.follows <= weights;
    Some(AnnouncedWeights {
        at: if is_first {
            newer.at
        } else {
            AnnouncedAt::Unknown
        },
        ..*newer
    })
}

/// The weights that were announced for a model.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    newest: Option<WeightsVersion>,
    versions: Vec<AnnouncedWeights>,
}

impl Announcements {
    /// The newest version that the store named.
    #[must_use]
    pub const fn newest(&self) -> Option<WeightsVersion> {
        self.newest
    }

    /// The announced versions up to the newest one that the store named, with what is known of their time, oldest
    /// first. What peers say of newer ones may be lost with a backup of the store.
    #[must_use]
    pub fn versions(&self) -> &[AnnouncedWeights] {
        let newest = self.newest.unwrap_or_default();
        let end = self.versions.partition_point(|row| row.version <= newest);
        &self.versions[..end]
    }

    /// Records that the store names a version. Until the moment in `unchanged_until` it named none after the
    /// one that was known. Returns whether the version is newer than that.
    pub fn name(
        &mut self,
        version: WeightsVersion,
        unchanged_until: AnnouncedAt,
        grace_ms: DurationMs,
        now: TimeMs,
    ) -> bool {
        if self.newest >= Some(version) {
            return false;
        }
        let follows = self.newest.unwrap_or_default();
        self.newest = Some(version);
        let was_running = unchanged_until != AnnouncedAt::Unknown;
        let known = self.entry(version, grace_ms);
        known.heard_at_ms = was_running.then_some(now);
        if known.at == AnnouncedAt::Unknown {
            known.follows = follows;
            known.at = unchanged_until;
        } else {
            known.merge(follows, unchanged_until);
        }
        // A bound that a peer told is one of this version only.
        let between = known.follows;
        if between > follows && was_running {
            let earlier = self.entry(between, grace_ms);
            if earlier.at == AnnouncedAt::Unknown {
                earlier.follows = follows;
                earlier.at = unchanged_until;
            }
        }
        true
    }

    /// Records that no version after `follows`, up to this one, was announced before a moment.
    pub fn record(
        &mut self,
        version: WeightsVersion,
        follows: WeightsVersion,
        at: AnnouncedAt,
        grace_ms: DurationMs,
    ) {
        let known = self.entry(version, grace_ms);
        let estimate = *known;
        known.merge(follows, at);
        let between = known.follows;
        // An estimate still tells of the versions before those of a firm bound.
        if estimate.is_estimate() && between > estimate.follows {
            let earlier = self.entry(between, grace_ms);
            if earlier.at == AnnouncedAt::Unknown {
                earlier.follows = estimate.follows;
                earlier.at = estimate.at;
            }
        }
    }

    fn entry(&mut self, version: WeightsVersion, grace_ms: DurationMs) -> &mut AnnouncedWeights {
        let found = self
            .versions
            .binary_search_by_key(&version, |row| row.version);
        let mut index = found.unwrap_or_else(|index| {
            let unknown = AnnouncedWeights {
                version,
                follows: WeightsVersion::default(),
                at: AnnouncedAt::Unknown,
                heard_at_ms: None,
                grace_ms,
            };
            self.versions.insert(index, unknown);
            index
        });
        if self.versions.len() > MAX_VERSIONS && index > 0 {
            self.versions.remove(0);
            index -= 1;
        }
        &mut self.versions[index]
    }

    /// The newest versions whose age is known, other than by an estimate: each with its age, none of which was
    /// announced earlier. Peers take each as the first one after the version before it.
    #[must_use]
    pub fn notices(&self, now: TimeMs) -> Vec<(WeightsVersion, DurationMs)> {
        let firm = self.versions.iter().rev().filter(|row| row.at.is_firm());
        let rows = firm.flat_map(|row| {
            let first = WeightsVersion(row.follows.0.saturating_add(1));
            let versions = [Some(row.version), (first < row.version).then_some(first)];
            let age_ms = row.at.age_ms(now);
            let versions = versions.into_iter().flatten();
            versions.filter_map(move |version| Some((version, age_ms?)))
        });
        rows.take(MAX_NOTICE_VERSIONS).collect()
    }

    /// The versions that others should know of: those whose grace period goes on, and whose age is known other
    /// than by an estimate.
    pub fn worth_recording(&self, now: TimeMs) -> impl Iterator<Item = &AnnouncedWeights> {
        let firm = self.versions.iter().filter(|row| row.at.is_firm());
        firm.filter(move |row| row.at.age_ms(now) < Some(row.grace_ms))
    }
}
