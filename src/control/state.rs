//! The state of the control plane, shared by its tasks.

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

/// The most recent configuration changes that are kept for peers to pull.
const MAX_RECENT_CHANGES: usize = 64;

/// The state of the control plane, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlView {
    /// The generation of the active configuration.
    pub generation: Generation,
    /// How long ago the platform was last known to have no newer configuration, in milliseconds.
    /// `None` if that is unknown.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether this process polls the table service for its failure domain.
    pub is_poller: bool,
    /// The other entry VMs.
    pub members: Vec<MemberView>,
}

/// The state of another entry VM, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The VM's name.
    pub name: String,
    /// The name of the VM's failure domain.
    pub failure_domain: String,
    /// The VM's liveness.
    pub state: MemberState,
    /// The VM's address for operators; `None` before its first heartbeat.
    pub operators_address: Option<SocketAddr>,
    /// The generation of its active configuration.
    pub generation: Generation,
    /// How long ago its last heartbeat was received, in milliseconds; `None` before the first one.
    #[serde(rename = "heard_ms_ago")]
    pub last_heartbeat_ms_ago: Option<u64>,
    /// The VM's requests in progress.
    pub in_progress: u64,
}

impl MemberView {
    fn new(member: &Member, now: TimeMs) -> Self {
        let introduction = member.introduction.as_ref();
        Self {
            name: member.name.clone(),
            failure_domain: member.failure_domain.clone(),
            state: member.state,
            operators_address: introduction.map(|known| known.operators_address),
            generation: member.generation,
            last_heartbeat_ms_ago: member
                .last_heartbeat_at_ms
                .map(|received_at_ms| now.since(received_at_ms).0),
            in_progress: member.load.in_progress,
        }
    }
}

/// The state of the control plane.
#[derive(Debug)]
pub(super) struct ControlState {
    me: Introduction,
    pub(super) membership: Membership,
    pub(super) spread: Spread,
    pub(super) load: LoadSummary,
    pub(super) leaving: bool,
    pub(super) vms: KnownVms,
    vm_list: watch::Sender<Arc<VmList>>,
    recent_changes: VecDeque<ChangeRecord>,
    active_configuration: watch::Sender<Arc<Configuration>>,
    timeline: Arc<Timeline>,
    actions: Vec<Action>,
    last_request_number: u64,
}

impl ControlState {
    pub(super) fn new(
        me: Introduction,
        seeds: &[SocketAddr],
        active_configuration: watch::Sender<Arc<Configuration>>,
        vm_list: watch::Sender<Arc<VmList>>,
        timeline: Arc<Timeline>,
    ) -> Self {
        Self {
            membership: Membership::new(&me, seeds),
            spread: Spread::new(me.started_at_ms),
            me,
            load: LoadSummary::default(),
            leaving: false,
            vms: KnownVms::default(),
            vm_list,
            recent_changes: VecDeque::new(),
            active_configuration,
            timeline,
            actions: Vec::new(),
            last_request_number: 0,
        }
    }

    /// Replaces the introduction of this process once its address is bound.
    pub(super) fn set_introduction(&mut self, me: Introduction, seeds: &[SocketAddr]) {
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

    fn new_request(&mut self, now: TimeMs, request: PeerRequest) -> Envelope<PeerRequest> {
        self.last_request_number += 1;
        self.envelope(now, self.last_request_number, request)
    }

    pub(super) fn new_heartbeat(&mut self, now: TimeMs) -> Envelope<PeerRequest> {
        let heartbeat = self.heartbeat(now);
        self.new_request(now, PeerRequest::Heartbeat(heartbeat))
    }

    pub(super) fn new_pull(&mut self, now: TimeMs) -> Envelope<PeerRequest> {
        let after = self.spread.known().generation;
        self.new_request(now, PeerRequest::PullChanges { after })
    }

    /// The response to a peer's request.
    pub(super) fn answer(
        &mut self,
        now: TimeMs,
        request: Envelope<PeerRequest>,
    ) -> Envelope<PeerResponse> {
        self.timeline.observe(now, request.sent_at);
        let response = match request.message {
            PeerRequest::Heartbeat(heartbeat) => {
                self.apply_heartbeat(now, request.sent_at, heartbeat);
                PeerResponse::Heartbeat(self.heartbeat(now))
            }
            PeerRequest::PullChanges { after } => self.changes_after(after),
            PeerRequest::Vms => self.known_vms(now),
            // Only gateways replicate tables.
            PeerRequest::Notice(_)
            | PeerRequest::Join(_)
            | PeerRequest::NoticeToMerge(_)
            | PeerRequest::Digest { .. }
            | PeerRequest::StreamQuery { .. }
            | PeerRequest::OnlyVersionQuery { .. }
            | PeerRequest::OnlyVersion { .. }
            | PeerRequest::PullStreams
            | PeerRequest::PullTables { .. } => PeerResponse::UpToDate,
        };
        self.envelope(now, request.number, response)
    }

    /// Applies a peer's heartbeat.
    pub(super) fn apply_heartbeat(&mut self, now: TimeMs, stamp: HybridTime, heartbeat: Heartbeat) {
        let entry = heartbeat.introduction.entry();
        let generation = heartbeat.generation;
        let confirmed_ago = heartbeat.confirmed_ms_ago.map(Into::into);
        if entry == self.me.entry() {
            return;
        }
        let transition = self.membership.apply_heartbeat(now, stamp, heartbeat);
        self.record_transitions(now, transition);
        let actions = self
            .spread
            .apply_peer_generation(now, entry, generation, confirmed_ago);
        self.actions.extend(actions);
    }

    fn record_transitions<I>(&self, now: TimeMs, transitions: I)
    where
        I: IntoIterator<Item = Transition>,
    {
        for transition in transitions {
            tracing::info!(%transition, "entry VM changed state");
            self.timeline
                .record(now, EventKind::Member, transition.to_string());
        }
    }

    /// Applies the response to a request.
    pub(super) fn apply_response(&mut self, now: TimeMs, response: Envelope<PeerResponse>) {
        self.timeline.observe(now, response.sent_at);
        match response.message {
            PeerResponse::Heartbeat(heartbeat) => {
                self.apply_heartbeat(now, response.sent_at, heartbeat);
            }
            PeerResponse::Changes { records_json } => self.apply_pulled_changes(now, &records_json),
            PeerResponse::Snapshot { configuration_json } => {
                let snapshot = serde_json::from_slice(&configuration_json);
                self.apply_pull(now, snapshot.ok().map(Arc::new));
            }
            // Tables and streams are requested from gateways only.
            PeerResponse::UpToDate | PeerResponse::Tables(_) | PeerResponse::Streams(_) => {
                self.apply_pull(now, None);
            }
            PeerResponse::Vms { list, age_ms } => {
                let as_of_ms = TimeMs(now.0.saturating_sub(age_ms.0));
                self.apply_vm_list(list.map(Arc::new), as_of_ms);
            }
        }
    }

    /// Applies a list of VMs that was current at `as_of_ms`.
    pub(super) fn apply_vm_list(&mut self, list: Option<Arc<VmList>>, as_of_ms: TimeMs) {
        let Some(list) = list else {
            return;
        };
        if self.vms.update(Arc::clone(&list), as_of_ms) {
            self.membership.apply_vm_list(as_of_ms, &list.vms);
            self.vm_list.send_replace(list);
        }
    }

    fn known_vms(&self, now: TimeMs) -> PeerResponse {
        let newest = self.vms.newest(now);
        let age_ms = newest.map(|newest| newest.1).unwrap_or_default();
        let list = newest.map(|newest| newest.0.clone());
        PeerResponse::Vms { list, age_ms }
    }

    /// The address of the entry VM to request the list of VMs from; `None` if no request is due.
    pub(super) fn vms_source(&mut self, now: TimeMs) -> Option<SocketAddr> {
        let request_count = self.vms.next_request(now)?;
        let members: Vec<&Member> = self.membership.members().collect();
        let member = members.get(request_count % members.len().max(1))?;
        Some(member.peers_address)
    }

    pub(super) fn new_vms_request(&mut self, now: TimeMs) -> Envelope<PeerRequest> {
        self.new_request(now, PeerRequest::Vms)
    }

    /// Records that a pull of changes got no response.
    pub(super) fn pull_failed(&mut self, now: TimeMs) {
        self.apply_pull(now, None);
    }

    fn apply_pulled_changes(&mut self, now: TimeMs, records_json: &[u8]) {
        let records: Vec<ChangeRecord> = serde_json::from_slice(records_json).unwrap_or_default();
        let mut reached = Configuration::clone(self.spread.known());
        let mut applied = Vec::new();
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
                    tracing::warn!(?report, "rejected a configuration change from a peer");
                    break;
                }
            }
            applied.push(record);
        }
        if !applied.is_empty() {
            self.keep_changes(applied);
            return self.apply_pull(now, Some(Arc::new(reached)));
        }
        self.apply_pull(now, None);
    }

    fn apply_pull(&mut self, now: TimeMs, configuration: Option<Arc<Configuration>>) {
        let actions = self.spread.apply_pull(now, configuration);
        self.actions.extend(actions);
    }

    /// Applies the result of a read of the table service that started at `started_at_ms`.
    pub(super) fn apply_poll(
        &mut self,
        started_at_ms: TimeMs,
        response: Result<Option<CatchUp>, ()>,
    ) {
        let response = response.map(|caught_up| {
            caught_up.map(|caught_up| {
                self.keep_changes(caught_up.records);
                Arc::new(caught_up.newest)
            })
        });
        let actions = self.spread.apply_poll(started_at_ms, response);
        self.actions.extend(actions);
    }

    /// Keeps changes for peers, except those that are kept already.
    fn keep_changes(&mut self, records: Vec<ChangeRecord>) {
        let newest = self.recent_changes.back().map(|record| record.generation);
        let new = records
            .into_iter()
            .filter(|record| Some(record.generation) > newest);
        self.recent_changes.extend(new);
        self.remove_old_changes();
    }

    fn remove_old_changes(&mut self) {
        while self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// The changes after a generation if all of them are kept, else the whole configuration.
    fn changes_after(&self, after: Generation) -> PeerResponse {
        let newest = self.spread.generation();
        if newest <= after {
            return PeerResponse::UpToDate;
        }
        let records: Vec<&ChangeRecord> = self
            .recent_changes
            .iter()
            .filter(|record| record.generation > after && record.generation <= newest)
            .collect();
        let wanted_generations = after.0 + 1..=newest.0;
        let is_complete = records
            .iter()
            .map(|record| record.generation.0)
            .eq(wanted_generations);
        if is_complete && let Ok(records_json) = serde_json::to_vec(&records) {
            return PeerResponse::Changes { records_json };
        }
        let configuration: &Configuration = self.spread.known();
        serde_json::to_vec(configuration).map_or(PeerResponse::UpToDate, |configuration_json| {
            PeerResponse::Snapshot { configuration_json }
        })
    }

    /// Runs the time-driven updates.
    pub(super) fn tick(&mut self, now: TimeMs) {
        let transitions = self.membership.tick(now);
        self.record_transitions(now, transitions);
        let is_poller = self.membership.is_poller();
        let actions = self.spread.tick(now, is_poller);
        self.actions.extend(actions);
        if let Some(ago) = self.spread.confirmed_ago(now) {
            let seconds = f64::from(u32::try_from(ago.0).unwrap_or(u32::MAX)) / 1_000.0;
            metrics::gauge!("cactusspur_configuration_confirmed_seconds").set(seconds);
        }
    }

    /// Takes the actions that the runner has to execute. Publishes a configuration that is
    /// activated by one of them.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        let actions = std::mem::take(&mut self.actions);
        for action in &actions {
            if let Action::Activate(configuration) = action {
                self.active_configuration
                    .send_replace(Arc::clone(configuration));
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
                .map(|member| MemberView::new(member, now))
                .collect(),
        }
    }
}
