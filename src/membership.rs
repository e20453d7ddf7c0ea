//! Tracks the entry VMs, their liveness, and the targets of this process's heartbeats.
//!
//! A state machine without I/O: the time is an argument. Members come from the seeds in the
//! settings, from the platform's list of VMs, and from the heartbeats of members themselves.
//!
//! Within a failure domain every pair of members exchanges heartbeats: one of the two sends, the
//! other answers, and the other sends too when it stops receiving. Between failure domains only
//! [`DELEGATES`] members of each domain exchange heartbeats, chosen by rendezvous hashing. The
//! interval grows with the number of contacts, so that the bytes sent per second stay constant.

mod load;
mod rendezvous;

pub use load::{LoadSummary, SentWork};

use {
    crate::timeline::HybridTime,
    cactusspur_core::{DomainId, DurationMs, EntryId, Generation, TimeMs, VecMap, Vm, VmRole},
    derive_more::Display,
    rendezvous::{Purpose, choose_members, pair_hash},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The shortest interval between two heartbeats to a member of the same failure domain.
pub const MIN_HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// The shortest interval between two heartbeats to a member of another failure domain.
pub const MIN_REMOTE_HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// The most heartbeats per second that are sent within the failure domain.
pub const MAX_HEARTBEATS_PER_SECOND: u64 = 2;
/// The most heartbeats per second that are sent to other failure domains.
pub const MAX_REMOTE_HEARTBEATS_PER_SECOND: u64 = 1;
/// Members of a failure domain that exchange heartbeats with other failure domains.
pub const DELEGATES: usize = 2;
/// Members of a failure domain that poll the table service.
pub const POLLERS: usize = 2;
/// Intervals without a heartbeat after which the answering member of a pair sends too.
const OVERDUE_INTERVALS: u64 = 2;
/// Intervals without a heartbeat after which a member is suspected.
pub const SUSPECT_INTERVALS: u64 = 3;
/// Intervals without a heartbeat after which a member is gone.
pub const GONE_INTERVALS: u64 = 10;
/// How long a member that is gone and no longer listed is kept.
pub const GONE_RETENTION_MS: DurationMs = DurationMs(300_000);
/// The most members that are kept.
pub const MAX_MEMBERS: usize = 4_096;

/// The identity and addresses of an entry VM's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The VM's name.
    pub name: String,
    /// The failure domain's name.
    pub failure_domain: String,
    /// The address for other entry VMs.
    pub peers_address: SocketAddr,
    /// The address for operators.
    pub operators_address: SocketAddr,
    /// Identifies this run of the process: a random number from its start.
    pub incarnation: u64,
    /// When the process started, by its own clock.
    pub started_at_ms: TimeMs,
}

impl Introduction {
    /// The id of the entry VM.
    #[must_use]
    pub fn entry(&self) -> EntryId {
        EntryId::from_name(&self.name)
    }

    /// The id of the failure domain.
    #[must_use]
    pub fn domain(&self) -> DomainId {
        DomainId::from_name(&self.failure_domain)
    }
}

/// The periodic report of an entry VM to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub introduction: Introduction,
    /// The generation of the sender's active configuration.
    pub generation: Generation,
    /// How long ago the platform was last known to have no newer configuration, in milliseconds.
    /// `None` if that is unknown.
    pub confirmed_ms_ago: Option<u64>,
    /// The sender's load.
    pub load: LoadSummary,
    /// Whether the sender is shutting down.
    pub leaving: bool,
}

/// The liveness of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It is listed, and no heartbeat was received yet.
    #[display("listed")]
    Listed,
    /// A heartbeat was received recently.
    #[display("alive")]
    Alive,
    /// No heartbeat was received for [`SUSPECT_INTERVALS`].
    #[display("suspected")]
    Suspected,
    /// No heartbeat was received for [`GONE_INTERVALS`], or the member has left.
    #[display("gone")]
    Gone,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{name} is {state}")]
pub struct Transition {
    /// The member's name.
    pub name: String,
    /// The member's new state.
    pub state: MemberState,
}

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The VM's name.
    pub name: String,
    /// The name of the VM's failure domain.
    pub failure_domain: String,
    /// The address that receives heartbeats.
    pub peers_address: SocketAddr,
    /// The introduction from its last heartbeat; `None` before the first one.
    pub introduction: Option<Introduction>,
    /// The member's liveness.
    pub state: MemberState,
    /// When its last heartbeat was received; `None` before the first one.
    pub last_heartbeat_at_ms: Option<TimeMs>,
    /// The stamp of its last heartbeat.
    pub last_stamp: HybridTime,
    /// The generation of its active configuration.
    pub generation: Generation,
    /// The load that it last reported.
    pub load: LoadSummary,
    domain: DomainId,
    listed: bool,
    known_since_ms: TimeMs,
    due_at_ms: TimeMs,
}

/// The destination of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address to send to.
    pub address: SocketAddr,
    /// The member's id; `None` for a seed whose member isn't known yet.
    pub entry: Option<EntryId>,
}

#[derive(Clone, Copy, Debug)]
struct Seed {
    address: SocketAddr,
    due_at_ms: TimeMs,
}

/// The entry VMs that this process knows.
#[derive(Debug)]
pub struct Membership {
    me: EntryId,
    domain: DomainId,
    local_address: SocketAddr,
    seeds: Vec<Seed>,
    members: VecMap<EntryId, Member>,
}

impl Membership {
    /// The membership at the start of a process, which knows only itself and its seeds.
    #[must_use]
    pub fn new(me: &Introduction, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().filter(|seed| **seed != me.peers_address);
        Self {
            me: me.entry(),
            domain: me.domain(),
            local_address: me.peers_address,
            seeds: seeds
                .map(|address| Seed {
                    address: *address,
                    due_at_ms: TimeMs::default(),
                })
                .collect(),
            members: VecMap::default(),
        }
    }

    /// The other entry VMs, in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, member)| member)
    }

    /// The other entry VM with this id, if it is known.
    #[must_use]
    pub fn member(&self, entry: EntryId) -> Option<&Member> {
        self.members.get(&entry)
    }

    /// Applies a heartbeat that was sent with `stamp`. Ignores heartbeats of an earlier
    /// incarnation and those older than one already received. Returns the change of the member's
    /// state, if any.
    pub fn apply_heartbeat(
        &mut self,
        now: TimeMs,
        stamp: HybridTime,
        heartbeat: Heartbeat,
    ) -> Option<Transition> {
        let introduction = &heartbeat.introduction;
        let entry = introduction.entry();
        if entry == self.me || self.is_full(entry) {
            return None;
        }
        let member = self
            .members
            .get_or_insert_with(entry, || Member::from_introduction(introduction, now));
        if member.is_outdated(introduction, stamp) {
            return None;
        }
        let state = if heartbeat.leaving {
            MemberState::Gone
        } else {
            MemberState::Alive
        };
        member.peers_address = introduction.peers_address;
        member
            .failure_domain
            .clone_from(&introduction.failure_domain);
        member.domain = introduction.domain();
        member.introduction = Some(heartbeat.introduction);
        member.last_heartbeat_at_ms = Some(now);
        member.last_stamp = stamp;
        member.generation = heartbeat.generation;
        member.load = heartbeat.load;
        member.set_state(state)
    }

    fn is_full(&self, entry: EntryId) -> bool {
        self.members.len() >= MAX_MEMBERS && !self.members.contains(&entry)
    }

    /// Applies the platform's list of VMs, which gives the peers' address of each entry VM.
    pub fn apply_vm_list(&mut self, now: TimeMs, vms: &[Vm]) {
        for (_, member) in self.members.iter_mut() {
            member.listed = false;
        }
        for vm in vms {
            self.apply_listed_vm(now, vm);
        }
    }

    fn apply_listed_vm(&mut self, now: TimeMs, vm: &Vm) {
        let is_entry = vm.role == VmRole::Entry;
        if !is_entry || vm.entry() == self.me || vm.leaving || self.is_full(vm.entry()) {
            return;
        }
        let Ok(address) = vm.address.parse() else {
            tracing::warn!(
                name = vm.name,
                address = vm.address,
                "listed entry VM has an invalid address"
            );
            return;
        };
        let member = self
            .members
            .get_or_insert_with(vm.entry(), || Member::from_list(vm, address, now));
        member.listed = true;
        if member.state == MemberState::Gone && member.peers_address != address {
            *member = Member::from_list(vm, address, now);
        }
    }

    /// Marks silent members as suspected and then gone, and removes those that have been gone for
    /// long. Returns the changes of state.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Transition> {
        let local_ms = self.local_interval_ms();
        let remote_ms = self.remote_interval_ms();
        let domain = self.domain;
        let mut transitions = Vec::new();
        for (_, member) in self.members.iter_mut() {
            let interval_ms = if member.domain == domain {
                local_ms
            } else {
                remote_ms
            };
            transitions.extend(member.update_liveness(now, interval_ms));
        }
        self.members.retain(|_, member| !member.is_expired(now));
        transitions
    }

    /// The targets whose heartbeat is due now. Schedules the next heartbeat of each at an interval
    /// that respects the limits on heartbeats per second.
    pub fn due_targets(&mut self, now: TimeMs) -> Vec<Target> {
        let (local, remote) = self.heartbeat_contacts(now);
        let mut targets = self.due_among(
            now,
            &local,
            MIN_HEARTBEAT_INTERVAL_MS,
            MAX_HEARTBEATS_PER_SECOND,
        );
        targets.extend(self.due_among(
            now,
            &remote,
            MIN_REMOTE_HEARTBEAT_INTERVAL_MS,
            MAX_REMOTE_HEARTBEATS_PER_SECOND,
        ));
        targets.extend(self.due_seeds(now));
        targets
    }

    fn due_among(
        &mut self,
        now: TimeMs,
        entries: &[EntryId],
        min_interval_ms: DurationMs,
        per_second: u64,
    ) -> Vec<Target> {
        let interval_ms = interval_within_rate(min_interval_ms, entries.len(), per_second);
        let mut targets = Vec::new();
        for entry in entries {
            let Some(member) = self.members.get_mut(entry) else {
                continue;
            };
            if member.due_at_ms > now {
                continue;
            }
            member.due_at_ms = now.after(interval_ms);
            targets.push(Target {
                address: member.peers_address,
                entry: Some(*entry),
            });
        }
        targets
    }

    /// The contacts to which this process sends heartbeats instead of only answering: those in its
    /// failure domain and those in others.
    fn heartbeat_contacts(&self, now: TimeMs) -> (Vec<EntryId>, Vec<EntryId>) {
        let local_ms = self.local_interval_ms();
        let remote_ms = self.remote_interval_ms();
        let is_sender = |entry: &EntryId, interval_ms| {
            let member = self.members.get(entry);
            member.is_some_and(|member| member.receives_from(self.me, *entry, now, interval_ms))
        };
        let local = self.members.iter();
        let local = local
            .filter(|(_, member)| member.domain == self.domain)
            .map(|(entry, _)| *entry);
        let remote = self.remote_contacts().into_iter();
        (
            local.filter(|entry| is_sender(entry, local_ms)).collect(),
            remote.filter(|entry| is_sender(entry, remote_ms)).collect(),
        )
    }

    fn due_seeds(&mut self, now: TimeMs) -> Vec<Target> {
        let known: Vec<SocketAddr> = self.members().map(|member| member.peers_address).collect();
        let local_address = self.local_address;
        let due = self.seeds.iter_mut().filter(|seed| {
            seed.due_at_ms <= now && seed.address != local_address && !known.contains(&seed.address)
        });
        due.map(|seed| {
            seed.due_at_ms = now.after(MIN_HEARTBEAT_INTERVAL_MS);
            Target {
                address: seed.address,
                entry: None,
            }
        })
        .collect()
    }

    /// The members that are notified immediately of a new generation: those at distances 1, 2,
    /// 4, ... in the ring of ids of the failure domain, so that forwarding reaches all of them in
    /// few steps. A delegate also notifies the delegates of other failure domains.
    #[must_use]
    pub fn announcement_targets(&self) -> Vec<Target> {
        let mut ring: Vec<EntryId> = self.present_members(self.domain).collect();
        ring.push(self.me);
        ring.sort_unstable();
        let position = ring.binary_search(&self.me).unwrap_or_default();
        let distances = std::iter::successors(Some(1), |distance| Some(distance * 2));
        let local = distances
            .take_while(|distance| *distance < ring.len())
            .map(|distance| ring[(position + distance) % ring.len()]);
        let mut entries: Vec<EntryId> = local.collect();
        entries.extend(self.remote_contacts());
        let member = |entry: &EntryId| self.members.get(entry);
        entries
            .iter()
            .filter_map(|entry| member(entry).map(|member| (entry, member)))
            .map(|(entry, member)| Target {
                address: member.peers_address,
                entry: Some(*entry),
            })
            .collect()
    }

    /// Whether this process polls the table service for its failure domain.
    #[must_use]
    pub fn is_poller(&self) -> bool {
        let candidates = self.present_members(self.domain).chain([self.me]);
        choose_members(Purpose::Poll, self.domain, candidates, POLLERS).contains(&self.me)
    }

    /// The loads of the members that are alive.
    pub fn loads(&self) -> impl Iterator<Item = (EntryId, &LoadSummary)> {
        let alive = self.members.iter();
        alive
            .filter(|(_, member)| member.state == MemberState::Alive)
            .map(|(entry, member)| (*entry, &member.load))
    }

    fn remote_contacts(&self) -> Vec<EntryId> {
        if !self.is_delegate() {
            return Vec::new();
        }
        let mut domains: Vec<DomainId> = self.members().map(|member| member.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
            .into_iter()
            .filter(|domain| *domain != self.domain)
            .flat_map(|domain| self.delegates_of(domain))
            .collect()
    }

    fn is_delegate(&self) -> bool {
        let candidates = self.present_members(self.domain).chain([self.me]);
        choose_members(Purpose::Delegate, self.domain, candidates, DELEGATES).contains(&self.me)
    }

    /// The delegates of another failure domain. When all of its members are gone, they are chosen
    /// from those.
    fn delegates_of(&self, domain: DomainId) -> Vec<EntryId> {
        let present_members = choose_members(
            Purpose::Delegate,
            domain,
            self.present_members(domain),
            DELEGATES,
        );
        if !present_members.is_empty() {
            return present_members;
        }
        let all = self.members.iter();
        let all = all
            .filter(|(_, member)| member.domain == domain)
            .map(|(entry, _)| *entry);
        choose_members(Purpose::Delegate, domain, all, DELEGATES)
    }

    /// The members of a failure domain that aren't gone, without this process.
    fn present_members(&self, domain: DomainId) -> impl Iterator<Item = EntryId> {
        let members = self.members.iter();
        members
            .filter(move |(_, member)| member.domain == domain && member.state != MemberState::Gone)
            .map(|(entry, _)| *entry)
    }

    /// The expected interval between heartbeats of a pair within the failure domain. Each member
    /// sends to about half of the others.
    fn local_interval_ms(&self) -> DurationMs {
        let contacts = self.present_members(self.domain).count();
        interval_within_rate(
            MIN_HEARTBEAT_INTERVAL_MS,
            contacts / 2,
            MAX_HEARTBEATS_PER_SECOND,
        )
    }

    /// The expected interval between heartbeats of two delegates in different failure domains.
    fn remote_interval_ms(&self) -> DurationMs {
        let mut domains: Vec<DomainId> = self.members().map(|member| member.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| *domain != self.domain);
        let contacts = domains.len() * DELEGATES;
        interval_within_rate(
            MIN_REMOTE_HEARTBEAT_INTERVAL_MS,
            contacts / 2,
            MAX_REMOTE_HEARTBEATS_PER_SECOND,
        )
    }
}

/// The shortest interval of at least `min_interval_ms` at which heartbeats to `contacts` members
/// stay within `per_second`.
fn interval_within_rate(
    min_interval_ms: DurationMs,
    contacts: usize,
    per_second: u64,
) -> DurationMs {
    let contacts = u64::try_from(contacts).unwrap_or(u64::MAX);
    let interval_at_rate = DurationMs(contacts.saturating_mul(1_000) / per_second);
    min_interval_ms.max(interval_at_rate)
}

impl Member {
    fn from_introduction(introduction: &Introduction, now: TimeMs) -> Self {
        Self {
            name: introduction.name.clone(),
            failure_domain: introduction.failure_domain.clone(),
            peers_address: introduction.peers_address,
            introduction: None,
            state: MemberState::Listed,
            last_heartbeat_at_ms: None,
            last_stamp: HybridTime::default(),
            generation: Generation::default(),
            load: LoadSummary::default(),
            domain: introduction.domain(),
            listed: false,
            known_since_ms: now,
            due_at_ms: now.after(MIN_HEARTBEAT_INTERVAL_MS),
        }
    }

    fn from_list(vm: &Vm, address: SocketAddr, now: TimeMs) -> Self {
        Self {
            name: vm.name.clone(),
            failure_domain: vm.failure_domain.clone(),
            peers_address: address,
            introduction: None,
            state: MemberState::Listed,
            last_heartbeat_at_ms: None,
            last_stamp: HybridTime::default(),
            generation: Generation::default(),
            load: LoadSummary::default(),
            domain: vm.domain(),
            listed: true,
            known_since_ms: now,
            due_at_ms: now,
        }
    }

    /// Whether a heartbeat is from an earlier incarnation or older than one already received.
    fn is_outdated(&self, introduction: &Introduction, stamp: HybridTime) -> bool {
        let Some(known) = &self.introduction else {
            return false;
        };
        if known.incarnation == introduction.incarnation {
            return stamp <= self.last_stamp;
        }
        self.state == MemberState::Alive && introduction.started_at_ms < known.started_at_ms
    }

    fn set_state(&mut self, state: MemberState) -> Option<Transition> {
        if self.state == state {
            return None;
        }
        self.state = state;
        Some(Transition {
            name: self.name.clone(),
            state,
        })
    }

    fn silence_ms(&self, now: TimeMs) -> DurationMs {
        now.since(self.last_heartbeat_at_ms.unwrap_or(self.known_since_ms))
    }

    fn update_liveness(&mut self, now: TimeMs, interval_ms: DurationMs) -> Option<Transition> {
        let silence_ms = self.silence_ms(now).0;
        if silence_ms >= interval_ms.0 * GONE_INTERVALS {
            return self.set_state(MemberState::Gone);
        }
        if silence_ms >= interval_ms.0 * SUSPECT_INTERVALS && self.state == MemberState::Alive {
            return self.set_state(MemberState::Suspected);
        }
        None
    }

    fn is_expired(&self, now: TimeMs) -> bool {
        self.state == MemberState::Gone && !self.listed && self.silence_ms(now) >= GONE_RETENTION_MS
    }

    /// Whether this member, `entry`, is sent heartbeats by `me`. One of each pair sends, chosen by a
    /// hash of both ids; the other sends too while its peer isn't alive or is overdue.
    fn receives_from(
        &self,
        me: EntryId,
        entry: EntryId,
        now: TimeMs,
        interval_ms: DurationMs,
    ) -> bool {
        let lower_id_sends = pair_hash(me, entry) & 1 == 0;
        let is_overdue = self.silence_ms(now).0 >= interval_ms.0 * OVERDUE_INTERVALS;
        self.state != MemberState::Alive || is_overdue || lower_id_sends == (me < entry)
    }
}
