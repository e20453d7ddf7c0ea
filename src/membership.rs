//! Which entry VMs there are, which of them are alive, and whom to send heartbeats to.
//!
//! A state machine without I/O: the time is an argument. Members come from the seeds in the
//! settings, from the platform's list of VMs, and from the heartbeats of members themselves.
//!
//! Within a failure domain every two members exchange heartbeats; one of the two sends, the other
//! answers, and it sends as well once it hears nothing. Between failure domains only
//! [`DELEGATES`] members of each talk, chosen by rendezvous hashing. The more contacts a member
//! has, the longer the interval, so that its bytes a second stay flat.

mod load;
mod rendezvous;

pub use load::{LoadSummary, SentWork};

use {
    crate::timeline::HybridTime,
    cactusspur_core::{DomainId, DurationMs, EntryId, Generation, TimeMs, VecMap, Vm, VmRole},
    derive_more::Display,
    rendezvous::{Purpose, chosen, pair_hash},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The shortest interval between two heartbeats to a member of the own failure domain.
pub const MIN_HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// The shortest interval between two heartbeats to another failure domain.
pub const MIN_REMOTE_HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// Heartbeats a second to the own failure domain at the most.
pub const MAX_HEARTBEATS_PER_SECOND: u64 = 2;
/// Heartbeats a second to other failure domains at the most.
pub const MAX_REMOTE_HEARTBEATS_PER_SECOND: u64 = 1;
/// How many members of a failure domain talk to other failure domains.
pub const DELEGATES: usize = 2;
/// How many members of a failure domain poll the table service.
pub const POLLERS: usize = 2;
/// After how many intervals of silence the member that answers sends as well.
const OVERDUE_INTERVALS: u64 = 2;
/// How many intervals of silence make a member suspected.
pub const SUSPECT_INTERVALS: u64 = 3;
/// How many intervals of silence make a member count as gone.
pub const GONE_INTERVALS: u64 = 10;
/// How long a member that is gone and not listed is remembered.
pub const GONE_RETENTION_MS: DurationMs = DurationMs(300_000);
/// The members that are remembered at the most.
pub const MAX_MEMBERS: usize = 4_096;

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The VM's name.
    pub name: String,
    /// The failure domain's name.
    pub failure_domain: String,
    /// Where other entry VMs connect to.
    pub peers_address: SocketAddr,
    /// Where operators connect to.
    pub operators_address: SocketAddr,
    /// The life of the process: drawn at random at its start.
    pub incarnation: u64,
    /// When that life began, by the process's clock.
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

/// What a process says at short intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who says it.
    pub introduction: Introduction,
    /// The generation of its configuration.
    pub generation: Generation,
    /// How long ago the platform was last known to have no newer one, in milliseconds.
    pub confirmed_ms_ago: Option<u64>,
    /// What it does.
    pub load: LoadSummary,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Whether a member is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It is listed and was never heard.
    #[display("listed")]
    Listed,
    /// It was heard lately.
    #[display("alive")]
    Alive,
    /// It has been silent for some intervals.
    #[display("suspected")]
    Suspected,
    /// It has been silent for long, or has left.
    #[display("gone")]
    Gone,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{name} is {state}")]
pub struct Transition {
    /// The member's name.
    pub name: String,
    /// Its new state.
    pub state: MemberState,
}

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The name of its failure domain.
    pub failure_domain: String,
    /// Where it takes heartbeats.
    pub peers_address: SocketAddr,
    /// What it said of itself, once heard.
    pub introduction: Option<Introduction>,
    /// Whether it is alive.
    pub state: MemberState,
    /// When it was last heard.
    pub last_heartbeat_at_ms: Option<TimeMs>,
    /// The stamp of its last message.
    pub last_stamp: HybridTime,
    /// The generation of its configuration.
    pub generation: Generation,
    /// What it does.
    pub load: LoadSummary,
    domain: DomainId,
    listed: bool,
    known_since_ms: TimeMs,
    due_at_ms: TimeMs,
}

/// Where to send a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address.
    pub address: SocketAddr,
    /// The member, unless the address is a seed whose member isn't known yet.
    pub entry: Option<EntryId>,
}

#[derive(Clone, Copy, Debug)]
struct Seed {
    address: SocketAddr,
    due_at_ms: TimeMs,
}

/// The entry VMs that one of them knows.
#[derive(Debug)]
pub struct Membership {
    me: EntryId,
    domain: DomainId,
    own_address: SocketAddr,
    seeds: Vec<Seed>,
    members: VecMap<EntryId, Member>,
}

impl Membership {
    /// The membership as a process knows it at its start: only itself and its seeds.
    #[must_use]
    pub fn new(me: &Introduction, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().filter(|seed| **seed != me.peers_address);
        Self {
            me: me.entry(),
            domain: me.domain(),
            own_address: me.peers_address,
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

    /// The other entry VM with this id.
    #[must_use]
    pub fn member(&self, entry: EntryId) -> Option<&Member> {
        self.members.get(&entry)
    }

    /// Takes a heartbeat in, sent with `stamp`. Messages of an earlier life, and messages that
    /// are older than one that was heard already, are left out.
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
        member.become_state(state)
    }

    fn is_full(&self, entry: EntryId) -> bool {
        self.members.len() >= MAX_MEMBERS && !self.members.contains(&entry)
    }

    /// Takes the platform's list of VMs in. Of entry VMs, the list has the peers' address.
    pub fn apply_vm_list(&mut self, now: TimeMs, vms: &[Vm]) {
        for (_, member) in self.members.iter_mut() {
            member.listed = false;
        }
        for vm in vms {
            self.listed_vm(now, vm);
        }
    }

    fn listed_vm(&mut self, now: TimeMs, vm: &Vm) {
        let is_entry = vm.role == VmRole::Entry;
        if !is_entry || vm.entry() == self.me || vm.leaving || self.is_full(vm.entry()) {
            return;
        }
        let Ok(address) = vm.address.parse() else {
            tracing::warn!(name = vm.name, address = vm.address, "not an address");
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

    /// Makes silent members suspected and then gone, and forgets those long gone.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Transition> {
        let local_ms = self.local_interval();
        let remote_ms = self.remote_interval();
        let domain = self.domain;
        let mut transitions = Vec::new();
        for (_, member) in self.members.iter_mut() {
            let interval_ms = if member.domain == domain {
                local_ms
            } else {
                remote_ms
            };
            transitions.extend(member.silence(now, interval_ms));
        }
        self.members.retain(|_, member| !member.is_forgotten(now));
        transitions
    }

    /// Where to send heartbeats now. Each is due again after an interval that keeps to the limits
    /// on heartbeats a second.
    pub fn due_targets(&mut self, now: TimeMs) -> Vec<Target> {
        let (local, remote) = self.mine_to_send(now);
        let mut targets = self.due_of(
            now,
            &local,
            MIN_HEARTBEAT_INTERVAL_MS,
            MAX_HEARTBEATS_PER_SECOND,
        );
        targets.extend(self.due_of(
            now,
            &remote,
            MIN_REMOTE_HEARTBEAT_INTERVAL_MS,
            MAX_REMOTE_HEARTBEATS_PER_SECOND,
        ));
        targets.extend(self.due_seeds(now));
        targets
    }

    fn due_of(
        &mut self,
        now: TimeMs,
        entries: &[EntryId],
        shortest: DurationMs,
        per_second: u64,
    ) -> Vec<Target> {
        let interval_ms = interval_within(shortest, entries.len(), per_second);
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

    /// The contacts in the own failure domain and in others that this process sends heartbeats
    /// to, and doesn't only answer.
    fn mine_to_send(&self, now: TimeMs) -> (Vec<EntryId>, Vec<EntryId>) {
        let local_ms = self.local_interval();
        let remote_ms = self.remote_interval();
        let is_mine = |entry: &EntryId, interval_ms| {
            let member = self.members.get(entry);
            member.is_some_and(|member| member.is_mine_to_send(self.me, *entry, now, interval_ms))
        };
        let local = self.members.iter();
        let local = local
            .filter(|(_, member)| member.domain == self.domain)
            .map(|(entry, _)| *entry);
        let remote = self.remote_contacts().into_iter();
        (
            local.filter(|entry| is_mine(entry, local_ms)).collect(),
            remote.filter(|entry| is_mine(entry, remote_ms)).collect(),
        )
    }

    fn due_seeds(&mut self, now: TimeMs) -> Vec<Target> {
        let known: Vec<SocketAddr> = self.members().map(|member| member.peers_address).collect();
        let own_address = self.own_address;
        let due = self.seeds.iter_mut().filter(|seed| {
            seed.due_at_ms <= now && seed.address != own_address && !known.contains(&seed.address)
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

    /// The members to tell at once of a new generation: those at distances 1, 2, 4, ... in the
    /// order of the ids within the failure domain, so that all are reached in few steps when
    /// each passes it on, and the delegates of other failure domains for a delegate.
    #[must_use]
    pub fn announcement_targets(&self) -> Vec<Target> {
        let mut ring: Vec<EntryId> = self.living(self.domain).collect();
        ring.push(self.me);
        ring.sort_unstable();
        let place = ring.binary_search(&self.me).unwrap_or_default();
        let distances = std::iter::successors(Some(1), |distance| Some(distance * 2));
        let local = distances
            .take_while(|distance| *distance < ring.len())
            .map(|distance| ring[(place + distance) % ring.len()]);
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

    /// Whether this process is one of those of its failure domain that poll the table service.
    #[must_use]
    pub fn is_poller(&self) -> bool {
        let candidates = self.living(self.domain).chain([self.me]);
        chosen(Purpose::Poll, self.domain, candidates, POLLERS).contains(&self.me)
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
        let candidates = self.living(self.domain).chain([self.me]);
        chosen(Purpose::Delegate, self.domain, candidates, DELEGATES).contains(&self.me)
    }

    /// The delegates of another failure domain. When all of its members are gone, they are tried
    /// all the same.
    fn delegates_of(&self, domain: DomainId) -> Vec<EntryId> {
        let living = chosen(Purpose::Delegate, domain, self.living(domain), DELEGATES);
        if !living.is_empty() {
            return living;
        }
        let all = self.members.iter();
        let all = all
            .filter(|(_, member)| member.domain == domain)
            .map(|(entry, _)| *entry);
        chosen(Purpose::Delegate, domain, all, DELEGATES)
    }

    /// The members of a failure domain that aren't gone, besides this process.
    fn living(&self, domain: DomainId) -> impl Iterator<Item = EntryId> {
        let members = self.members.iter();
        members
            .filter(move |(_, member)| member.domain == domain && member.state != MemberState::Gone)
            .map(|(entry, _)| *entry)
    }

    /// The usual interval between two heartbeats of a pair in the own failure domain, of which
    /// each member sends to about half of the others.
    fn local_interval(&self) -> DurationMs {
        let contacts = self.living(self.domain).count();
        interval_within(
            MIN_HEARTBEAT_INTERVAL_MS,
            contacts / 2,
            MAX_HEARTBEATS_PER_SECOND,
        )
    }

    /// The same between failure domains.
    fn remote_interval(&self) -> DurationMs {
        let mut domains: Vec<DomainId> = self.members().map(|member| member.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| *domain != self.domain);
        let contacts = domains.len() * DELEGATES;
        interval_within(
            MIN_REMOTE_HEARTBEAT_INTERVAL_MS,
            contacts / 2,
            MAX_REMOTE_HEARTBEATS_PER_SECOND,
        )
    }
}

/// The shortest interval at which `contacts` heartbeats stay within `per_second`.
fn interval_within(shortest: DurationMs, contacts: usize, per_second: u64) -> DurationMs {
    let contacts = u64::try_from(contacts).unwrap_or(u64::MAX);
    let at_limit = DurationMs(contacts.saturating_mul(1_000) / per_second);
    shortest.max(at_limit)
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

    /// Whether a message is from an earlier life, or older than one that was heard.
    fn is_outdated(&self, introduction: &Introduction, stamp: HybridTime) -> bool {
        let Some(known) = &self.introduction else {
            return false;
        };
        if known.incarnation == introduction.incarnation {
            return stamp <= self.last_stamp;
        }
        self.state == MemberState::Alive && introduction.started_at_ms < known.started_at_ms
    }

    fn become_state(&mut self, state: MemberState) -> Option<Transition> {
        if self.state == state {
            return None;
        }
        self.state = state;
        Some(Transition {
            name: self.name.clone(),
            state,
        })
    }

    fn silent_ms(&self, now: TimeMs) -> DurationMs {
        now.since(self.last_heartbeat_at_ms.unwrap_or(self.known_since_ms))
    }

    fn silence(&mut self, now: TimeMs, interval_ms: DurationMs) -> Option<Transition> {
        let silent_ms = self.silent_ms(now).0;
        if silent_ms >= interval_ms.0 * GONE_INTERVALS {
            return self.become_state(MemberState::Gone);
        }
        if silent_ms >= interval_ms.0 * SUSPECT_INTERVALS && self.state == MemberState::Alive {
            return self.become_state(MemberState::Suspected);
        }
        None
    }

    fn is_forgotten(&self, now: TimeMs) -> bool {
        self.state == MemberState::Gone && !self.listed && self.silent_ms(now) >= GONE_RETENTION_MS
    }

    /// One of each two members sends; the other does as well when it hears nothing.
    fn is_mine_to_send(
        &self,
        me: EntryId,
        entry: EntryId,
        now: TimeMs,
        interval_ms: DurationMs,
    ) -> bool {
        let lower_sends = pair_hash(me, entry) & 1 == 0;
        let is_overdue = self.silent_ms(now).0 >= interval_ms.0 * OVERDUE_INTERVALS;
        self.state != MemberState::Alive || is_overdue || lower_sends == (me < entry)
    }
}
