//! What gateways tell each other and ask of each other.
//!
//! Notices go as datagrams: a lost one is made good by the next. To another failure domain one
//! datagram goes, and whoever gets it passes it on there. A gateway that hears of a newer
//! version of a table than it has, for longer than its own poll should take, pulls the tables
//! from the peer that told it.

use {
    super::{
        GatewayError, GatewaySettings, Shared,
        clock::now,
        kept_stores,
        notice::{Notice, RolloutNotice, StatusNotice},
        watch,
    },
    crate::{
        peer::{Envelope, PeerKey, PeerLink, PeerRequest, PeerResponse, PeerServer, SealedRequest},
        timeline::HybridTime,
    },
    bytes::Bytes,
    cactusspur_core::{
        DurationMs, EntryId, VecMap, WorkerId,
        gateway::{Load, Pace, PartUpdate},
    },
    error_stack::{Report, ResultExt},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::mpsc, time::sleep},
};

/// How often a gateway tells its peers that it runs and what it knows.
const NOTICE_PERIOD: Duration = Duration::from_secs(1);
/// How long notes about cached parts wait for others to travel with.
const NOTES_WAIT: Duration = Duration::from_millis(30);
/// Notes about cached parts in one datagram; more would not fit into one packet.
const MAX_NOTES: usize = 60;
/// How long a gateway waits for its own poll before it pulls a newer version from a peer.
const PULL_AFTER: Duration = Duration::from_millis(100);
/// How long it waits for a peer of its own failure domain before it pulls from another domain:
/// bytes between failure domains are paid for.
const PULL_FAR_AFTER: Duration = Duration::from_millis(700);
/// Other gateways that a notice names.
const MAX_OTHERS: usize = 4;
/// Notices that wait to be sent; further ones are dropped.
const MAX_OUTGOING: usize = 64;
/// The largest datagram.
const MAX_DATAGRAM_BYTES: usize = 8_192;
/// Peers that are told, from this one's place in the order of addresses on.
const MAX_TOLD: usize = 64;

/// A few addresses that are drawn anew each time, so that all are told sooner or later.
fn some_of(addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    let drawn = (0..MAX_OTHERS).filter_map(|_| {
        let count = addresses.len().max(1);
        addresses.get(rand::random_range(0..count)).copied()
    });
    drawn.collect()
}

/// A datagram and those it goes to.
type Outgoing = (Bytes, Vec<SocketAddr>);

/// Sends datagrams, as fast as the system takes them.
async fn send_out(socket: Rc<UdpSocket>, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some((datagram, told)) = outgoing.recv().await {
        for address in told {
            if let Err(error) = socket.send_to(&datagram, address).await {
                // The next notice says the same.
                tracing::debug!(%address, %error, "a notice was not sent");
            }
        }
    }
}

/// The ways to other gateways.
pub struct PeerGroup {
    socket: Rc<UdpSocket>,
    outbox: mpsc::Sender<Outgoing>,
    key: PeerKey,
    me: EntryId,
    name: String,
    address: SocketAddr,
    number: Cell<u64>,
    connection_pool: RefCell<VecMap<SocketAddr, Rc<PeerLink>>>,
    notes: RefCell<Vec<PartUpdate>>,
    sent_requests: RefCell<Vec<(WorkerId, DurationMs)>>,
    loads: RefCell<Vec<(WorkerId, Load)>>,
    paces: RefCell<Vec<(WorkerId, Pace)>>,
    is_flush_due: Cell<bool>,
    is_pulling: Cell<bool>,
}

impl PeerGroup {
    /// Binds the address for datagrams.
    ///
    /// # Errors
    ///
    /// When it can't be bound, or the shared key is too short.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self, Report<GatewayError>> {
        let socket = UdpSocket::bind(settings.peers_address)
            .await
            .change_context(GatewayError)
            .attach(settings.peers_address)?;
        let socket = Rc::new(socket);
        let (outbox, outgoing) = mpsc::channel(MAX_OUTGOING);
        ntex::rt::spawn(send_out(Rc::clone(&socket), outgoing));
        let key = PeerKey::derive(&settings.shared_key).change_context(GatewayError)?;
        Ok(Self {
            socket,
            outbox,
            key,
            me: EntryId::from_name(&settings.name),
            name: settings.name.clone(),
            address: settings.peers_address,
            number: Cell::new(0),
            connection_pool: RefCell::default(),
            notes: RefCell::default(),
            sent_requests: RefCell::default(),
            loads: RefCell::default(),
            paces: RefCell::default(),
            is_flush_due: Cell::new(false),
            is_pulling: Cell::new(false),
        })
    }

    /// Tells all peers what this gateway knows.
    pub fn announce(&self, shared: &Shared) {
        let notice = Notice {
            status: Some(self.status(shared)),
            ..self.notice(shared, Vec::new())
        };
        self.send(shared, notice);
    }

    /// Tells all peers what this gateway does as the holder of the lease on orders.
    pub fn announce_rollout(&self, shared: &Shared, rollout: RolloutNotice) {
        let notice = Notice {
            rollout: Some(rollout),
            ..self.notice(shared, Vec::new())
        };
        self.send(shared, notice);
    }

    /// Tells all peers soon that a prompt was sent to an engine.
    pub fn queue_sent_request(
        &self,
        shared: &Rc<Shared>,
        worker: WorkerId,
        reading_ms: DurationMs,
    ) {
        self.sent_requests.borrow_mut().push((worker, reading_ms));
        self.flush_soon(shared);
    }

    /// Tells all peers with the next notice what load a backend server told.
    pub fn queue_load(&self, worker: WorkerId, load: Load) {
        self.loads.borrow_mut().push((worker, load));
    }

    /// Tells all peers with the next notice what pace an engine has shown.
    pub fn queue_pace(&self, worker: WorkerId, sample: Pace) {
        self.paces.borrow_mut().push((worker, sample));
    }

    /// Tells all peers soon which parts a backend server holds.
    pub fn queue_parts(&self, shared: &Rc<Shared>, notes: &[PartUpdate]) {
        self.notes.borrow_mut().extend_from_slice(notes);
        self.flush_soon(shared);
    }

    fn flush_soon(&self, shared: &Rc<Shared>) {
        if self.is_flush_due.replace(true) {
            return;
        }
        let shared = Rc::clone(shared);
        ntex::rt::spawn(async move {
            sleep(NOTES_WAIT).await;
            let peers = &shared.peers;
            peers.is_flush_due.set(false);
            let notes = peers.notes.take();
            if notes.is_empty() {
                let notice = peers.notice(&shared, Vec::new());
                peers.send(&shared, notice);
            }
            for chunk in notes.chunks(MAX_NOTES) {
                let notice = peers.notice(&shared, chunk.to_vec());
                peers.send(&shared, notice);
            }
        });
    }

    /// Pulls the tables from the first peer that answers.
    pub async fn pull_from_first_available(&self, shared: &Rc<Shared>) {
        if self.is_pulling.replace(true) {
            return;
        }
        let addresses: Vec<SocketAddr> = shared.state.borrow().peers.addresses().collect();
        for address in addresses {
            if self.pull(shared, address).await {
                break;
            }
        }
        self.is_pulling.set(false);
    }

    /// Pulls the tables from one peer. Gives back whether it answered.
    async fn pull(&self, shared: &Rc<Shared>, address: SocketAddr) -> bool {
        let link = Rc::clone(
            self.connection_pool
                .borrow_mut()
                .get_or_insert_with(address, || {
                    Rc::new(PeerLink::new(address, self.key.clone()))
                }),
        );
        let known = shared.state.borrow().replica.heads();
        let ask = self.envelope(PeerRequest::PullTables { known });
        match link.call(now(), &ask).await {
            Ok(Envelope {
                message: PeerResponse::Tables(tables),
                ..
            }) => {
                let heads: Vec<u64> = tables.iter().map(|table| table.head).collect();
                tracing::info!(%address, ?heads, "tables pulled from a peer");
                let any = !tables.is_empty();
                for table in tables {
                    watch::merge_peer_copy(shared, table);
                }
                any
            }
            Ok(_) => false,
            Err(report) => {
                tracing::debug!(%address, ?report, "a peer did not answer");
                false
            }
        }
    }

    fn notice(&self, shared: &Shared, parts: Vec<PartUpdate>) -> Notice {
        Notice {
            address: Some(self.address),
            parts,
            decode_heavy_requests: shared.state.borrow().decode_heavy_requests,
            sent_requests: self.sent_requests.take(),
            loads: self.loads.take(),
            paces: self.paces.take(),
            ..Notice::default()
        }
    }

    fn status(&self, shared: &Shared) -> StatusNotice {
        let state = shared.state.borrow();
        StatusNotice {
            name: self.name.clone(),
            domain: shared.settings.domain.clone(),
            known_peers: some_of(&state.peers.addresses().collect::<Vec<_>>()),
            store_age_ms: state.store_age_ms(now()),
            newest_versions: state.replica.newest_versions(),
            weights: state.weights_notices(now()),
            kept_stores: state.kept_stores.watched(),
            is_stopping: shared.is_stopping.get(),
        }
    }

    fn send(&self, shared: &Shared, notice: Notice) {
        let own_domain = &shared.settings.domain;
        let state = shared.state.borrow();
        let receivers = state.peers.receivers(own_domain, rand::random(), now());
        drop(state);
        if !receivers.relays.is_empty() {
            let notice = Notice {
                should_relay: true,
                ..notice.clone()
            };
            self.send_to(notice, receivers.relays.iter());
        }
        let own_place = receivers
            .direct
            .partition_point(|address| *address < self.address);
        let told = receivers.direct.iter().cycle().skip(own_place);
        self.send_to(notice, told.take(receivers.direct.len().min(MAX_TOLD)));
    }

    /// Passes a notice of another failure domain on in this one.
    fn pass_on(&self, shared: &Shared, notice: &Notice) {
        let notice = Notice {
            should_relay: false,
            ..notice.clone()
        };
        let state = shared.state.borrow();
        let near: Vec<SocketAddr> = state.peers.addresses_in(&shared.settings.domain).collect();
        drop(state);
        self.send_to(notice, near.iter());
    }

    /// Tells the peers of this failure domain that a table has changed. They pull what is new, so
    /// that not all of them ask the store.
    pub fn announce_in_domain(&self, shared: &Shared) {
        let state = shared.state.borrow();
        let near: Vec<SocketAddr> = state.peers.addresses_in(&shared.settings.domain).collect();
        drop(state);
        self.announce_to(shared, &near);
    }

    /// Tells some peers what this gateway knows.
    fn announce_to(&self, shared: &Shared, peers: &[SocketAddr]) {
        // What others wait to hear of sends and parts isn't for these alone.
        let notice = Notice {
            address: Some(self.address),
            decode_heavy_requests: shared.state.borrow().decode_heavy_requests,
            status: Some(self.status(shared)),
            ..Notice::default()
        };
        self.send_to(notice, peers.iter());
    }

    fn send_to<'a, A>(&self, notice: Notice, told: A)
    where
        A: Iterator<Item = &'a SocketAddr>,
    {
        let told: Vec<SocketAddr> = told.copied().collect();
        if told.is_empty() {
            return;
        }
        let ask = self.envelope(PeerRequest::Notice(Box::new(notice)));
        let sealed: Bytes = match SealedRequest::seal(&self.key, &ask) {
            Ok(sealed) => sealed.into(),
            Err(error) => {
                tracing::error!(%error, "a notice can't be written");
                return;
            }
        };
        if self.outbox.try_send((sealed, told)).is_err() {
            // The next notice says the same.
            metrics::counter!("cactusspur_notices_dropped_total").increment(1);
        }
    }

    fn envelope<M>(&self, message: M) -> Envelope<M> {
        self.number.set(self.number.get() + 1);
        Envelope {
            from: self.me,
            incarnation: 0,
            number: self.number.get(),
            sent_at: HybridTime::default(),
            message,
        }
    }
}

/// Starts to tell peers, and to hear and answer them.
///
/// # Errors
///
/// When the address can't be bound.
pub fn spawn(shared: &Rc<Shared>) -> Result<(), Report<GatewayError>> {
    let answering = Rc::clone(shared);
    let server = PeerServer::bind(
        shared.settings.peers_address,
        shared.peers.key.clone(),
        move |ask| answer(&answering, &ask),
    )
    .change_context(GatewayError)?;
    ntex::rt::spawn(hear(Rc::clone(shared), server));
    ntex::rt::spawn(tell(Rc::clone(shared)));
    Ok(())
}

fn answer(shared: &Rc<Shared>, ask: &Envelope<PeerRequest>) -> Envelope<PeerResponse> {
    let message = match &ask.message {
        PeerRequest::PullTables { known } => {
            PeerResponse::Tables(shared.state.borrow().replica.changes_since(known))
        }
        _ => PeerResponse::UpToDate,
    };
    Envelope {
        number: ask.number,
        ..shared.peers.envelope(message)
    }
}

async fn tell(shared: Rc<Shared>) {
    loop {
        shared.peers.announce(&shared);
        shared.connection_pool.expire();
        sleep(NOTICE_PERIOD).await;
    }
}

/// Takes datagrams in. The server for asks lives as long as this does.
async fn hear(shared: Rc<Shared>, _server: PeerServer) {
    // How long to wait after the system refused to receive.
    const BACK_OFF: Duration = Duration::from_millis(100);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match shared.peers.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                let sealed = SealedRequest::from(Bytes::copy_from_slice(&buffer[..length]));
                match sealed.open(&shared.peers.key) {
                    Ok(Envelope {
                        message: PeerRequest::Notice(notice),
                        ..
                    }) => take_in(&shared, &notice),
                    Ok(_) => {}
                    Err(error) => tracing::debug!(%error, "not a peer's datagram"),
                }
            }
            Err(error) => {
                tracing::debug!(%error, "no datagram was received");
                sleep(BACK_OFF).await;
            }
        }
    }
}

fn take_in(shared: &Rc<Shared>, notice: &Notice) {
    let Some(address) = notice.address else {
        return;
    };
    if notice.should_relay {
        shared.peers.pass_on(shared, notice);
    }
    let now = now();
    let mut state = shared.state.borrow_mut();
    let status = notice.status.as_ref();
    for other in status.map_or(&[][..], |status| &status.known_peers) {
        if *other != shared.settings.peers_address {
            state.peers.add(*other);
        }
    }
    let is_new = state.peers.record_notice(address, notice, now);
    state.apply_notice(notice, now);
    drop(state);
    if is_new {
        // It may have started just now and know little.
        shared.peers.announce_to(shared, &[address]);
    }
    let Some(status) = status else {
        return;
    };
    for (store, told) in &status.kept_stores {
        kept_stores::record_answer(shared, *store, *told);
    }
    let state = shared.state.borrow();
    let is_near = state.peers.is_in(address, &shared.settings.domain);
    if is_behind(&state.replica.heads(), &status.newest_versions) {
        drop(state);
        let wait = if is_near { PULL_AFTER } else { PULL_FAR_AFTER };
        let newest = status.newest_versions.clone();
        ntex::rt::spawn(pull_later(Rc::clone(shared), address, newest, wait));
    }
}

fn is_behind(own: &[(String, u64)], told: &[(String, u64)]) -> bool {
    told.iter().any(|(table, head)| {
        let known = own.iter().find(|row| row.0 == *table);
        known.is_none_or(|row| row.1 < *head)
    })
}

async fn pull_later(
    shared: Rc<Shared>,
    address: SocketAddr,
    told: Vec<(String, u64)>,
    wait: Duration,
) {
    if shared.peers.is_pulling.get() {
        return;
    }
    sleep(wait).await;
    let still_behind = is_behind(&shared.state.borrow().replica.heads(), &told);
    if still_behind && !shared.peers.is_pulling.replace(true) {
        shared.peers.pull(&shared, address).await;
        shared.peers.is_pulling.set(false);
    }
}
