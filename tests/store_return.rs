//! A fleet of gateways before a store that fails and returns at any moment: how soon a change is known
//! everywhere, and how many calls the fleet makes. Without a network.

use {
    cactusspur::gateway::{
        notice::{Notice, StatusNotice},
        peer_table::{DomainSummary, Member, OwnIdentity, Peers, gateway_rank},
        peers::ChangeNews,
        store_polls::{NextCall, PollTimes, StoreCall, StorePolls},
        watch::Source,
        watch_duty::{Duty, WatchDuty},
    },
    cactusspur_core::{DurationMs, TimeMs},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::net::SocketAddr,
    test_case::test_case,
};

const START: TimeMs = TimeMs(1_000_000);
/// The time of one step: a message or an answer that is sent in a step arrives in the next one.
const STEP_MS: DurationMs = DurationMs(10);
const TABLES: [&str; 2] = ["configuration", "servers"];
const NOTICE_PERIOD_MS: DurationMs = DurationMs(1_000);
const DIGEST_PERIOD_MS: DurationMs = DurationMs(500);
const CHANGE_PAUSE_MS: DurationMs = DurationMs(250);
/// The time that a pull from a peer takes.
const PULL_MS: DurationMs = DurationMs(20);
const DIGEST_PULL_DELAY_MS: u64 = 700;
/// Calls a second that each failure domain makes in an outage, and the further ones around its ends.
const OUTAGE_CALLS_PER_S: u64 = 4;
const OUTAGE_END_CALLS: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Calls get no answer, also those that were made before the outage.
    Silent,
    /// Calls are rejected at once; those in progress are answered after the outage.
    Rejecting,
    /// Connections are reset.
    Reset,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    failure: Failure,
    from_ms: TimeMs,
    until_ms: TimeMs,
    affected: Affected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Affected {
    All,
    /// Gateways whose numbers have this remainder when divided by 3.
    Third(usize),
    /// Gateways whose bits are set.
    Some(Set),
}

/// A set of gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Set([u64; 5]);

impl Set {
    fn insert(&mut self, number: usize) {
        self.0[number / 64] |= 1 << (number % 64);
    }

    fn has(&self, number: usize) -> bool {
        self.0[number / 64] & 1 << (number % 64) != 0
    }

    fn len(&self) -> u32 {
        self.0.iter().map(|bits| bits.count_ones()).sum()
    }
}

impl Outage {
    fn affects(&self, gateway: usize, now: TimeMs) -> bool {
        let is_affected = match self.affected {
            Affected::All => true,
            Affected::Third(third) => gateway % 3 == third,
            Affected::Some(set) => set.has(gateway),
        };
        is_affected && self.from_ms <= now && now < self.until_ms
    }
}

#[derive(Clone, Copy, Debug)]
struct CallInProgress {
    call: StoreCall,
    called_at_ms: TimeMs,
    is_lost: bool,
    is_failed: bool,
}

struct Gateway {
    peers: Peers,
    polls: StorePolls,
    store_answered_at_ms: Option<TimeMs>,
    duty: WatchDuty,
    heartbeat_at_ms: TimeMs,
    check_at_ms: [TimeMs; 2],
    calls: [Option<CallInProgress>; 2],
    known: [u64; 2],
    /// The versions at the last short notice.
    told: [u64; 2],
    /// When to pull, and from whom.
    pulls: Vec<(TimeMs, usize)>,
    notice_at_ms: TimeMs,
}

/// What a gateway tells another one.
struct Announcement {
    from: usize,
    to: usize,
    versions: [u64; 2],
    is_direct: bool,
}

struct Fleet {
    gateways: Vec<Gateway>,
    domains: usize,
    versions: [u64; 2],
    outage: Option<Outage>,
    announcements: Vec<Announcement>,
    /// Gateways that stand still.
    frozen: Set,
    random: StdRng,
    now: TimeMs,
    call_count: u64,
}

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("an IPv4 address")
    };
    let [.., high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

fn name(number: usize) -> String {
    format!("entry-{number}")
}

impl Fleet {
    fn start(count: usize, domains: usize, limit_ms: u64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let times = PollTimes::new(DurationMs(limit_ms));
        let gateways = (0..count).map(|number| Gateway {
            peers: Peers::new(OwnIdentity {
                name: name(number),
                domain: format!("domain-{}", number % domains),
                address: address(number),
            }),
            polls: StorePolls::new(times, &TABLES),
            store_answered_at_ms: None,
            duty: WatchDuty::new(times),
            heartbeat_at_ms: START.after(DurationMs(random.random_range(0..limit_ms / 15))),
            check_at_ms: [START; 2],
            calls: [None; 2],
            known: [1; 2],
            told: [1; 2],
            pulls: Vec::new(),
            notice_at_ms: START.after(DurationMs(random.random_range(0..300))),
        });
        let gateways = gateways.collect();
        Self {
            gateways,
            domains,
            versions: [1; 2],
            outage: None,
            announcements: Vec::new(),
            frozen: Set::default(),
            random,
            now: START,
            call_count: 0,
        }
    }

    fn domain(&self, number: usize) -> usize {
        number % self.domains
    }

    fn run_until(&mut self, until_ms: TimeMs) {
        while self.now < until_ms {
            self.step();
        }
    }

    fn change(&mut self) {
        let version = self.versions[0].max(self.versions[1]) + 1;
        self.versions = [version; 2];
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        self.deliver_announcements();
        let frozen = self.frozen;
        for number in (0..self.gateways.len()).filter(|number| !frozen.has(*number)) {
            if self.gateways[number].heartbeat_at_ms <= self.now {
                let period_ms = self.gateways[number].polls.times().heartbeat_period_ms();
                self.gateways[number].heartbeat_at_ms = self.now.after(period_ms);
                if self.gateways[number].duty.is_polling() {
                    self.send_heartbeat(number);
                }
            }
            if self.gateways[number].notice_at_ms <= self.now {
                self.gateways[number].notice_at_ms = self.now.after(NOTICE_PERIOD_MS);
                self.send_notice(number);
            }
            self.pull(number);
            for table in 0..TABLES.len() {
                self.advance_call(number, table);
                self.start_call(number, table);
            }
        }
        let elapsed_ms = self.now.since(START).0;
        if elapsed_ms.is_multiple_of(DIGEST_PERIOD_MS.0) && self.is_large() {
            self.hand_out_digests();
        }
    }

    fn is_large(&self) -> bool {
        self.gateways.len() > 100
    }

    fn notice(&self, number: usize) -> Notice {
        let gateway = &self.gateways[number];
        let answered_at_ms = gateway
            .store_answered_at_ms
            .filter(|_| gateway.duty.is_polling());
        Notice {
            address: Some(address(number)),
            status: Some(StatusNotice {
                name: name(number),
                domain: format!("domain-{}", self.domain(number)),
                store_age_ms: answered_at_ms.map(|at_ms| self.now.since(at_ms)),
                ..StatusNotice::default()
            }),
            ..Notice::default()
        }
    }

    /// Tells a peer of the state of a gateway, which arrives unless the peer stands still.
    fn tell(&mut self, number: usize, other: usize, versions: [u64; 2], is_direct: bool) {
        let notice = self.notice(number);
        if self.frozen.has(other) {
            return;
        }
        let now = self.now;
        let gateway = &mut self.gateways[other];
        let times = gateway.polls.times();
        let was_polling = gateway.peers.is_polling(address(number), times, now);
        gateway.peers.record_notice(address(number), &notice, now);
        if was_polling && !gateway.peers.is_polling(address(number), times, now) {
            gateway.check_at_ms = [now; 2];
        }
        self.announcements.push(Announcement {
            from: number,
            to: other,
            versions,
            is_direct,
        });
    }

    /// Sends the short notice of a gateway that polls, or that has just stopped. In a large fleet it names the
    /// versions at the one before, since members learn of newer ones from each other.
    fn send_heartbeat(&mut self, number: usize) {
        let is_large = self.is_large();
        let known = self.gateways[number].known;
        let earlier = std::mem::replace(&mut self.gateways[number].told, known);
        let versions = if is_large { earlier } else { known };
        let members = self.gateways[number].peers.domain_addresses();
        let members: Vec<usize> = members.map(self::number).collect();
        for other in members {
            self.tell(number, other, versions, true);
        }
        let random = self.random.random();
        let peers = &self.gateways[number].peers;
        for other in peers.remote_receivers(1, random, self.now) {
            self.tell(number, self::number(other), versions, true);
        }
    }

    /// Sends a status notice: to everyone, or to the own domain in a large fleet.
    fn send_notice(&mut self, number: usize) {
        let known = self.gateways[number].known;
        let is_large = self.is_large();
        let versions = if is_large { [0; 2] } else { known };
        for other in (0..self.gateways.len()).filter(|other| *other != number) {
            let is_local = self.domain(other) == self.domain(number);
            if is_large && !is_local {
                continue;
            }
            self.tell(number, other, versions, is_local);
        }
        if is_large {
            self.record_summaries(number);
        }
    }

    /// Tells a gateway of a large fleet how many members the other domains have.
    fn record_summaries(&mut self, number: usize) {
        let size = self.gateways.len() / self.domains;
        let own_domain = self.domain(number);
        for domain in (0..self.domains).filter(|domain| *domain != own_domain) {
            let summary = DomainSummary {
                domain: format!("domain-{domain}"),
                age_ms: DurationMs(0),
                known: size,
                decode_heavy_requests: 0,
                delegates: vec![Member {
                    address: address(domain),
                    name: name(domain),
                    age_ms: DurationMs(0),
                    store_age_ms: None,
                    is_stopping: false,
                    out_of_reach: Vec::new(),
                }],
            };
            let now = self.now;
            self.gateways[number].peers.record_summary(&summary, now);
        }
    }

    /// The first members of all domains announce what they know to their own domain and to each other.
    fn hand_out_digests(&mut self) {
        let firsts: Vec<usize> = (0..self.domains)
            .filter_map(|domain| {
                let members = (0..self.gateways.len()).filter(|n| n % self.domains == domain);
                members.max_by_key(|number| gateway_rank(&name(*number), 0))
            })
            .collect();
        for first in &firsts {
            let known = self.gateways[*first].known;
            for other in 0..self.gateways.len() {
                let is_receiver =
                    self.domain(other) == self.domain(*first) || firsts.contains(&other);
                if other != *first && is_receiver && self.is_behind(other, known) {
                    let wait = DurationMs(self.random.random_range(0..DIGEST_PULL_DELAY_MS));
                    let at_ms = self.now.after(wait);
                    self.gateways[other].pulls.push((at_ms, *first));
                }
            }
        }
    }

    fn is_behind(&self, number: usize, versions: [u64; 2]) -> bool {
        let known = self.gateways[number].known;
        known[0] < versions[0] || known[1] < versions[1]
    }

    fn deliver_announcements(&mut self) {
        for announcement in std::mem::take(&mut self.announcements) {
            let Announcement { from, to, .. } = announcement;
            if !self.is_behind(to, announcement.versions) || self.frozen.has(to) {
                continue;
            }
            let news = ChangeNews {
                is_local: self.domain(from) == self.domain(to),
                is_direct: announcement.is_direct,
                is_large_fleet: self.is_large(),
            };
            let random = self.random.random();
            let gateway = &mut self.gateways[to];
            let times = gateway.polls.times();
            let store_age_ms = gateway
                .store_answered_at_ms
                .map(|at_ms| self.now.since(at_ms))
                .filter(|_| gateway.duty.is_polling());
            let wait = news.pull_delay(store_age_ms, times, random);
            let wait_ms = DurationMs(u64::try_from(wait.as_millis()).expect("a short wait"));
            gateway.pulls.push((self.now.after(wait_ms), from));
        }
    }

    fn pull(&mut self, number: usize) {
        let now = self.now;
        let pulls = std::mem::take(&mut self.gateways[number].pulls);
        let (due, later): (Vec<_>, Vec<_>) = pulls
            .into_iter()
            .partition(|(at_ms, _)| at_ms.after(PULL_MS) <= now);
        self.gateways[number].pulls = later;
        let frozen = self.frozen;
        for (_, from) in due.into_iter().filter(|(_, from)| !frozen.has(*from)) {
            let versions = self.gateways[from].known;
            let source = if self.domain(from) == self.domain(number) {
                Source::Domain
            } else {
                Source::OtherDomain
            };
            for (table, version) in versions.into_iter().enumerate() {
                self.learn(number, table, version, source);
            }
        }
    }

    /// Takes in a version of a table and announces it if it is new.
    fn learn(&mut self, number: usize, table: usize, version: u64, source: Source) -> bool {
        let gateway = &mut self.gateways[number];
        if gateway.known[table] >= version {
            return false;
        }
        gateway.known[table] = version;
        let known = gateway.known;
        let is_large = self.is_large();
        let random = self.random.random();
        let peers = &self.gateways[number].peers;
        let mut receivers: Vec<SocketAddr> = if is_large {
            peers.children(source != Source::Domain, self.now)
        } else {
            peers.domain_addresses().collect()
        };
        if source == Source::Store {
            receivers.extend(peers.remote_receivers(2, random, self.now));
        }
        for receiver in receivers {
            self.tell(number, self::number(receiver), known, true);
        }
        true
    }

    fn advance_call(&mut self, number: usize, table: usize) {
        let now = self.now;
        let outage = self.outage;
        let random: u64 = self.random.random();
        let gateway = &mut self.gateways[number];
        let times = gateway.polls.times();
        let Some(mut progress) = gateway.calls[table] else {
            return;
        };
        let affecting = outage.filter(|outage| outage.affects(number, now));
        match affecting.map(|outage| outage.failure) {
            Some(Failure::Silent) => progress.is_lost = true,
            Some(Failure::Reset) => progress.is_failed = true,
            // A poll in progress gets no changes while the store rejects calls.
            Some(Failure::Rejecting) | None => {}
        }
        gateway.calls[table] = Some(progress);
        let name = TABLES[table];
        let age_ms = now.since(progress.called_at_ms);
        if gateway.polls.is_superseded(name, progress.call) {
            gateway.calls[table] = None;
        } else if progress.is_failed || age_ms >= progress.call.answer_within_ms {
            gateway.calls[table] = None;
            gateway.polls.record_failure(name, progress.call, now);
            let members = gateway.peers.domain_pollers(times, now).members;
            let is_failing = gateway.polls.is_failing() || !gateway.duty.is_polling();
            if is_failing && gateway.duty.record_failure(members, random, now) {
                self.send_heartbeat(number);
            }
        } else if affecting.is_some() || progress.is_lost {
        } else if gateway.known[table] < self.versions[table] || age_ms >= progress.call.hold_ms {
            gateway.calls[table] = None;
            gateway.store_answered_at_ms = Some(now);
            gateway.peers.record_store_answer(now);
            let has_changed = gateway.known[table] < self.versions[table];
            let pause_ms = if has_changed {
                CHANGE_PAUSE_MS
            } else {
                DurationMs(0)
            };
            gateway
                .polls
                .record_answer(name, progress.call, pause_ms, now);
            gateway.polls.record_store_clock(TimeMs(now.0 - 5), now);
            if gateway.duty.record_answer() {
                gateway.check_at_ms = [now; 2];
                self.send_heartbeat(number);
            }
            self.learn(number, table, self.versions[table], Source::Store);
        }
    }

    fn start_call(&mut self, number: usize, table: usize) {
        let now = self.now;
        let outage = self.outage;
        let random: u64 = self.random.random();
        let gateway = &mut self.gateways[number];
        if gateway.calls[table].is_some() || now < gateway.check_at_ms[table] {
            return;
        }
        let times = gateway.polls.times();
        let pollers = gateway.peers.domain_pollers(times, now);
        if let Duty::Wait(wait_ms) = gateway.duty.next(pollers, random, now) {
            gateway.check_at_ms[table] = now.after(wait_ms);
            return;
        }
        gateway.polls.set_place(gateway.peers.poll_place());
        if !gateway.duty.is_polling() {
            gateway.polls.confirm();
        }
        let NextCall::Now(call) = gateway.polls.next_call(TABLES[table], random, now) else {
            return;
        };
        self.call_count += 1;
        let affecting = outage.filter(|outage| outage.affects(number, now));
        gateway.calls[table] = Some(CallInProgress {
            call,
            called_at_ms: now,
            is_lost: false,
            is_failed: affecting.is_some_and(|outage| outage.failure != Failure::Silent),
        });
    }

    /// The gateways that don't know the newest version of a table.
    fn behind(&self) -> Vec<usize> {
        let numbers = 0..self.gateways.len();
        numbers
            .filter(|number| self.is_behind(*number, self.versions))
            .collect()
    }
}

/// A fleet that has run for some seconds, with changes that make the gateways poll at the same moments.
fn settled_fleet(count: usize, domains: usize, limit_ms: u64, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(count, domains, limit_ms, seed);
    let until_ms = START.after(DurationMs(limit_ms + 5_000));
    fleet.run_until(until_ms);
    for _ in 0..fleet.random.random_range(0..3) {
        fleet.change();
        let wait = DurationMs(fleet.random.random_range(100..1_500));
        fleet.run_until(fleet.now.after(wait));
    }
    fleet
}

/// Plays an outage and a change right after it. Returns the fleet at the moment at which the change
/// must be in force, less a twentieth of the time.
fn play_return(
    (count, domains): (usize, usize),
    failure: Failure,
    limit_ms: u64,
    seed: u64,
) -> (Fleet, Outage, u64) {
    let mut fleet = settled_fleet(count, domains, limit_ms, seed);
    let length = DurationMs(fleet.random.random_range(100..9_000));
    let outage = Outage {
        failure,
        from_ms: fleet.now.after(STEP_MS),
        until_ms: fleet.now.after(STEP_MS + length),
        affected: Affected::All,
    };
    fleet.outage = Some(outage);
    fleet.call_count = 0;
    fleet.run_until(outage.until_ms);
    fleet.change();
    let changed_at_ms = fleet.now;
    let margin_ms = limit_ms / 20;
    fleet.run_until(changed_at_ms.after(DurationMs(limit_ms - margin_ms)));
    let calls = fleet.call_count;
    (fleet, outage, calls)
}

/// Callers were answered by a configuration, and requests reached servers that had left, more than two
/// seconds after the store had acknowledged the change: polls that were sent into the silence of the
/// store were given up only after four seconds, by all gateways at once.
#[test_case((6, 3), Failure::Silent, 2_000, 40; "six gateways and a silent store")]
#[test_case((6, 3), Failure::Rejecting, 2_000, 40; "six gateways and a rejecting store")]
#[test_case((6, 3), Failure::Reset, 2_000, 40; "six gateways and a store that resets connections")]
#[test_case((6, 3), Failure::Silent, 1_000, 40; "six gateways that have one second")]
#[test_case((6, 3), Failure::Silent, 10_000, 10; "six gateways that have ten seconds")]
#[test_case((1, 1), Failure::Silent, 2_000, 20; "one gateway")]
#[test_case((58, 3), Failure::Silent, 3_000, 10; "fifty-eight gateways and a silent store")]
#[test_case((300, 5), Failure::Silent, 4_000, 6; "three hundred gateways and a silent store")]
#[test_case((300, 5), Failure::Rejecting, 4_000, 3; "three hundred gateways and a rejecting store")]
#[test_case((300, 5), Failure::Reset, 4_000, 3; "three hundred gateways and a store that resets connections")]
fn a_change_is_known_everywhere_in_time_after_the_store_returns(
    size: (usize, usize),
    failure: Failure,
    limit_ms: u64,
    seeds: u64,
) {
    for seed in 1..=seeds {
        let (fleet, outage, _) = play_return(size, failure, limit_ms, seed);
        assert_eq!(
            fleet.behind(),
            Vec::<usize>::new(),
            "seed {seed}, {outage:?}"
        );
    }
}

/// In an outage of some seconds no gateway had an answer of the store any more, so that each one of a
/// large fleet began to call it, and all of them called it at its return.
#[test_case((6, 3), Failure::Silent, 2_000; "six gateways and a silent store")]
#[test_case((6, 3), Failure::Rejecting, 2_000; "six gateways and a rejecting store")]
#[test_case((6, 3), Failure::Reset, 2_000; "six gateways and a store that resets connections")]
#[test_case((58, 3), Failure::Reset, 3_000; "fifty-eight gateways and a store that resets connections")]
#[test_case((300, 5), Failure::Silent, 4_000; "three hundred gateways and a silent store")]
#[test_case((300, 5), Failure::Rejecting, 4_000; "three hundred gateways and a rejecting store")]
#[test_case((300, 5), Failure::Reset, 4_000; "three hundred gateways and a store that resets connections")]
fn calls_around_an_outage_are_bounded_for_each_domain(
    size: (usize, usize),
    failure: Failure,
    limit_ms: u64,
) {
    let seeds = if size.0 > 100 { 3 } else { 20 };
    for seed in 1..=seeds {
        let (_, outage, calls) = play_return(size, failure, limit_ms, seed);
        let seconds = (outage.until_ms.since(outage.from_ms).0 + limit_ms).div_ceil(1_000);
        let limit = size.1 as u64 * (OUTAGE_CALLS_PER_S * seconds + OUTAGE_END_CALLS);
        assert!(
            calls <= limit,
            "seed {seed}, {outage:?}: {calls} calls, {limit} allowed"
        );
    }
}

/// The store turned a part of the gateways away, and those went on with an old configuration until
/// another one told them.
#[test_case((6, 3), 2_000, 20; "six gateways")]
#[test_case((300, 5), 4_000, 3; "three hundred gateways")]
fn gateways_that_are_turned_away_learn_from_the_others(
    size: (usize, usize),
    limit_ms: u64,
    seeds: u64,
) {
    for seed in 1..=seeds {
        let mut fleet = settled_fleet(size.0, size.1, limit_ms, seed);
        let third = fleet.random.random_range(0..3);
        fleet.outage = Some(Outage {
            failure: Failure::Rejecting,
            from_ms: fleet.now,
            until_ms: fleet.now.after(DurationMs(60_000)),
            affected: Affected::Third(third),
        });
        // A domain whose watchers are turned away finds others within the time of a change.
        fleet.run_until(fleet.now.after(DurationMs(limit_ms * 3)));
        fleet.change();
        let limit = DurationMs(limit_ms - limit_ms / 20);
        fleet.run_until(fleet.now.after(limit));
        assert_eq!(fleet.behind(), Vec::<usize>::new(), "seed {seed}");
    }
}

/// What happens to some gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// The store fails for them.
    Store(Failure),
    /// Their processes stand still, or are gone.
    Frozen,
}

/// Puts a third of the gateways in trouble, those that poll the store first. Returns them.
fn disturb_third(fleet: &mut Fleet, trouble: Trouble) -> Set {
    let count = fleet.gateways.len();
    let mut set = Set::default();
    let numbers = 0..count;
    for number in numbers.filter(|number| fleet.gateways[*number].duty.is_polling()) {
        set.insert(number);
    }
    while (set.len() as usize) < count / 3 {
        set.insert(fleet.random.random_range(0..count));
    }
    match trouble {
        Trouble::Frozen => fleet.frozen = set,
        Trouble::Store(failure) => {
            fleet.outage = Some(Outage {
                failure,
                from_ms: fleet.now,
                until_ms: fleet.now.after(DurationMs(60_000)),
                affected: Affected::Some(set),
            });
        }
    }
    set
}

/// The few gateways that poll were turned away, and all others went on with the old configuration for up to
/// five seconds, until those counted as failed; it was the same when their processes stood still.
#[test_case((77, 3), 3_000, Trouble::Store(Failure::Reset); "77 gateways, reset")]
#[test_case((77, 3), 3_000, Trouble::Store(Failure::Rejecting); "77 gateways, rejected")]
#[test_case((77, 3), 3_000, Trouble::Store(Failure::Silent); "77 gateways, cut off from the store")]
#[test_case((77, 3), 3_000, Trouble::Frozen; "77 gateways, frozen")]
#[test_case((300, 3), 3_000, Trouble::Store(Failure::Reset); "300 gateways, reset")]
#[test_case((300, 3), 3_000, Trouble::Store(Failure::Silent); "300 gateways, cut off from the store")]
#[test_case((300, 3), 3_000, Trouble::Frozen; "300 gateways, frozen")]
#[test_case((9, 3), 2_000, Trouble::Store(Failure::Reset); "nine gateways, reset")]
#[test_case((9, 3), 2_000, Trouble::Store(Failure::Silent); "nine gateways, cut off from the store")]
#[test_case((9, 3), 2_000, Trouble::Frozen; "nine gateways, frozen")]
fn a_change_is_in_force_in_half_of_its_time_while_a_third_fails(
    size: (usize, usize),
    limit_ms: u64,
    trouble: Trouble,
) {
    let seeds = if size.0 > 100 { 8 } else { 40 };
    let mut late = Vec::new();
    for seed in 1..=seeds {
        let mut fleet = settled_fleet(size.0, size.1, limit_ms, seed);
        let disturbed = disturb_third(&mut fleet, trouble);
        let wait = DurationMs(fleet.random.random_range(0..2_000));
        fleet.run_until(fleet.now.after(wait));
        fleet.change();
        let changed_at_ms = fleet.now;
        let is_behind = |fleet: &Fleet| {
            let behind = fleet.behind();
            behind.into_iter().any(|number| !disturbed.has(number))
        };
        while is_behind(&fleet) && fleet.now < changed_at_ms.after(DurationMs(limit_ms * 3)) {
            fleet.step();
        }
        let took_ms = fleet.now.since(changed_at_ms).0;
        if took_ms > limit_ms / 2 {
            late.push((seed, wait, took_ms));
        }
    }
    assert!(late.is_empty(), "seed, wait and time: {late:?}");
}
