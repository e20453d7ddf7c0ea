//! Tests of the state machines for membership and configuration distribution, with the time as an
//! argument, and of a small simulation of many processes that run them.

use {
    cactusspur::{
        membership::{
            GONE_INTERVALS, Heartbeat, Introduction, LoadSummary, MIN_HEARTBEAT_INTERVAL_MS,
            MemberState, Membership, POLLERS, SUSPECT_INTERVALS,
        },
        spread::{Action, STALE_AFTER_MS, STARTUP_WAIT_MS, Spread},
        timeline::HybridTime,
    },
    cactusspur_core::{Configuration, DurationMs, EntryId, Generation, TimeMs, Vm, VmRole},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, sync::Arc},
    test_case::test_case,
};

const NOW: TimeMs = TimeMs(1_000_000);

fn introduction(domain: usize, index: usize) -> Introduction {
    Introduction {
        name: format!("entry-{domain}-{index}"),
        failure_domain: format!("domain-{domain}"),
        peers_address: SocketAddr::from((
            [10, 0, u8::try_from(domain).expect("small"), 0],
            u16::try_from(index + 1).expect("small"),
        )),
        operators_address: SocketAddr::from(([10, 0, 0, 0], 1)),
        incarnation: 1,
        started_at_ms: NOW,
    }
}

fn heartbeat(introduction: &Introduction) -> Heartbeat {
    Heartbeat {
        introduction: introduction.clone(),
        generation: Generation(0),
        confirmed_ms_ago: None,
        load: LoadSummary::default(),
        leaving: false,
    }
}

fn stamp(now: TimeMs) -> HybridTime {
    HybridTime {
        wall_ms: now,
        count: 0,
    }
}

fn configuration(generation: u64) -> Arc<Configuration> {
    Arc::new(Configuration {
        generation: Generation(generation),
        ..Configuration::default()
    })
}

fn after(ms: u64) -> TimeMs {
    NOW.after(DurationMs(ms))
}

fn state(membership: &Membership, introduction: &Introduction) -> Option<MemberState> {
    membership
        .member(introduction.entry())
        .map(|member| member.state)
}

#[test]
fn a_silent_member_is_suspected_then_gone_then_alive_again() {
    let (me, other) = (introduction(0, 0), introduction(0, 1));
    let mut membership = Membership::new(&me, &[]);
    membership.apply_heartbeat(NOW, stamp(NOW), heartbeat(&other));
    assert_eq!(state(&membership, &other), Some(MemberState::Alive));
    membership.tick(after(MIN_HEARTBEAT_INTERVAL_MS.0 * SUSPECT_INTERVALS));
    assert_eq!(state(&membership, &other), Some(MemberState::Suspected));
    let late = after(MIN_HEARTBEAT_INTERVAL_MS.0 * GONE_INTERVALS);
    membership.tick(late);
    assert_eq!(state(&membership, &other), Some(MemberState::Gone));
    membership.apply_heartbeat(late, stamp(late), heartbeat(&other));
    assert_eq!(state(&membership, &other), Some(MemberState::Alive));
}

#[test]
fn late_messages_and_messages_of_an_earlier_life_are_left_out() {
    let (me, old) = (introduction(0, 0), introduction(0, 1));
    let mut new = old.clone();
    (new.incarnation, new.started_at_ms) = (2, after(10));
    let mut membership = Membership::new(&me, &[]);
    membership.apply_heartbeat(after(20), stamp(after(20)), heartbeat(&new));
    let mut late = heartbeat(&old);
    late.generation = Generation(9);
    membership.apply_heartbeat(after(21), stamp(after(21)), late.clone());
    late.introduction = new.clone();
    membership.apply_heartbeat(after(22), stamp(after(19)), late);
    let member = membership.member(new.entry()).expect("known");
    assert_eq!(member.introduction, Some(new));
    assert_eq!(member.generation, Generation(0));
}

#[test]
fn one_of_two_members_sends_and_the_other_once_it_hears_nothing() {
    let (first, other) = (introduction(0, 0), introduction(0, 1));
    let mut senders = 0;
    for (me, peer) in [(&first, &other), (&other, &first)] {
        let mut membership = Membership::new(me, &[]);
        membership.apply_heartbeat(NOW, stamp(NOW), heartbeat(peer));
        senders += membership
            .due_targets(after(MIN_HEARTBEAT_INTERVAL_MS.0))
            .len();
        assert_eq!(
            membership
                .due_targets(after(2 * MIN_HEARTBEAT_INTERVAL_MS.0))
                .len(),
            1
        );
    }
    assert_eq!(senders, 1);
}

#[test]
fn seeds_are_tried_until_their_member_is_known() {
    let (me, other) = (introduction(0, 0), introduction(1, 1));
    let seeds = [me.peers_address, other.peers_address];
    let mut membership = Membership::new(&me, &seeds);
    let due: Vec<SocketAddr> = membership
        .due_targets(NOW)
        .iter()
        .map(|target| target.address)
        .collect();
    assert_eq!(due, [other.peers_address]);
    assert!(
        membership.due_targets(NOW).is_empty(),
        "not due again at once"
    );
    membership.apply_heartbeat(NOW, stamp(NOW), heartbeat(&other));
    let due = membership.due_targets(after(MIN_HEARTBEAT_INTERVAL_MS.0 * 2));
    assert!(due.iter().all(|target| target.entry.is_some()), "{due:?}");
}

#[test]
fn listed_entry_vms_become_members_and_others_do_not() {
    let me = introduction(0, 0);
    let vm = |name: &str, role, leaving| Vm {
        name: name.to_owned(),
        address: "10.0.0.9:1".to_owned(),
        failure_domain: "domain-0".to_owned(),
        role,
        leaving,
    };
    let list = [
        vm(&me.name, VmRole::Entry, false),
        vm("entry", VmRole::Entry, false),
        vm("leaving", VmRole::Entry, true),
        vm("engine", VmRole::Engine, false),
    ];
    let mut membership = Membership::new(&me, &[]);
    membership.apply_vm_list(NOW, &list);
    let names: Vec<&str> = membership
        .members()
        .map(|member| member.name.as_str())
        .collect();
    assert_eq!(names, ["entry"]);
}

/// The memberships of `domains` failure domains with `size` processes each, all of which know each
/// other.
fn fully_connected(domains: usize, size: usize) -> Vec<(Introduction, Membership)> {
    let all: Vec<Introduction> = (0..domains)
        .flat_map(|domain| (0..size).map(move |index| introduction(domain, index)))
        .collect();
    let knowing_all = |me: &Introduction| {
        let mut membership = Membership::new(me, &[]);
        for other in all.iter().filter(|other| *other != me) {
            membership.apply_heartbeat(NOW, stamp(NOW), heartbeat(other));
        }
        (me.clone(), membership)
    };
    all.iter().map(knowing_all).collect()
}

#[test]
fn members_agree_on_the_pollers_without_talking() {
    let memberships = fully_connected(3, 8);
    for domain in 0..3 {
        let name = format!("domain-{domain}");
        let of_domain = memberships
            .iter()
            .filter(|(me, _)| me.failure_domain == name);
        let pollers = of_domain.filter(|(_, membership)| membership.is_poller());
        assert_eq!(pollers.count(), POLLERS);
    }
}

#[test_case(1, 8)]
#[test_case(4, 8)]
#[test_case(32, 25)]
fn heartbeats_a_second_stay_bounded(domains: usize, size: usize) {
    const WARM_UP_SECONDS: u64 = 20;
    const SECONDS: u64 = 20;
    const MAX_PER_SECOND: u64 = 4;
    let heartbeats: Vec<Heartbeat> = (0..domains)
        .flat_map(|domain| (0..size).map(move |index| heartbeat(&introduction(domain, index))))
        .collect();
    for index in 0..size {
        let mut membership = Membership::new(&introduction(0, index), &[]);
        let mut sent = 0;
        for second in 0..WARM_UP_SECONDS + SECONDS {
            let now = after(second * 1_000);
            for heartbeat in &heartbeats {
                membership.apply_heartbeat(now, stamp(now), heartbeat.clone());
            }
            for tenth in 0..10 {
                let due = membership.due_targets(now.after(DurationMs(tenth * 100)));
                if second >= WARM_UP_SECONDS {
                    sent += due.len() as u64;
                }
            }
        }
        assert!(sent <= MAX_PER_SECOND * SECONDS, "node {index}: {sent}");
    }
}

#[test]
fn a_new_generation_reaches_a_whole_domain_by_announcements() {
    let memberships = fully_connected(1, 25);
    let addresses: Vec<SocketAddr> = memberships
        .iter()
        .map(|node| node.0.peers_address)
        .collect();
    let mut notified = vec![false; memberships.len()];
    let mut next = vec![0];
    while let Some(index) = next.pop() {
        if std::mem::replace(&mut notified[index], true) {
            continue;
        }
        for target in memberships[index].1.announcement_targets() {
            let index_of_target = addresses
                .iter()
                .position(|address| *address == target.address);
            next.push(index_of_target.expect("a member"));
        }
    }
    assert!(notified.iter().all(|notified| *notified), "{notified:?}");
}

const NOTHING_NEWER: Result<Option<Arc<Configuration>>, ()> = Ok(None);

fn activated_generations(actions: &[Action]) -> Vec<u64> {
    let activated = actions.iter().filter_map(|action| match action {
        Action::Activate(configuration) => Some(configuration.generation.0),
        Action::Poll | Action::Pull(_) => None,
    });
    activated.collect()
}

#[test]
fn the_table_services_answer_ends_the_start_at_once() {
    let mut spread = Spread::new(NOW);
    assert_eq!(spread.tick(NOW, false), [Action::Poll]);
    let actions = spread.apply_poll(NOW, Ok::<_, ()>(Some(configuration(7))));
    assert_eq!(activated_generations(&actions), [7]);
    assert_eq!(spread.generation(), Generation(7));
}

#[test]
fn without_the_table_service_the_highest_peer_is_taken() {
    let peer = EntryId(1);
    let mut spread = Spread::new(NOW);
    spread.tick(NOW, false);
    assert!(
        spread
            .apply_poll(NOW, Err::<Option<Arc<Configuration>>, _>(()))
            .is_empty()
    );
    let pull = spread.apply_peer_generation(after(1), peer, Generation(3), None);
    assert_eq!(pull, [Action::Pull(peer)]);
    assert!(
        spread
            .apply_peer_generation(after(1), EntryId(2), Generation(5), None)
            .is_empty()
    );
    let next = spread.apply_pull(after(2), Some(configuration(3)));
    assert_eq!(
        next,
        [Action::Pull(EntryId(2))],
        "the higher generation is pulled too"
    );
    assert_eq!(
        spread.generation(),
        Generation(0),
        "the startup wait has not ended"
    );
    assert!(
        spread
            .apply_pull(after(3), Some(configuration(5)))
            .is_empty()
    );
    let actions = spread.tick(after(STARTUP_WAIT_MS.0), false);
    assert_eq!(activated_generations(&actions), [5]);
}

#[test]
fn a_start_without_any_answer_takes_the_first_that_comes_later() {
    let mut spread = Spread::new(NOW);
    spread.tick(after(STARTUP_WAIT_MS.0), false);
    spread.apply_peer_generation(after(9_000), EntryId(1), Generation(2), None);
    let actions = spread.apply_pull(after(9_001), Some(configuration(2)));
    assert_eq!(activated_generations(&actions), [2]);
}

#[test]
fn a_lower_generation_is_never_taken() {
    let mut spread = Spread::new(NOW);
    spread.apply_poll(NOW, Ok::<_, ()>(Some(configuration(7))));
    for lower in [6, 7] {
        assert!(
            spread
                .apply_pull(NOW, Some(configuration(lower)))
                .is_empty()
        );
        assert!(
            spread
                .apply_poll(NOW, Ok::<_, ()>(Some(configuration(lower))))
                .is_empty()
        );
        assert!(
            spread
                .apply_peer_generation(NOW, EntryId(1), Generation(lower), None)
                .is_empty()
        );
    }
    assert_eq!(spread.generation(), Generation(7));
}

#[test]
fn a_process_polls_for_itself_only_when_nothing_confirms_its_generation() {
    let mut spread = Spread::new(NOW);
    spread.apply_poll(NOW, Ok::<_, ()>(Some(configuration(7))));
    let mut now = NOW;
    for _ in 0..20 {
        now = now.after(DurationMs(1_000));
        spread.apply_peer_generation(now, EntryId(1), Generation(7), Some(DurationMs(100)));
        assert!(spread.tick(now, false).is_empty());
    }
    spread.apply_peer_generation(now, EntryId(1), Generation(6), Some(DurationMs(0)));
    let stale = now.after(STALE_AFTER_MS);
    assert_eq!(
        spread.tick(stale, false),
        [Action::Poll],
        "a lower generation confirms nothing"
    );
    assert!(spread.tick(stale, false).is_empty(), "one read at a time");
    assert!(spread.apply_poll(stale, NOTHING_NEWER).is_empty());
}

#[test]
fn a_read_that_never_ends_is_followed_by_another() {
    let mut spread = Spread::new(NOW);
    assert_eq!(spread.tick(NOW, true), [Action::Poll]);
    assert!(spread.tick(after(2_000), true).is_empty());
    assert_eq!(spread.tick(after(5_000), true), [Action::Poll]);
}

/// A simulation of processes whose links to each other and to the platform fail and recover.
struct Simulation {
    nodes: Vec<(Introduction, Membership, Spread)>,
    active_generations: Vec<u64>,
    accepted: u64,
    /// Whether each failure domain can reach the table service.
    platform_reachable: Vec<bool>,
    /// Whether the failure domains can reach each other.
    domains_connected: bool,
    now: TimeMs,
}

const DOMAINS: usize = 3;
const DOMAIN_SIZE: usize = 3;

impl Simulation {
    fn new() -> Self {
        let nodes = (0..DOMAINS)
            .flat_map(|domain| (0..DOMAIN_SIZE).map(move |index| introduction(domain, index)))
            .map(|me| {
                let seeds: Vec<SocketAddr> = (0..DOMAINS)
                    .map(|domain| introduction(domain, 0).peers_address)
                    .chain([introduction(0, 1).peers_address])
                    .collect();
                (me.clone(), Membership::new(&me, &seeds), Spread::new(NOW))
            })
            .collect();
        Self {
            nodes,
            active_generations: vec![0; DOMAINS * DOMAIN_SIZE],
            accepted: 1,
            platform_reachable: vec![true; DOMAINS],
            domains_connected: true,
            now: NOW,
        }
    }

    fn can_reach(&self, sender: usize, receiver: usize) -> bool {
        self.domains_connected || sender / DOMAIN_SIZE == receiver / DOMAIN_SIZE
    }

    /// Restarts a node without its state. It may then activate an older generation than its former
    /// incarnation had if neither the platform nor a newer peer is reachable.
    fn restart(&mut self, index: usize) {
        let (me, membership, spread) = &mut self.nodes[index];
        me.incarnation += 1;
        me.started_at_ms = self.now;
        let seeds: Vec<SocketAddr> = (0..DOMAIN_SIZE)
            .map(|other| introduction(index / DOMAIN_SIZE, other).peers_address)
            .collect();
        *membership = Membership::new(me, &seeds);
        *spread = Spread::new(self.now);
        self.active_generations[index] = 0;
    }

    fn current_heartbeat(&self, index: usize) -> Heartbeat {
        let (me, _, spread) = &self.nodes[index];
        Heartbeat {
            generation: spread.generation(),
            confirmed_ms_ago: spread.confirmed_ago(self.now).map(|ago| ago.0),
            ..heartbeat(me)
        }
    }

    fn receive_heartbeat(&mut self, index: usize, heartbeat: Heartbeat) {
        let (_, membership, spread) = &mut self.nodes[index];
        let entry = heartbeat.introduction.entry();
        let (generation, confirmed) = (
            heartbeat.generation,
            heartbeat.confirmed_ms_ago.map(DurationMs),
        );
        membership.apply_heartbeat(self.now, stamp(self.now), heartbeat);
        let actions = spread.apply_peer_generation(self.now, entry, generation, confirmed);
        self.execute(index, actions);
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let next = match action {
                Action::Activate(activated) => {
                    let generation = activated.generation.0;
                    assert!(
                        generation > self.active_generations[index],
                        "node {index} activated an older generation"
                    );
                    self.active_generations[index] = generation;
                    continue;
                }
                Action::Poll if self.platform_reachable[index / DOMAIN_SIZE] => {
                    let spread = &mut self.nodes[index].2;
                    let newest = configuration(self.accepted);
                    spread.apply_poll(self.now, Ok::<_, ()>(Some(newest)))
                }
                Action::Poll => self.nodes[index]
                    .2
                    .apply_poll(self.now, Err::<Option<Arc<Configuration>>, _>(())),
                Action::Pull(entry) => {
                    let peer = self.nodes.iter().position(|node| node.0.entry() == entry);
                    let peer = peer.filter(|peer| self.can_reach(index, *peer));
                    let configuration_of_peer =
                        peer.map(|peer| configuration(self.nodes[peer].2.generation().0));
                    self.nodes[index]
                        .2
                        .apply_pull(self.now, configuration_of_peer)
                }
            };
            self.execute(index, next);
        }
    }

    fn step(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now = self.now.after(DurationMs(100));
            for index in 0..self.nodes.len() {
                let (_, membership, spread) = &mut self.nodes[index];
                membership.tick(self.now);
                let actions = spread.tick(self.now, membership.is_poller());
                self.execute(index, actions);
                for target in self.nodes[index].1.due_targets(self.now) {
                    let receiver = self
                        .nodes
                        .iter()
                        .position(|node| node.0.peers_address == target.address);
                    if let Some(receiver) =
                        receiver.filter(|receiver| self.can_reach(index, *receiver))
                    {
                        let request = self.current_heartbeat(index);
                        self.receive_heartbeat(receiver, request);
                        let response = self.current_heartbeat(receiver);
                        self.receive_heartbeat(index, response);
                    }
                }
            }
        }
    }
}

/// The time within which an accepted generation has to be active on each process it can reach.
const DISTRIBUTION_LIMIT_MS: u64 = 7_000;

#[test]
fn a_change_is_everywhere_within_the_limit_when_one_domain_reaches_the_platform() {
    let mut simulation = Simulation::new();
    simulation.step(10_000);
    simulation.platform_reachable = vec![true, false, false];
    simulation.step(20_000);
    simulation.accepted = 2;
    simulation.step(DISTRIBUTION_LIMIT_MS);
    assert_eq!(simulation.active_generations, [2; DOMAINS * DOMAIN_SIZE]);
}

#[test]
fn a_domain_that_was_cut_off_catches_up_within_the_limit() {
    let mut simulation = Simulation::new();
    simulation.step(10_000);
    simulation.platform_reachable[2] = false;
    simulation.domains_connected = false;
    simulation.accepted = 2;
    simulation.step(120_000);
    assert_eq!(
        simulation.active_generations[2 * DOMAIN_SIZE..],
        [1; DOMAIN_SIZE],
        "the domain keeps its configuration"
    );
    simulation.platform_reachable[2] = true;
    simulation.step(DISTRIBUTION_LIMIT_MS);
    assert_eq!(simulation.active_generations, [2; DOMAINS * DOMAIN_SIZE]);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn random_cuts_and_restarts_never_lower_a_running_nodes_generation(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    for _ in 0..400 {
        match random.random_range(0..6) {
            0 => simulation.accepted += 1,
            1 => simulation.domains_connected = !simulation.domains_connected,
            2 => {
                let domain = random.random_range(0..DOMAINS);
                simulation.platform_reachable[domain] = !simulation.platform_reachable[domain];
            }
            3 => simulation.restart(random.random_range(0..DOMAINS * DOMAIN_SIZE)),
            _ => {}
        }
        simulation.step(random.random_range(1..40) * 100);
    }
    simulation.domains_connected = true;
    simulation.platform_reachable = vec![true; DOMAINS];
    simulation.step(DISTRIBUTION_LIMIT_MS);
    assert_eq!(
        simulation.active_generations,
        [simulation.accepted; DOMAINS * DOMAIN_SIZE]
    );
}
