//! The state of the control, shared by its tasks.

use {
    super::vm_list::KnownVms,
    crate::{
        configuration_log::{CatchUp, ChangeBody, ChangeRecord, apply_record},
        membership::{
            Heartbeat, Introduction, LoadSummary, Member, MemberState, Membership, Transition,
        },
        peer::{Envelope, PeerRequest, PeerResponse},
        spread::{Action, Spread},
        timeline::{EventKind, HybridTime, Timeline},
    },
    cactusspur_core::{Configuration, EntryId, Generation, TimeMs, VmList},
    serde::Serialize,
    std::{collections::VecDeque, net::SocketAddr, sync::Arc},
    tokio::sync::watch,
};

/// The changes that are remembered for peers.
const MAX_REMEMBERED: usize = 64;

/// What operators see of the control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlView {
    /// The generation in force.
    pub generation: Generation,
    /// How long ago the platform was last known to have no newer one, in milliseconds.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether this process reads the table service for its failure domain.
    pub is_poller: bool,
    /// The other entry VMs.
    pub members: Vec<MemberView>,
}

/// What operators see of another entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// The name of its failure domain.
    pub failure_domain: String,
    /// Whether it is alive.
    pub state: MemberState,
    /// Where operators connect to, once it has said so.
    pub operators_address: Option<SocketAddr>,
    /// The generation of its configuration.
    pub generation: Generation,
    /// How long ago it was last heard, in milliseconds.
    #[serde(rename = "heard_ms_ago")]
    pub last_heartbeat_ms_ago: Option<u64>,
    /// Its requests in progress.
    pub in_progress: u64,
}

impl MemberView {
    fn of(member: &Member, now: TimeMs) -> Self {
        let introduction = member.introduction.as_ref();
        Self {
            name: member.name.clone(),
            failure_domain: member.failure_domain.clone(),
            state: member.state,
            operators_address: introduction.map(|known| known.operators_address),
            generation: member.generation,
            last_heartbeat_ms_ago: member.last_heartbeat_at_ms.map(|at| now.since(at).0),
            in_progress: member.load.in_progress,
        }
    }
}

/// The state of the control.
#[derive(Debug)]
pub(super) struct State {
    me: Introduction,
    pub(super) membership: Membership,
    pub(super) spread: Spread,
    pub(super) load: LoadSummary,
    pub(super) leaving: bool,
    pub(super) vms: KnownVms,
    vms_out: watch::Sender<Arc<VmList>>,
    recent: VecDeque<ChangeRecord>,
    force: watch::Sender<Arc<Configuration>>,
    timeline: Arc<Timeline>,
    actions: Vec<Action>,
    next_ask: u64,
}

impl State {
    pub(super) fn open(
        me: Introduction,
        seeds: &[SocketAddr],
        force: watch::Sender<Arc<Configuration>>,
        vms_out: watch::Sender<Arc<VmList>>,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            membership: Membership::new(&me, seeds),
            spread: Spread::new(me.started_at_ms),
            me,
            load: LoadSummary::default(),
            leaving: false,
            vms: KnownVms::default(),
            vms_out,
            recent: VecDeque::new(),
            force,
            timeline,
            actions: Vec::new(),
            next_ask: 0,
        }
    }

    /// Replaces what the process says of itself, once its address is bound.
    pub(super) fn introduce(&mut self, me: Introduction, seeds: &[SocketAddr]) {
        self.membership = Membership::new(&me, seeds);
        self.me = me;
    }

    fn heartbeat(&self, now: TimeMs) -> Heartbeat {
        Heartbeat {
            introduction: self.me.clone(),
            generation: self.spread.generation(),
            confirmed_ms_ago: self.spread.confirmed_ago(now).map(|ago| ago.0),
            load: self.load.clone(),
            leaving: self.leaving,
        }
    }

    fn envelope<M>(&self, now: TimeMs, number: u64, message: M) -> Envelope<M> {
        Envelope {
            from: self.me.entry(),
            incarnation: self.me.incarnation,
            number,
            sent_at: self.timeline.stamp(now),
            message,
        }
    }

    fn new_ask(&mut self, now: TimeMs, ask: PeerRequest) -> Envelope<PeerRequest> {
        self.next_ask += 1;
        self.envelope(now, self.next_ask, ask)
    }

    pub(super) fn new_heartbeat(&mut self, now: TimeMs) -> Envelope<PeerRequest> {
        let heartbeat = self.heartbeat(now);
        self.new_ask(now, PeerRequest::Heartbeat(heartbeat))
    }

    pub(super) fn new_pull(&mut self, now: TimeMs) -> Envelope<PeerRequest> {
        let after = self.spread.known().generation;
        self.new_ask(now, PeerRequest::PullChanges { after })
    }

    /// Answers a peer.
    pub(super) fn answer(
        &mut self,
        now: TimeMs,
        ask: Envelope<PeerRequest>,
    ) -> Envelope<PeerResponse> {
        self.timeline.observe(now, ask.sent_at);
        let answer = match ask.message {
            PeerRequest::Heartbeat(heartbeat) => {
                self.heard(now, ask.sent_at, heartbeat);
                PeerResponse::Heartbeat(self.heartbeat(now))
            }
            PeerRequest::PullChanges { after } => self.changes_after(after),
            PeerRequest::Vms => self.known_vms(now),
            // Only gateways keep copies of tables.
            PeerRequest::Notice(_) | PeerRequest::PullTables { .. } => PeerResponse::UpToDate,
        };
        self.envelope(now, ask.number, answer)
    }

    /// Takes a peer's heartbeat in.
    pub(super) fn heard(&mut self, now: TimeMs, stamp: HybridTime, heartbeat: Heartbeat) {
        let entry = heartbeat.introduction.entry();
        let generation = heartbeat.generation;
        let confirmed_ago = heartbeat.confirmed_ms_ago.map(Into::into);
        if entry == self.me.entry() {
            return;
        }
        let transition = self.membership.apply_heartbeat(now, stamp, heartbeat);
        self.note(now, transition);
        let actions = self
            .spread
            .apply_peer_generation(now, entry, generation, confirmed_ago);
        self.actions.extend(actions);
    }

    fn note<I>(&self, now: TimeMs, transitions: I)
    where
        I: IntoIterator<Item = Transition>,
    {
        for transition in transitions {
            tracing::info!(%transition, "an entry VM's state changed");
            self.timeline
                .record(now, EventKind::Member, transition.to_string());
        }
    }

    /// Takes in the answer to an ask.
    pub(super) fn answered(&mut self, now: TimeMs, answer: Envelope<PeerResponse>) {
        self.timeline.observe(now, answer.sent_at);
        match answer.message {
            PeerResponse::Heartbeat(heartbeat) => self.heard(now, answer.sent_at, heartbeat),
            PeerResponse::Changes { records_json } => self.pulled_changes(now, &records_json),
            PeerResponse::Snapshot { configuration_json } => {
                let snapshot = serde_json::from_slice(&configuration_json);
                self.pulled(now, snapshot.ok().map(Arc::new));
            }
            // Only gateways are asked for tables.
            PeerResponse::UpToDate | PeerResponse::Tables(_) => self.pulled(now, None),
            PeerResponse::Vms { list, age_ms } => {
                let as_of_ms = TimeMs(now.0.saturating_sub(age_ms.0));
                self.apply_vm_list(list.map(Arc::new), as_of_ms);
            }
        }
    }

    /// Takes a list of VMs in that was right at `as_of_ms`.
    pub(super) fn apply_vm_list(&mut self, list: Option<Arc<VmList>>, as_of_ms: TimeMs) {
        let Some(list) = list else {
            return;
        };
        if self.vms.take(Arc::clone(&list), as_of_ms) {
            self.membership.apply_vm_list(as_of_ms, &list.vms);
            self.vms_out.send_replace(list);
        }
    }

    fn known_vms(&self, now: TimeMs) -> PeerResponse {
        let newest = self.vms.newest(now);
        let age_ms = newest.map(|newest| newest.1).unwrap_or_default();
        let list = newest.map(|newest| newest.0.clone());
        PeerResponse::Vms { list, age_ms }
    }

    /// The address of the entry VM to ask for its list of VMs now, if any is to be asked.
    pub(super) fn vms_source(&mut self, now: TimeMs) -> Option<SocketAddr> {
        let ask = self.vms.ask_due(now)?;
        let members: Vec<&Member> = self.membership.members().collect();
        let member = members.get(ask % members.len().max(1))?;
        Some(member.peers_address)
    }

    pub(super) fn new_vms_ask(&mut self, now: TimeMs) -> Envelope<PeerRequest> {
        self.new_ask(now, PeerRequest::Vms)
    }

    /// Takes in that an ask for changes wasn't answered.
    pub(super) fn pull_failed(&mut self, now: TimeMs) {
        self.pulled(now, None);
    }

    fn pulled_changes(&mut self, now: TimeMs, records_json: &[u8]) {
        let records: Vec<ChangeRecord> = serde_json::from_slice(records_json).unwrap_or_default();
        let mut reached = Configuration::clone(self.spread.known());
        let mut taken = Vec::new();
        for record in records {
            let ChangeBody::Inline(change) = &record.body else {
                break;
            };
            if record.generation <= reached.generation {
                continue;
            }
            match apply_record(&reached, &record, change) {
                Ok(next) => reached = next,
                Err(report) => {
                    tracing::warn!(?report, "a peer's change was not taken");
                    break;
                }
            }
            taken.push(record);
        }
        if !taken.is_empty() {
            self.remember(taken);
            return self.pulled(now, Some(Arc::new(reached)));
        }
        self.pulled(now, None);
    }

    fn pulled(&mut self, now: TimeMs, configuration: Option<Arc<Configuration>>) {
        let actions = self.spread.apply_pull(now, configuration);
        self.actions.extend(actions);
    }

    /// Takes in what the table service gave to a read that began at `began_at`.
    pub(super) fn polled(&mut self, began_at: TimeMs, answer: Result<Option<CatchUp>, ()>) {
        let answer = answer.map(|caught_up| {
            caught_up.map(|caught_up| {
                self.remember(caught_up.records);
                Arc::new(caught_up.newest)
            })
        });
        let actions = self.spread.apply_poll(began_at, answer);
        self.actions.extend(actions);
    }

    /// Remembers changes for peers, but for those that are remembered already.
    fn remember(&mut self, records: Vec<ChangeRecord>) {
        let newest = self.recent.back().map(|record| record.generation);
        let new = records
            .into_iter()
            .filter(|record| Some(record.generation) > newest);
        self.recent.extend(new);
        self.forget_old_changes();
    }

    fn forget_old_changes(&mut self) {
        while self.recent.len() > MAX_REMEMBERED {
            self.recent.pop_front();
        }
    }

    /// The changes after a generation when they are remembered without a gap, else the whole.
    fn changes_after(&self, after: Generation) -> PeerResponse {
        let newest = self.spread.generation();
        if newest <= after {
            return PeerResponse::UpToDate;
        }
        let records: Vec<&ChangeRecord> = self
            .recent
            .iter()
            .filter(|record| record.generation > after && record.generation <= newest)
            .collect();
        let wanted = after.0 + 1..=newest.0;
        let whole = records.iter().map(|record| record.generation.0).eq(wanted);
        if whole && let Ok(records_json) = serde_json::to_vec(&records) {
            return PeerResponse::Changes { records_json };
        }
        let configuration: &Configuration = self.spread.known();
        serde_json::to_vec(configuration).map_or(PeerResponse::UpToDate, |configuration_json| {
            PeerResponse::Snapshot { configuration_json }
        })
    }

    /// Does what is due by time.
    pub(super) fn tick(&mut self, now: TimeMs) {
        let transitions = self.membership.tick(now);
        self.note(now, transitions);
        let is_poller = self.membership.is_poller();
        let actions = self.spread.tick(now, is_poller);
        self.actions.extend(actions);
        if let Some(ago) = self.spread.confirmed_ago(now) {
            let seconds = f64::from(u32::try_from(ago.0).unwrap_or(u32::MAX)) / 1_000.0;
            metrics::gauge!("cactusspur_configuration_confirmed_seconds").set(seconds);
        }
    }

    /// What has to be done by the runner. A configuration that comes into force is told here.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        let actions = std::mem::take(&mut self.actions);
        for action in &actions {
            if let Action::Activate(configuration) = action {
                self.force.send_replace(Arc::clone(configuration));
            }
        }
        actions
    }

    pub(super) fn address_of(&self, entry: EntryId) -> Option<SocketAddr> {
        let member = self.membership.member(entry)?;
        Some(member.peers_address)
    }

    pub(super) fn view(&self, now: TimeMs) -> ControlView {
        ControlView {
            generation: self.spread.generation(),
            confirmed_ms_ago: self.spread.confirmed_ago(now).map(|ago| ago.0),
            is_poller: self.membership.is_poller(),
            members: self
                .membership
                .members()
                .map(|member| MemberView::of(member, now))
                .collect(),
        }
    }
}
