//! Messages between gateways.
//!
//! Notices are sent as datagrams: the next notice makes up for a lost one. Another failure domain
//! is sent a single datagram, which its receiver relays to the other gateways there. A gateway that
//! learns of a newer version of a table than its own, and whose own poll doesn't fetch it in time,
//! pulls the tables from the peer that announced it.

use {
    super::{
        GatewayError, GatewaySettings, Shared,
        clock::now,
        digest::{Digest, Origin, Outgoing, SharedStatus, membership},
        kept_stores,
        notice::{Notice, RolloutNotice, StatusNotice},
        passing_on,
        peer_table::Member,
        peer_versions::{self, PeerVersions},
        pulls::Pulls,
        quarantine,
        replica::{StoreVersion, TableCopy},
        state::GatewayState,
        store_polls::PollTimes,
        usage,
        version_queries::{OnlyVersion, VersionQueries},
        versions, watch,
    },
    crate::{
        peer::{
            Envelope, KeyRing, PassLink, PeerKey, PeerLink, PeerRequest, PeerResponse, PeerServer,
            SECTIONS_VERSION, SealedRequest,
        },
        timeline::HybridTime,
    },
    bytes::Bytes,
    cactusspur_core::{
        DurationMs, EntryId, TimeMs, VecMap, WorkerId,
        gateway::{Load, Pace, PartUpdate, QuarantineReport, SoftwareKey, StreamKey, StreamOrigin},
    },
    error_stack::{Report, ResultExt},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// The time between two status notices.
const NOTICE_PERIOD: Duration = Duration::from_secs(1);
/// How long updates of cached parts and sent requests are collected before they are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(30);
/// Updates of cached parts in one datagram; more would not fit into one packet.
const MAX_PART_UPDATES: usize = 60;
/// Addresses of other gateways in a status notice.
const MAX_KNOWN_PEERS: usize = 4;
/// Datagrams that wait to be sent; further ones are dropped.
const MAX_QUEUED_NOTICES: usize = 512;
/// How long notices of other gateways are collected before they are handed out as a digest.
const DIGEST_DELAY: Duration = Duration::from_millis(50);
/// The time between two digests with the members and the state of the gateway that merges.
const STATUS_DIGEST_PERIOD: Duration = Duration::from_millis(500);
/// Streams that began in one notice.
const MAX_STREAMS: usize = 200;
/// Gateways that are asked for the origin of a stream.
const MAX_ASKED: usize = 32;
/// How long a caller that takes a stream up waits for the answers, and how often they are asked.
const QUERY_WAIT: Duration = Duration::from_millis(60);
const MAX_QUERIES: usize = 3;
/// Gateways that are asked whether a service has had a single version.
const MAX_VERSION_QUERIES: usize = 3;
/// How long a caller that takes a stream up waits for their answers, each of which takes a call to the store.
const VERSION_QUERY_WAIT: Duration = Duration::from_millis(150);
/// How long a starting gateway waits for a peer's answer before it asks another one.
const PULL_STREAMS_TIMEOUT: Duration = Duration::from_millis(250);
/// The waits before a starting gateway asks its seeds for the other gateways.
const JOIN_DELAYS_MS: [u64; 5] = [0, 60, 120, 240, 600];
/// The longest wait before a table is pulled on the word of a digest. Most members get the table
/// from their parent in the meantime.
const DIGEST_PULL_DELAY_MS: u64 = 700;
/// The largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 16_384;
/// Peers that are sent a notice directly: those that follow this gateway's address in the cyclic
/// order of addresses.
const MAX_DIRECT_RECEIVERS: usize = 64;

/// Returns a few random addresses. Each call draws again, so that every address is announced
/// eventually.
fn sample_addresses(addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    let sampled = (0..MAX_KNOWN_PEERS).filter_map(|_| {
        let count = addresses.len().max(1);
        addresses.get(rand::random_range(0..count)).copied()
    });
    sampled.collect()
}

/// A datagram and its receivers.
struct Datagram {
    sealed: Bytes,
    receivers: Vec<SocketAddr>,
}

/// Sends queued datagrams one after another.
async fn send_datagrams(socket: Rc<UdpSocket>, mut outgoing: mpsc::Receiver<Datagram>) {
    while let Some(Datagram { sealed, receivers }) = outgoing.recv().await {
        for address in receivers {
            if let Err(error) = socket.send_to(&sealed, address).await {
                // The next notice repeats the contents.
                tracing::debug!(%address, %error, "failed to send a notice");
            }
        }
    }
}

/// Sends notices and requests to other gateways.
pub struct PeerGroup {
    socket: Rc<UdpSocket>,
    outbox: mpsc::Sender<Datagram>,
    keys: KeyRing,
    /// Messages that no key opened since this was last read.
    rejected: Cell<u64>,
    entry_id: EntryId,
    name: String,
    address: SocketAddr,
    last_number: Cell<u64>,
    peer_links: RefCell<VecMap<SocketAddr, Rc<PeerLink>>>,
    part_updates: RefCell<Vec<PartUpdate>>,
    sent_requests: RefCell<Vec<(WorkerId, DurationMs)>>,
    loads: RefCell<Vec<(WorkerId, Load)>>,
    paces: RefCell<Vec<(WorkerId, Pace)>>,
    streams: RefCell<Vec<StreamOrigin>>,
    is_flush_due: Cell<bool>,
    is_digest_due: Cell<bool>,
    pulls: RefCell<Pulls>,
    version_queries: VersionQueries,
    versions: RefCell<PeerVersions>,
    /// The newest versions of the tables when the last short notice was sent.
    last_versions: RefCell<Vec<(String, StoreVersion)>>,
}

impl PeerGroup {
    /// Binds the UDP socket for notices.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the shared key is too short.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self, Report<GatewayError>> {
        let socket = UdpSocket::bind(settings.peers_address)
            .await
            .change_context(GatewayError)
            .attach(settings.peers_address)?;
        let socket = Rc::new(socket);
        let (outbox, outgoing) = mpsc::channel(MAX_QUEUED_NOTICES);
        ntex::rt::spawn(send_datagrams(Rc::clone(&socket), outgoing));
        let key = PeerKey::derive(&settings.shared_key).change_context(GatewayError)?;
        Ok(Self {
            socket,
            outbox,
            keys: key.into(),
            rejected: Cell::new(0),
            entry_id: EntryId::from_name(&settings.name),
            name: settings.name.clone(),
            address: settings.peers_address,
            last_number: Cell::new(0),
            peer_links: RefCell::default(),
            part_updates: RefCell::default(),
            sent_requests: RefCell::default(),
            loads: RefCell::default(),
            paces: RefCell::default(),
            streams: RefCell::default(),
            is_flush_due: Cell::new(false),
            is_digest_due: Cell::new(false),
            pulls: RefCell::default(),
            version_queries: VersionQueries::default(),
            versions: RefCell::default(),
            last_versions: RefCell::default(),
        })
    }

    /// Sends all peers a notice with the status of this gateway.
    pub fn announce(&self, shared: &Rc<Shared>) {
        let notice = Notice {
            status: Some(self.status(shared)),
            quarantine: shared.state.borrow().quarantine.report(now()),
            ..self.notice(shared, Vec::new())
        };
        self.send(shared, notice);
    }

    /// Sends all peers news of crashes at once.
    pub fn announce_quarantine(&self, shared: &Rc<Shared>, report: QuarantineReport) {
        let notice = Notice {
            quarantine: report,
            ..self.notice(shared, Vec::new())
        };
        self.send(shared, notice);
    }

    /// Sends all peers what customers used and were asked for.
    pub fn announce_usage(&self, shared: &Rc<Shared>) {
        let notice = self.notice(shared, Vec::new());
        self.send(shared, notice);
    }

    /// Sends all peers the state of the rollout that this gateway runs as the holder of the order
    /// lease.
    pub fn announce_rollout(&self, shared: &Rc<Shared>, rollout: RolloutNotice) {
        let notice = Notice {
            rollout: Some(rollout),
            ..self.notice(shared, Vec::new())
        };
        self.send(shared, notice);
    }

    /// Queues a request that was sent to an engine for a notice, and schedules the notice.
    pub fn queue_sent_request(
        &self,
        shared: &Rc<Shared>,
        worker: WorkerId,
        prefill_ms: DurationMs,
    ) {
        self.sent_requests.borrow_mut().push((worker, prefill_ms));
        self.flush_soon(shared);
    }

    /// Queues a load that a backend server reported for the next notice, which is scheduled if the server is
    /// brittle.
    pub fn queue_load(&self, shared: &Rc<Shared>, worker: WorkerId, load: Load) {
        self.loads.borrow_mut().push((worker, load));
        if load.brittle.is_some() {
            self.flush_soon(shared);
        }
    }

    /// Queues a pace sample of an engine for the next notice.
    pub fn queue_pace(&self, worker: WorkerId, sample: Pace) {
        self.paces.borrow_mut().push((worker, sample));
    }

    /// Queues where a stream began for the next notice, which is scheduled if the service has several
    /// versions.
    pub fn queue_stream(&self, shared: &Rc<Shared>, origin: StreamOrigin, is_urgent: bool) {
        self.streams.borrow_mut().push(origin);
        if is_urgent {
            self.flush_soon(shared);
        }
    }

    /// Asks other gateways where a stream began. `None` if none of those asked knows it.
    pub async fn ask_origin(&self, shared: &Rc<Shared>, stream: StreamKey) -> Option<SoftwareKey> {
        let known = || shared.state.borrow().stream_origins.get(stream);
        let mut receivers: Vec<SocketAddr> = shared.state.borrow().peers.addresses().collect();
        while receivers.len() > MAX_ASKED {
            receivers.swap_remove(rand::random_range(0..receivers.len()));
        }
        if receivers.is_empty() {
            return None;
        }
        for _ in 0..MAX_QUERIES {
            let message = PeerRequest::StreamQuery {
                stream,
                reply_to: self.address,
            };
            self.send_message(message, receivers.clone());
            let answered = async {
                loop {
                    let learned = shared.streams_learned.notified();
                    if let Some(software) = known() {
                        return software;
                    }
                    learned.await;
                }
            };
            if let Ok(software) = timeout(QUERY_WAIT, answered).await {
                return Some(software);
            }
        }
        None
    }

    /// Asks gateways that the store answers whether a service has had a single version, and which. `None` if it
    /// had several, or if none of those asked can tell in time.
    pub async fn ask_only_version(&self, shared: &Shared, service: &str) -> OnlyVersion {
        let receivers = shared
            .state
            .borrow()
            .peers
            .answered_by_store(MAX_VERSION_QUERIES, now());
        if receivers.is_empty() {
            return None;
        }
        let (query, answer) = self.version_queries.begin();
        let message = PeerRequest::OnlyVersionQuery {
            service: service.to_owned(),
            query,
            reply_to: self.address,
        };
        self.send_message(message, receivers);
        timeout(VERSION_QUERY_WAIT, answer).await.ok()?.ok()?
    }

    /// Answers another gateway's question for the only version of a service.
    pub fn send_only_version(&self, query: u64, software: OnlyVersion, reply_to: SocketAddr) {
        self.send_message(PeerRequest::OnlyVersion { query, software }, vec![reply_to]);
    }

    /// Gets the origins of all streams from some peer. Returns whether one answered.
    async fn pull_streams(&self, shared: &Rc<Shared>) -> bool {
        let mut addresses: Vec<SocketAddr> = shared.state.borrow().peers.addresses().collect();
        if addresses.is_empty() {
            return false;
        }
        let address = addresses.swap_remove(rand::random_range(0..addresses.len()));
        let link = PeerLink::new(address, (*self.keys.of(address)).clone());
        let request = self.envelope(PeerRequest::PullStreams);
        let answer = timeout(PULL_STREAMS_TIMEOUT, link.call(now(), &request)).await;
        let Ok(Ok(Envelope {
            message: PeerResponse::Streams(origins),
            ..
        })) = answer
        else {
            tracing::debug!(%address, "a peer did not tell where streams began");
            return false;
        };
        tracing::info!(%address, streams = origins.len(), "origins of streams pulled from a peer");
        let mut state = shared.state.borrow_mut();
        state.apply_stream_origins(&origins, now());
        drop(state);
        shared.streams_learned.notify_waiters();
        true
    }

    /// Tells a gateway where a stream began, if this one knows it.
    fn answer_stream_query(&self, shared: &Shared, stream: StreamKey, reply_to: SocketAddr) {
        let Some(software) = shared.state.borrow().stream_origins.get(stream) else {
            return;
        };
        let notice = Notice {
            address: Some(self.address),
            decode_heavy_requests: shared.state.borrow().decode_heavy_requests,
            streams: vec![StreamOrigin { stream, software }],
            ..Notice::default()
        };
        self.send_to(notice, std::iter::once(&reply_to));
    }

    /// Queues updates of cached parts for a notice, and schedules the notice.
    pub fn queue_parts(&self, shared: &Rc<Shared>, part_updates: &[PartUpdate]) {
        self.part_updates
            .borrow_mut()
            .extend_from_slice(part_updates);
        self.flush_soon(shared);
    }

    fn flush_soon(&self, shared: &Rc<Shared>) {
        if self.is_flush_due.replace(true) {
            return;
        }
        let shared = Rc::clone(shared);
        ntex::rt::spawn(async move {
            sleep(FLUSH_DELAY).await;
            let peers = &shared.peers;
            peers.is_flush_due.set(false);
            let part_updates = peers.part_updates.take();
            if part_updates.is_empty() {
                let notice = peers.notice(&shared, Vec::new());
                peers.send(&shared, notice);
            }
            for chunk in part_updates.chunks(MAX_PART_UPDATES) {
                let notice = peers.notice(&shared, chunk.to_vec());
                peers.send(&shared, notice);
            }
        });
    }

    /// Pulls the tables from some peers, for a gateway that can't read them from the store.
    pub fn pull_from_some(&self, shared: &Rc<Shared>) {
        let addresses: Vec<SocketAddr> = shared.state.borrow().peers.addresses().collect();
        let mut drawn = sample_addresses(&addresses);
        drawn.sort_unstable();
        drawn.dedup();
        for address in drawn {
            let shared = Rc::clone(shared);
            ntex::rt::spawn(async move { shared.peers.pull(&shared, address).await });
        }
    }

    /// Pulls the tables from one peer, unless as many pulls as permitted are in progress. A peer that
    /// doesn't answer in time gets a new connection the next time.
    async fn pull(&self, shared: &Rc<Shared>, address: SocketAddr) {
        if !self.pulls.borrow_mut().start(address) {
            return;
        }
        let link = Rc::clone(
            self.peer_links
                .borrow_mut()
                .get_or_insert_with(address, || {
                    Rc::new(PeerLink::new(address, (*self.keys.of(address)).clone()))
                }),
        );
        let times = shared.state.borrow().store_polls.times();
        let known = shared.state.borrow().replica.heads();
        let limit = Duration::from_millis(times.pull_timeout_ms(!known.is_empty()).0);
        let request = self.envelope(PeerRequest::PullTables { known });
        match timeout(limit, link.call(now(), &request)).await {
            Ok(Ok(Envelope {
                message: PeerResponse::Tables(tables),
                ..
            })) => merge_pulled(shared, address, tables),
            Ok(Ok(_)) => {}
            Ok(Err(report)) => tracing::debug!(%address, ?report, "a peer did not answer"),
            Err(_) => {
                tracing::debug!(%address, "a peer did not answer a pull in time");
                self.peer_links.borrow_mut().remove(&address);
            }
        }
        self.pulls.borrow_mut().end(address);
    }

    fn notice(&self, shared: &Shared, parts: Vec<PartUpdate>) -> Notice {
        Notice {
            address: Some(self.address),
            parts,
            decode_heavy_requests: shared.state.borrow().decode_heavy_requests,
            sent_requests: self.sent_requests.take(),
            loads: self.loads.take(),
            paces: self.paces.take(),
            streams: self.take_streams(),
            ..Notice::default()
        }
    }

    fn take_streams(&self) -> Vec<StreamOrigin> {
        let mut streams = self.streams.borrow_mut();
        let count = streams.len().min(MAX_STREAMS);
        streams.drain(..count).collect()
    }

    fn status(&self, shared: &Shared) -> StatusNotice {
        self.status_from(shared, &shared.state.borrow())
    }

    fn status_from(&self, shared: &Shared, state: &GatewayState) -> StatusNotice {
        StatusNotice {
            name: self.name.clone(),
            domain: shared.settings.domain.clone(),
            known_peers: sample_addresses(&state.peers.addresses().collect::<Vec<_>>()),
            store_age_ms: state.poll_age_ms(now()),
            newest_versions: state.replica.newest_versions(),
            weights: state.weights_notices(now()),
            past_versions: state.past_versions(now()),
            brittle_services: state.brittle_services.report(now()),
            version_records: state.past_versions.records().cloned().collect(),
            kept_stores: state.kept_stores.watched(),
            is_stopping: shared.is_stopping(),
            out_of_reach: state.reach.lost_keys(),
        }
    }

    /// Sends a notice to all peers, or in a large fleet to the one that merges notices.
    fn send(&self, shared: &Rc<Shared>, notice: Notice) {
        let now = now();
        let mut state = shared.state.borrow_mut();
        let notice = Notice {
            usage: state.report_usage(now),
            ..notice
        };
        if !state.peers.is_large_fleet(now) {
            drop(state);
            self.send_directly(shared, notice);
            return;
        }
        if let Some(aggregator) = state.peers.aggregator(now) {
            drop(state);
            let message = PeerRequest::NoticeToMerge(Box::new(notice));
            self.send_message(message, vec![aggregator]);
            return;
        }
        let origin = Origin::of(self.entry_id);
        state.collector.add_notice(origin, &notice);
        drop(state);
        self.hand_out_soon(shared);
    }

    fn send_directly(&self, shared: &Shared, notice: Notice) {
        let state = shared.state.borrow();
        let receivers = state.peers.receivers(rand::random(), now());
        drop(state);
        if !receivers.relays.is_empty() {
            let notice = Notice {
                should_relay: true,
                ..notice.clone()
            };
            self.send_to(notice, receivers.relays.iter());
        }
        let own_position = receivers
            .direct
            .partition_point(|address| *address < self.address);
        let rotated = receivers.direct.iter().cycle().skip(own_position);
        self.send_to(
            notice,
            rotated.take(receivers.direct.len().min(MAX_DIRECT_RECEIVERS)),
        );
    }

    /// Schedules a digest of what was merged.
    fn hand_out_soon(&self, shared: &Rc<Shared>) {
        if self.is_digest_due.replace(true) {
            return;
        }
        let shared = Rc::clone(shared);
        ntex::rt::spawn(async move {
            sleep(DIGEST_DELAY).await;
            let peers = &shared.peers;
            peers.is_digest_due.set(false);
            let mut state = shared.state.borrow_mut();
            let state = &mut *state;
            let outgoing = state
                .collector
                .hand_out(&state.peers, rand::random(), now());
            peers.send_all(outgoing);
        });
    }

    /// Hands out the members and the state of this gateway, if it merges notices. Asks a silent peer
    /// for others that may be back.
    fn hand_out_status(&self, shared: &Rc<Shared>) {
        let now = now();
        let mut state = shared.state.borrow_mut();
        state.peers.forget_silent(now);
        if !state.peers.is_large_fleet(now) || state.peers.aggregator(now).is_some() {
            return;
        }
        let own = self.own_member(shared, &state, now);
        let status = self.shared_status(&state, now);
        let decode_heavy = state.decode_heavy_requests;
        let state = &mut *state;
        state.collector.add_quarantine(state.quarantine.report(now));
        let outgoing = state.collector.hand_out_status(
            &own,
            decode_heavy,
            status,
            &state.peers,
            rand::random(),
            now,
        );
        self.send_all(outgoing);
        let silent = state.peers.silent_peer(rand::random(), now);
        if let Some(address) = silent {
            let notice = self.join_notice(shared, state);
            self.send_message(PeerRequest::Join(Box::new(notice)), vec![address]);
        }
    }

    fn own_member(&self, shared: &Shared, state: &GatewayState, now: TimeMs) -> Member {
        Member {
            address: self.address,
            name: self.name.clone(),
            age_ms: DurationMs(0),
            store_age_ms: state.poll_age_ms(now),
            is_stopping: shared.is_stopping(),
            out_of_reach: state.reach.lost_keys(),
        }
    }

    fn shared_status(&self, state: &GatewayState, now: TimeMs) -> SharedStatus {
        SharedStatus {
            address: self.address,
            newest_versions: state.replica.newest_versions(),
            weights: state.weights_notices(now),
            past_versions: state.past_versions(now),
            brittle_services: state.brittle_services.report(now),
        }
    }

    fn join_notice(&self, shared: &Shared, state: &GatewayState) -> Notice {
        Notice {
            address: Some(self.address),
            decode_heavy_requests: state.decode_heavy_requests,
            status: Some(self.status_from(shared, state)),
            ..Notice::default()
        }
    }

    /// Announces this gateway to all known peers and asks them for the others.
    pub(super) fn join(&self, shared: &Shared) {
        let state = shared.state.borrow();
        let known: Vec<SocketAddr> = state.peers.addresses().collect();
        let notice = self.join_notice(shared, &state);
        drop(state);
        if !known.is_empty() {
            self.send_message(PeerRequest::Join(Box::new(notice)), known);
        }
    }

    /// Tells a gateway which others there are.
    fn send_membership(&self, shared: &Shared, address: SocketAddr) {
        let now = now();
        let state = shared.state.borrow();
        let own = self.own_member(shared, &state, now);
        let status = self.shared_status(&state, now);
        let digest = Digest {
            quarantine: state.quarantine.report(now),
            ..membership(&state.peers, &own, state.decode_heavy_requests, status, now)
        };
        drop(state);
        let message = PeerRequest::Digest {
            pass_on_to: Vec::new(),
            is_to_merge: false,
            digest: Box::new(digest),
        };
        self.send_message(message, vec![address]);
    }

    fn send_all(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { message, receivers } in outgoing {
            self.send_message(message, receivers);
        }
    }

    /// Relays a notice from another failure domain to the peers of this one.
    fn relay(&self, shared: &Shared, notice: &Notice) {
        let notice = Notice {
            should_relay: false,
            ..notice.clone()
        };
        let local_peers: Vec<SocketAddr> = shared.state.borrow().peers.domain_addresses().collect();
        self.send_to(notice, local_peers.iter());
    }

    /// Sends some peers a status notice.
    pub(super) fn announce_to(&self, shared: &Shared, peers: &[SocketAddr]) {
        // The queued requests, loads and parts stay queued for the next notice to all peers.
        let notice = Notice {
            address: Some(self.address),
            decode_heavy_requests: shared.state.borrow().decode_heavy_requests,
            status: Some(self.status(shared)),
            quarantine: shared.state.borrow().quarantine.report(now()),
            ..Notice::default()
        };
        self.send_to(notice, peers.iter());
    }

    pub(super) fn send_to<'a, A>(&self, notice: Notice, receivers: A)
    where
        A: Iterator<Item = &'a SocketAddr>,
    {
        let receivers: Vec<SocketAddr> = receivers.copied().collect();
        if receivers.is_empty() {
            return;
        }
        self.send_message(PeerRequest::Notice(Box::new(notice)), receivers);
    }

    fn send_message(&self, message: PeerRequest, receivers: Vec<SocketAddr>) {
        let request = self.envelope(message);
        for (key, receivers) in self.keys.divide(receivers) {
            match SealedRequest::seal(&key, &request) {
                Ok(sealed) => self.send_sealed(sealed.into(), receivers),
                Err(error) => tracing::error!(%error, "failed to encode a notice"),
            }
        }
    }

    /// Queues a sealed datagram.
    pub(super) fn send_sealed(&self, sealed: Bytes, receivers: Vec<SocketAddr>) {
        if self
            .outbox
            .try_send(Datagram { sealed, receivers })
            .is_err()
        {
            // The next notice repeats the contents.
            metrics::counter!("cactusspur_notices_dropped_total").increment(1);
        }
    }

    /// Records the newest versions of the tables at a short notice. Returns those at the one before.
    pub(super) fn exchange_versions(
        &self,
        versions: Vec<(String, StoreVersion)>,
    ) -> Vec<(String, StoreVersion)> {
        self.last_versions.replace(versions)
    }

    /// The keys that seal messages.
    pub(super) const fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Records a message that no key opened.
    pub(super) fn record_rejected(&self) {
        self.rejected.set(self.rejected.get() + 1);
        metrics::counter!("cactusspur_unreadable_datagrams_total").increment(1);
    }

    /// Takes the number of messages that no key opened.
    pub(super) fn take_rejected(&self) -> u64 {
        self.rejected.take()
    }

    /// Which versions of messages the peers read.
    pub(super) const fn versions(&self) -> &RefCell<PeerVersions> {
        &self.versions
    }

    /// A link for requests that are passed on to a peer.
    #[must_use]
    pub fn pass_link(&self, address: SocketAddr) -> PassLink {
        PassLink::new(address, (*self.keys.of(address)).clone())
    }

    /// A message with the fields that all messages have.
    pub fn envelope<M>(&self, message: M) -> Envelope<M> {
        self.last_number.set(self.last_number.get() + 1);
        Envelope {
            from: self.entry_id,
            incarnation: 0,
            number: self.last_number.get(),
            sent_at: HybridTime::default(),
            message,
        }
    }
}

/// Starts the server for peers' requests and the tasks that send and receive notices.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn spawn(shared: &Rc<Shared>) -> Result<(), Report<GatewayError>> {
    let server_shared = Rc::clone(shared);
    let server = PeerServer::bind_taking(
        shared.settings.peers_address,
        shared.peers.keys.clone(),
        move |request| answer_request(&server_shared, &request),
        Some(passing_on::taker(shared)),
    )
    .change_context(GatewayError)?;
    ntex::rt::spawn(receive_notices(Rc::clone(shared), server));
    ntex::rt::spawn(announce_periodically(Rc::clone(shared)));
    ntex::rt::spawn(hand_out_status_periodically(Rc::clone(shared)));
    ntex::rt::spawn(join_at_start(Rc::clone(shared)));
    ntex::rt::spawn(peer_versions::ask_periodically(Rc::clone(shared)));
    Ok(())
}

fn answer_request(shared: &Rc<Shared>, request: &Envelope<PeerRequest>) -> Envelope<PeerResponse> {
    let message = match &request.message {
        PeerRequest::PullTables { known } => {
            PeerResponse::Tables(shared.state.borrow().replica.changes_since(known))
        }
        PeerRequest::PullStreams => {
            PeerResponse::Streams(shared.state.borrow().stream_origins.iter().collect())
        }
        _ => PeerResponse::UpToDate,
    };
    Envelope {
        number: request.number,
        ..shared.peers.envelope(message)
    }
}

async fn announce_periodically(shared: Rc<Shared>) {
    loop {
        shared.peers.announce(&shared);
        usage::record_levels(&shared);
        shared.state.borrow_mut().update_all_rooms(now());
        shared.connection_pool.close_expired();
        sleep(NOTICE_PERIOD).await;
    }
}

async fn hand_out_status_periodically(shared: Rc<Shared>) {
    loop {
        sleep(STATUS_DIGEST_PERIOD).await;
        shared.peers.hand_out_status(&shared);
    }
}

async fn join_at_start(shared: Rc<Shared>) {
    let mut has_streams = false;
    for wait_ms in JOIN_DELAYS_MS {
        sleep(Duration::from_millis(wait_ms)).await;
        shared.peers.join(&shared);
        if !has_streams {
            has_streams = shared.peers.pull_streams(&shared).await;
        }
    }
}

/// Receives datagrams. Owns the server for peers' requests, which stops when this future is dropped.
async fn receive_notices(shared: Rc<Shared>, _server: PeerServer) {
    // The wait after a failure to receive.
    const RETRY_DELAY: Duration = Duration::from_millis(100);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match shared.peers.socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => {
                let datagram = Bytes::copy_from_slice(&buffer[..length]);
                if datagram.first() == Some(&SECTIONS_VERSION) {
                    peer_versions::handle_sections(&shared, &datagram);
                    continue;
                }
                let sealed = SealedRequest::from(datagram);
                match shared.peers.keys.open(|key| sealed.open(key)) {
                    Ok((envelope, key)) => {
                        if shared.peers.keys.record_used(sender, &key) {
                            shared.peers.peer_links.borrow_mut().remove(&sender);
                        }
                        handle_datagram(&shared, envelope);
                    }
                    Err(error) => peer_versions::record_rejected(&shared, sender, error),
                }
            }
            Err(error) => {
                tracing::debug!(%error, "failed to receive a datagram");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn handle_datagram(shared: &Rc<Shared>, envelope: Envelope<PeerRequest>) {
    match envelope.message {
        PeerRequest::Notice(notice) => handle_notice(shared, envelope.from, &notice),
        PeerRequest::Join(notice) => {
            handle_notice(shared, envelope.from, &notice);
            if let Some(address) = notice.address {
                shared.peers.versions.borrow_mut().forget(address);
                shared.peers.send_membership(shared, address);
            }
        }
        PeerRequest::NoticeToMerge(notice) => {
            handle_notice_to_merge(shared, envelope.from, &notice);
        }
        PeerRequest::Digest {
            pass_on_to,
            is_to_merge,
            digest,
        } => handle_digest(shared, pass_on_to, is_to_merge, digest),
        PeerRequest::StreamQuery { stream, reply_to } => {
            shared.peers.answer_stream_query(shared, stream, reply_to);
        }
        PeerRequest::OnlyVersionQuery {
            service,
            query,
            reply_to,
        } => {
            let answer = versions::answer_only_version(Rc::clone(shared), service, query, reply_to);
            ntex::rt::spawn(answer);
        }
        PeerRequest::OnlyVersion { query, software } => {
            shared.peers.version_queries.answer(query, software);
        }
        PeerRequest::Heartbeat(_)
        | PeerRequest::PullStreams
        | PeerRequest::PullChanges { .. }
        | PeerRequest::PullTables { .. }
        | PeerRequest::Vms => tracing::debug!("ignored a request that must come over a connection"),
    }
}

/// Handles a notice of a member of this failure domain, which this gateway merges with others.
fn handle_notice_to_merge(shared: &Rc<Shared>, sender: EntryId, notice: &Notice) {
    handle_notice(shared, sender, notice);
    let mut state = shared.state.borrow_mut();
    state.collector.add_notice(Origin::of(sender), notice);
    // The sender may not know the member that comes first in the order.
    let is_elsewhere = notice.status.is_some() && state.peers.aggregator(now()).is_some();
    drop(state);
    shared.peers.hand_out_soon(shared);
    if let Some(address) = notice.address.filter(|_| is_elsewhere) {
        shared.peers.send_membership(shared, address);
    }
}

/// Handles a digest: passes it on, takes in its contents, and merges it if it comes from another
/// failure domain.
fn handle_digest(
    shared: &Rc<Shared>,
    pass_on_to: Vec<SocketAddr>,
    is_to_merge: bool,
    digest: Box<Digest>,
) {
    if !pass_on_to.is_empty() {
        let message = PeerRequest::Digest {
            pass_on_to: Vec::new(),
            is_to_merge: false,
            digest: digest.clone(),
        };
        shared.peers.send_message(message, pass_on_to);
    }
    let now = now();
    let mut state = shared.state.borrow_mut();
    if !is_to_merge {
        state.peers.record_digest(now);
    }
    state.apply_digest(&digest, Origin::of(shared.peers.entry_id), now);
    if !digest.streams.is_empty() {
        shared.streams_learned.notify_waiters();
    }
    // A gateway that doesn't know the first member of its domain merges notices by itself.
    let status = digest.status.as_ref().filter(|_| is_to_merge);
    let misplaced = status
        .map(|status| status.address)
        .filter(|address| !state.peers.remote_aggregators(0, now).contains(address));
    drop(state);
    if let Some(address) = misplaced {
        shared.peers.send_membership(shared, address);
    }
    quarantine::apply(shared, &digest.quarantine);
    for (store, incarnation) in &digest.kept_stores {
        kept_stores::record_answer(shared, *store, *incarnation);
    }
    if let Some(status) = &digest.status {
        let wait = Duration::from_millis(rand::random_range(0..DIGEST_PULL_DELAY_MS));
        pull_if_behind(shared, status.address, &status.newest_versions, wait);
    }
    if is_to_merge {
        shared.state.borrow_mut().collector.add_digest(*digest);
        shared.peers.hand_out_soon(shared);
    }
}

/// Handles a notice that `sender` sent or relayed.
fn handle_notice(shared: &Rc<Shared>, sender: EntryId, notice: &Notice) {
    let Some(address) = notice.address else {
        return;
    };
    if notice.should_relay {
        shared.peers.relay(shared, notice);
    }
    let now = now();
    let mut state = shared.state.borrow_mut();
    let status = notice.status.as_ref();
    for other in status.map_or(&[][..], |status| &status.known_peers) {
        state.peers.add(*other);
    }
    let times = state.store_polls.times();
    let was_polling = state.peers.is_polling(address, times, now);
    let is_new = state.peers.record_notice(address, notice, now);
    if was_polling && !state.peers.is_polling(address, times, now) {
        shared.pollers_changed.notify_waiters();
    }
    state.apply_notice(notice, now);
    if !notice.streams.is_empty() {
        shared.streams_learned.notify_waiters();
    }
    let is_large_fleet = state.peers.is_large_fleet(now);
    let is_local = state.peers.is_in_domain(address);
    let store_age_ms = state.poll_age_ms(now);
    drop(state);
    quarantine::apply(shared, &notice.quarantine);
    if is_new {
        // The peer may have just started and lack the current state.
        shared.peers.announce_to(shared, &[address]);
    }
    let Some(status) = status else {
        return;
    };
    for (store, incarnation) in &status.kept_stores {
        kept_stores::record_answer(shared, *store, *incarnation);
    }
    let news = ChangeNews {
        is_local,
        is_direct: sender == EntryId::from_name(&status.name),
        is_large_fleet,
    };
    let wait = news.pull_delay(store_age_ms, times, rand::random());
    pull_if_behind(shared, address, &status.newest_versions, wait);
}

/// How a gateway hears that a peer knows a newer version of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeNews {
    /// Whether the peer is in the gateway's failure domain.
    pub is_local: bool,
    /// Whether the peer itself sent the notice, and not one that relays it to all members of a domain.
    pub is_direct: bool,
    /// Whether the fleet is large.
    pub is_large_fleet: bool,
}

impl ChangeNews {
    /// How long the gateway waits before it pulls the version from the peer, by how long ago the store last
    /// answered the gateway; `None` if it doesn't poll. `random` spreads the pulls of a domain's members.
    #[must_use]
    pub fn pull_delay(
        self,
        store_age_ms: Option<DurationMs>,
        times: PollTimes,
        random: u64,
    ) -> Duration {
        let spread = Duration::from_millis(random % times.pull_spread_ms().0.max(1));
        match (self.is_local, self.is_direct) {
            (true, _) if store_age_ms.is_none() => spread,
            // Few gateways of each domain are told themselves. Their own domain usually comes first.
            (false, true) => Duration::from_millis(times.pull_delay_ms().0) + spread,
            _ => pull_delay(self.is_local, self.is_large_fleet, store_age_ms, times),
        }
    }
}

/// How long a gateway waits before it pulls a newer version from the peer that announced it, by
/// whether the peer is in its failure domain, whether the fleet is large, and how long ago the store
/// last answered this gateway; `None` if it doesn't poll.
#[must_use]
pub fn pull_delay(
    is_local: bool,
    is_large_fleet: bool,
    store_age_ms: Option<DurationMs>,
    times: PollTimes,
) -> Duration {
    let is_store_silent = store_age_ms.is_some_and(|age| age > times.silent_after_ms());
    let wait_ms = match (is_local, is_large_fleet) {
        // A member is sent notices of changes by its parent, which already has them.
        (true, true) => DurationMs(0),
        (true, false) => times.pull_delay_ms(),
        // Neither this gateway nor its domain may hear from the store for as long as a poll takes to
        // time out.
        (false, _) if is_store_silent => times.pull_delay_ms(),
        (false, _) => times.remote_pull_delay_ms(),
    };
    Duration::from_millis(wait_ms.0)
}

/// Schedules a pull of the tables from a peer that has newer versions.
fn pull_if_behind(
    shared: &Rc<Shared>,
    address: SocketAddr,
    peer_versions: &[(String, StoreVersion)],
    wait: Duration,
) {
    if !shared.state.borrow().replica.is_behind(peer_versions) {
        return;
    }
    ntex::rt::spawn(pull_if_still_behind(
        Rc::clone(shared),
        address,
        peer_versions.to_vec(),
        wait,
    ));
}

async fn pull_if_still_behind(
    shared: Rc<Shared>,
    address: SocketAddr,
    peer_versions: Vec<(String, StoreVersion)>,
    wait: Duration,
) {
    sleep(wait).await;
    let still_behind = shared.state.borrow().replica.is_behind(&peer_versions);
    if still_behind {
        shared.peers.pull(&shared, address).await;
    }
}

fn merge_pulled(shared: &Rc<Shared>, address: SocketAddr, tables: Vec<TableCopy>) {
    let heads: Vec<String> = tables.iter().map(|table| table.head.to_string()).collect();
    tracing::info!(%address, ?heads, "tables pulled from a peer");
    for table in tables {
        watch::merge(shared, table, address);
    }
}
