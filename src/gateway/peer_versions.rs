//! Which versions of messages other gateways read.
//!
//! Gateways of several builds run side by side while machines are replaced. Each asks one other at a time
//! what it reads, and tells what it reads itself. A gateway that hasn't said so lately reads version 1.

use {
    super::{Shared, clock::now},
    crate::peer::{
        Announcement, MessageError, NEWEST_VERSION, VERSION, open_sections, seal_sections,
    },
    bytes::Bytes,
    cactusspur_core::{DurationMs, TimeMs, VecMap},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The time between two questions.
const QUESTION_PERIOD: Duration = Duration::from_secs(1);
/// The least time between two questions to the same gateway.
const REPEAT_MS: DurationMs = DurationMs(20_000);
/// The rounds of questions without an announcement after which the last one no longer counts.
const VALID_ROUNDS: u64 = 3;
/// The least time between two log lines about messages of unknown versions.
const UNKNOWN_LOG_INTERVAL_MS: DurationMs = DurationMs(60_000);

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    asked_at_ms: Option<TimeMs>,
    announced: Option<Announced>,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    newest_version: u8,
    at_ms: TimeMs,
}

/// What the running gateways said of the versions that they read.
#[derive(Debug, Default)]
pub struct PeerVersions {
    rows: VecMap<SocketAddr, Row>,
    unknown_logged_at_ms: Option<TimeMs>,
}

impl PeerVersions {
    /// The newest version that both this gateway and another read.
    #[must_use]
    pub fn common(&self, address: SocketAddr, now: TimeMs) -> u8 {
        let row = self.rows.get(&address).copied().unwrap_or_default();
        let valid = row
            .announced
            .filter(|announced| now.since(announced.at_ms) < self.valid_ms());
        valid.map_or(VERSION, |announced| {
            announced.newest_version.clamp(VERSION, NEWEST_VERSION)
        })
    }

    /// Takes the gateway that is asked next: the one whose last question is the longest ago. Gateways that
    /// are no longer running are forgotten, since another build may take their place.
    pub fn next_question<R>(&mut self, running: R, now: TimeMs) -> Option<SocketAddr>
    where
        R: IntoIterator<Item = SocketAddr>,
    {
        let mut rows = VecMap::default();
        for address in running {
            let row = self.rows.get(&address).copied().unwrap_or_default();
            rows.insert(address, row);
        }
        self.rows = rows;
        let is_due = |row: &Row| {
            row.asked_at_ms
                .is_none_or(|at_ms| now.since(at_ms) >= REPEAT_MS)
        };
        let due = self.rows.iter_mut().filter(|row| is_due(row.1));
        let (address, row) = due.min_by_key(|row| row.1.asked_at_ms)?;
        row.asked_at_ms = Some(now);
        Some(*address)
    }

    /// Records an announcement of a running gateway. Returns whether it changes what is known.
    pub fn record(&mut self, announcement: &Announcement, now: TimeMs) -> bool {
        let Some(row) = self.rows.get_mut(&announcement.address) else {
            return false;
        };
        let newest_version = announcement.newest_version;
        let known = row.announced.replace(Announced {
            newest_version,
            at_ms: now,
        });
        known.is_none_or(|known| known.newest_version != newest_version)
    }

    /// Forgets what a gateway announced, since it has started anew, perhaps as another build.
    pub fn forget(&mut self, address: SocketAddr) {
        self.rows.remove(&address);
    }

    /// Returns whether a message of an unknown version is logged now.
    pub fn should_log_unknown(&mut self, now: TimeMs) -> bool {
        let is_due = self
            .unknown_logged_at_ms
            .is_none_or(|at_ms| now.since(at_ms) >= UNKNOWN_LOG_INTERVAL_MS);
        if is_due {
            self.unknown_logged_at_ms = Some(now);
        }
        is_due
    }

    /// How long an announcement counts: a question a second goes to one gateway after the other.
    fn valid_ms(&self) -> DurationMs {
        let period_ms = QUESTION_PERIOD.as_secs() * 1_000;
        let round_ms = REPEAT_MS.0.max(self.rows.len() as u64 * period_ms);
        DurationMs(VALID_ROUNDS * round_ms)
    }
}

/// Asks one gateway after the other which versions it reads.
pub(super) async fn ask_periodically(shared: Rc<Shared>) {
    loop {
        sleep(QUESTION_PERIOD).await;
        let now = now();
        let state = shared.state.borrow();
        let running: Vec<SocketAddr> = state.peers.running_addresses(now).collect();
        drop(state);
        let next = shared
            .peers
            .versions()
            .borrow_mut()
            .next_question(running, now);
        if let Some(address) = next {
            announce(&shared, address, true);
        }
    }
}

fn announce(shared: &Shared, receiver: SocketAddr, is_question: bool) {
    let announcement = Announcement {
        address: shared.settings.peers_address,
        newest_version: NEWEST_VERSION,
        is_question,
    };
    for (key, receivers) in shared.peers.keys().divide(vec![receiver]) {
        match seal_sections(&key, &announcement.sections()) {
            Ok(sealed) => shared.peers.send_sealed(sealed, receivers),
            Err(error) => tracing::error!(%error, "failed to encode an announcement"),
        }
    }
}

/// Handles a datagram of version 2.
pub(super) fn handle_sections(shared: &Shared, datagram: &Bytes) {
    let keys = shared.peers.keys();
    let sections = keys.open(|key| open_sections(key, datagram));
    let announcement = sections.and_then(|(sections, _)| Announcement::read(&sections));
    let announcement = match announcement {
        Ok(announcement) => announcement,
        Err(error) => {
            tracing::debug!(%error, "rejected a datagram with sections");
            return;
        }
    };
    let (address, version) = (announcement.address, announcement.newest_version);
    let is_news = shared
        .peers
        .versions()
        .borrow_mut()
        .record(&announcement, now());
    if is_news {
        tracing::info!(%address, version, "a peer announced the newest version that it reads");
    }
    if announcement.is_question {
        announce(shared, address, false);
    }
}

/// Records a datagram that was rejected. One of an unknown version comes from a newer build.
pub(super) fn record_rejected(shared: &Shared, sender: SocketAddr, error: MessageError) {
    let MessageError::Version { version } = error else {
        if error == MessageError::Key {
            shared.peers.record_rejected();
        }
        tracing::debug!(%error, "rejected a datagram");
        return;
    };
    metrics::counter!("cactusspur_unknown_version_datagrams_total").increment(1);
    let mut versions = shared.peers.versions().borrow_mut();
    if versions.should_log_unknown(now()) {
        tracing::warn!(%sender, version, "dropped a datagram of an unknown version");
    }
}
