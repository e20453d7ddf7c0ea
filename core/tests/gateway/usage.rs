//! Caps on customers' use hold over all entry VMs, and what they permit is served.

use {
    cactusspur_core::{
        CustomerId, DurationMs, TimeMs, Tokens,
        gateway::{
            Fleet, UsageCap, UsageLimits, UsageOrigin, UsageRequest, UsageRow, UsageTable,
            UsageUnit,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap},
    test_case::test_case,
};

const LIMITS: UsageLimits = UsageLimits {
    window_ms: DurationMs(8_000),
    overage_milli: 100,
    slack: 110_000,
};
const CAP: UsageCap = UsageCap {
    unit: UsageUnit::Tokens { plain: Tokens(200) },
    rate_per_s: 615_525,
    burst: 615_525,
};
const CUSTOMER: CustomerId = CustomerId(7);
const START_MS: u64 = 1_000_000;
const PEER_TIMEOUT_MS: u64 = 4_000;
const LARGE_FLEET: usize = 97;
/// A third of the time that callers wait.
const PATIENCE_MS: u64 = 2_000;
/// The mean cost of a request.
const MEAN_COST: u64 = 5_200;

/// Which entry VMs get the requests.
#[derive(Clone, Copy)]
enum Spread {
    One,
    Even,
}

/// What happens besides requests, by the time since the start in milliseconds.
#[derive(Clone, Copy, Default)]
struct Plan {
    /// Demand in percent of the cap, before and after a moment.
    demand_percent: (u64, u64),
    demand_changes_ms: u64,
    /// When the two halves of the fleet lose each other.
    cut_ms: Option<(u64, u64)>,
    /// When all but some entry VMs restart.
    restart_ms: Option<(u64, usize)>,
    /// When the first entry VM stands still.
    frozen_ms: Option<(u64, u64)>,
    /// When the cap is halved, and how much later the last entry VM learns of it.
    halved_ms: Option<(u64, u64)>,
    loss_percent: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        gateway: usize,
        cost: u64,
        returns: bool,
    },
    Rows {
        receiver: usize,
        number: usize,
    },
    Report {
        gateway: usize,
    },
}

struct World {
    tables: Vec<UsageTable>,
    caps: Vec<UsageCap>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    messages: Vec<Vec<UsageRow>>,
    admitted: Vec<(u64, u64)>,
    offered: Vec<(u64, u64)>,
    rows: usize,
    plan: Plan,
    rng: StdRng,
}

struct Outcome {
    /// The use in the fullest window, in percent of what is permitted.
    worst_percent: u64,
    /// What was served, in thousandths of what one exact bucket would have served.
    served_permille: u64,
    /// Rows that each entry VM sent a second.
    rows_per_s: usize,
}

fn origin(gateway: usize) -> UsageOrigin {
    UsageOrigin(u32::try_from(gateway).expect("a small number"))
}

fn table(gateway: usize, cap: UsageCap, now: u64) -> UsageTable {
    let mut table = UsageTable::new(Some(LIMITS), origin(gateway), TimeMs(now));
    table.set_caps([(CUSTOMER, cap)], TimeMs(now));
    table
}

impl World {
    fn new(gateways: usize, plan: Plan, seed: u64) -> Self {
        let mut world = Self {
            tables: (0..gateways).map(|id| table(id, CAP, START_MS)).collect(),
            caps: vec![CAP; gateways],
            events: BinaryHeap::new(),
            messages: Vec::new(),
            admitted: Vec::new(),
            offered: Vec::new(),
            rows: 0,
            plan,
            rng: StdRng::seed_from_u64(seed),
        };
        for gateway in 0..gateways {
            let first = world.rng.random_range(0..60);
            world.push(START_MS + first, Event::Report { gateway });
        }
        world
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn is_within(span: Option<(u64, u64)>, at: u64) -> bool {
        span.is_some_and(|(from, until)| (from..until).contains(&(at - START_MS)))
    }

    fn side(&self, gateway: usize) -> usize {
        gateway * 2 / self.tables.len().max(2)
    }

    fn fleet(&self, gateway: usize, at: u64) -> Fleet {
        let known = self.tables.len();
        let before = at.saturating_sub(PEER_TIMEOUT_MS).max(START_MS);
        let is_cut =
            Self::is_within(self.plan.cut_ms, at) && Self::is_within(self.plan.cut_ms, before);
        let own = self.side(gateway);
        let heard = if is_cut {
            (0..known).filter(|other| self.side(*other) == own).count()
        } else {
            known
        };
        Fleet { known, heard }
    }

    /// Requests of a customer up to an end.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times and amounts of a test are small"
    )]
    fn add_arrivals(&mut self, spread: Spread, end_ms: u64) {
        let mut at = 0.0;
        loop {
            let (before, after) = self.plan.demand_percent;
            let percent = if at >= self.plan.demand_changes_ms as f64 {
                after
            } else {
                before
            };
            let per_ms = (CAP.rate_per_s * percent) as f64 / 100_000.0 / MEAN_COST as f64;
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            at -= uniform.ln() / per_ms;
            let Some(at) = Some(at as u64).filter(|at| *at < end_ms) else {
                return;
            };
            let gateway = match spread {
                Spread::One => 0,
                Spread::Even => self.rng.random_range(0..self.tables.len()),
            };
            let cost = if self.rng.random_range(0..2) == 0 {
                9_200
            } else {
                1_200
            };
            self.offered.push((START_MS + at, cost));
            let event = Event::Arrival {
                gateway,
                cost,
                returns: true,
            };
            self.push(START_MS + at, event);
        }
    }

    fn handle(&mut self, at: u64, event: Event) {
        let now = TimeMs(at);
        let frozen = self.plan.frozen_ms;
        let gateway = match event {
            Event::Arrival { gateway, .. } | Event::Report { gateway } => gateway,
            Event::Rows { receiver, .. } => receiver,
        };
        if gateway == 0 && Self::is_within(frozen, at) {
            let resumed_ms = START_MS + frozen.map_or(0, |span| span.1);
            if !matches!(event, Event::Rows { .. }) {
                self.push(resumed_ms, event);
            }
            return;
        }
        match event {
            Event::Arrival { cost, returns, .. } => self.arrive(gateway, cost, returns, at),
            Event::Rows { number, .. } => self.tables[gateway].apply(&self.messages[number], now),
            Event::Report { .. } => {
                let fleet = self.fleet(gateway, at);
                let rows = self.tables[gateway].report(fleet, now);
                self.send(gateway, rows, at);
                let next = at + self.rng.random_range(30..40);
                self.push(next, event);
            }
        }
    }

    fn send(&mut self, gateway: usize, rows: Vec<UsageRow>, at: u64) {
        if rows.is_empty() {
            return;
        }
        self.rows += rows.len();
        let number = self.messages.len();
        self.messages.push(rows);
        let delay = if self.tables.len() >= LARGE_FLEET {
            5..110
        } else {
            1..12
        };
        let is_cut = Self::is_within(self.plan.cut_ms, at);
        for receiver in 0..self.tables.len() {
            let is_lost = self.rng.random_range(0..100) < self.plan.loss_percent;
            let is_apart = is_cut && self.side(receiver) != self.side(gateway);
            if receiver != gateway && !is_lost && !is_apart {
                let wait = self.rng.random_range(delay.clone());
                self.push(at + wait, Event::Rows { receiver, number });
            }
        }
    }

    fn arrive(&mut self, gateway: usize, cost: u64, returns: bool, at: u64) {
        let request = UsageRequest {
            customer: CUSTOMER,
            cap: self.caps[gateway],
            cost,
            patience_ms: DurationMs(PATIENCE_MS),
        };
        let fleet = self.fleet(gateway, at);
        match self.tables[gateway].charge(&request, fleet, TimeMs(at)) {
            Ok(_) => self.admitted.push((at, cost)),
            Err(over) => {
                let DurationMs(wait) = over.retry_after_ms;
                if returns && wait <= PATIENCE_MS {
                    let event = Event::Arrival {
                        gateway,
                        cost,
                        returns: false,
                    };
                    self.push(at + wait, event);
                }
            }
        }
    }

    fn halve(&mut self, gateway: usize, at: u64) {
        let cap = UsageCap {
            rate_per_s: CAP.rate_per_s / 2,
            burst: CAP.burst / 2,
            ..CAP
        };
        self.caps[gateway] = cap;
        self.tables[gateway].set_caps([(CUSTOMER, cap)], TimeMs(at));
    }

    fn play(&mut self, spread: Spread, end_ms: u64) -> Outcome {
        self.add_arrivals(spread, end_ms);
        let last = self.tables.len() - 1;
        let mut halved = (
            self.plan.halved_ms,
            self.plan.halved_ms.map(|(at, late)| at + late),
        );
        let mut restart = self.plan.restart_ms;
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at >= START_MS + end_ms {
                break;
            }
            if let Some((from, kept)) = restart.filter(|row| at >= START_MS + row.0) {
                for id in kept..=last {
                    self.tables[id] = table(id, self.caps[id], START_MS + from);
                }
                restart = None;
            }
            if halved.0.is_some_and(|row| at >= START_MS + row.0) {
                (0..last).for_each(|id| self.halve(id, at));
                halved.0 = None;
            }
            if halved.1.is_some_and(|late_ms| at >= START_MS + late_ms) {
                self.halve(last, at);
                halved.1 = None;
            }
            self.handle(at, event);
        }
        self.admitted.sort_unstable();
        Outcome {
            worst_percent: worst(&self.admitted, &CAP),
            served_permille: self.served_permille(),
            rows_per_s: self.rows * 1_000
                / self.tables.len()
                / usize::try_from(end_ms).expect("a time"),
        }
    }

    /// From 4 s on. The exact bucket begins empty, like those of all that start.
    fn served_permille(&self) -> u64 {
        let from = START_MS + 4_000;
        let (mut level, mut at_ms, mut owed) = (0, START_MS, 0);
        for (at, cost) in &self.offered {
            level = (level + CAP.rate_per_s * (at - at_ms) / 1_000).min(CAP.burst);
            at_ms = *at;
            if level >= *cost {
                level -= cost;
                owed += if *at >= from { *cost } else { 0 };
            }
        }
        let admitted = self.admitted.iter().filter(|row| row.0 >= from);
        admitted.map(|row| row.1).sum::<u64>() * 1_000 / owed.max(1)
    }
}

/// The use in the fullest window, in percent of what it permits.
fn worst(admitted: &[(u64, u64)], cap: &UsageCap) -> u64 {
    let window_ms = LIMITS.window_ms.0;
    let permitted = cap.rate_per_s * window_ms / 1_000 + cap.burst;
    let permitted = permitted * (1_000 + LIMITS.overage_milli) / 1_000 + LIMITS.slack;
    let (mut from, mut sum, mut largest) = (0, 0, 0);
    for (at, cost) in admitted {
        sum += cost;
        while admitted[from].0 + window_ms <= *at {
            sum -= admitted[from].1;
            from += 1;
        }
        largest = largest.max(sum);
    }
    (largest * 100).div_ceil(permitted)
}

fn play(gateways: usize, spread: Spread, plan: Plan, seed: u64) -> Outcome {
    let mut world = World::new(gateways, plan, seed);
    let outcome = world.play(spread, 20_000);
    println!(
        "{gateways} entry VMs, seed {seed}: worst window {} % of what is permitted, served {} permille, {} rows/s",
        outcome.worst_percent, outcome.served_permille, outcome.rows_per_s
    );
    outcome
}

const fn demand(before: u64, after: u64) -> Plan {
    Plan {
        demand_percent: (before, after),
        demand_changes_ms: 8_000,
        cut_ms: None,
        restart_ms: None,
        frozen_ms: None,
        halved_ms: None,
        loss_percent: 5,
    }
}

/// A customer's burst ran 5 % more than its cap permits, since nothing limited it. Of the reports, 5 % are
/// lost.
#[test_case(1, Spread::One, (300, 300); "one entry VM")]
#[test_case(8, Spread::One, (150, 150); "all at one of 8")]
#[test_case(88, Spread::One, (150, 150); "all at one of 88")]
#[test_case(88, Spread::One, (50, 700); "seven times at one of 88")]
#[test_case(8, Spread::Even, (80, 700); "seven times at 8")]
#[test_case(88, Spread::Even, (100, 700); "seven times at 88")]
#[test_case(88, Spread::Even, (95, 95); "now and then at each of 88")]
#[test_case(88, Spread::Even, (130, 130); "a little too much at 88")]
#[test_case(300, Spread::Even, (100, 700); "seven times at 300")]
#[test_case(300, Spread::One, (50, 700); "seven times at one of 300")]
fn use_stays_within_the_cap_and_what_it_permits_is_served(
    gateways: usize,
    spread: Spread,
    percent: (u64, u64),
) {
    for seed in 0..2 {
        let outcome = play(gateways, spread, demand(percent.0, percent.1), seed);
        assert!(outcome.worst_percent <= 100, "{} %", outcome.worst_percent);
        assert!(
            outcome.served_permille >= 980,
            "{}",
            outcome.served_permille
        );
    }
}

/// Both halves spent the whole cap when they lost each other in a burst.
#[test_case(8, 7_900; "8, right before a burst")]
#[test_case(8, 8_500; "8, in a burst")]
#[test_case(88, 4_000; "88, long before a burst")]
#[test_case(88, 7_900; "88, right before a burst")]
#[test_case(88, 8_500; "88, in a burst")]
#[test_case(300, 7_900; "300, right before a burst")]
fn two_halves_that_lose_each_other_stay_within_the_cap(gateways: usize, from_ms: u64) {
    let plan = Plan {
        cut_ms: Some((from_ms, 15_000)),
        ..demand(100, 700)
    };
    let outcome = play(gateways, Spread::Even, plan, 1);
    assert!(outcome.worst_percent <= 100, "{} %", outcome.worst_percent);
}

/// A bucket that is full after a restart permits a burst that was already spent.
#[test_case(1, 0, 12_000; "the only one")]
#[test_case(8, 0, 12_000; "all of 8")]
#[test_case(8, 1, 12_000; "all but one of 8")]
#[test_case(88, 0, 12_000; "all of 88")]
#[test_case(88, 1, 12_000; "all but one of 88")]
#[test_case(88, 0, 8_300; "all of 88 in a burst")]
fn restarts_give_no_new_burst(gateways: usize, kept: usize, at_ms: u64) {
    let plan = Plan {
        restart_ms: Some((at_ms, kept)),
        ..demand(100, 700)
    };
    let outcome = play(gateways, Spread::Even, plan, 1);
    assert!(outcome.worst_percent <= 100, "{} %", outcome.worst_percent);
}

/// A gateway that stood still believed that nobody had spent anything meanwhile, and one that doesn't
/// come back kept its share for good.
#[test_case(2, (8_200, 13_000); "of 2, for 5 s")]
#[test_case(8, (8_200, 13_000); "of 8, for 5 s")]
#[test_case(88, (8_200, 10_000); "of 88, for 2 s")]
#[test_case(8, (8_200, 60_000); "of 8, for good")]
fn a_gateway_that_stands_still_spends_nothing_twice(gateways: usize, frozen_ms: (u64, u64)) {
    for spread in [Spread::One, Spread::Even] {
        let plan = Plan {
            frozen_ms: Some(frozen_ms),
            ..demand(100, 700)
        };
        let outcome = play(gateways, spread, plan, 1);
        assert!(outcome.worst_percent <= 100, "{} %", outcome.worst_percent);
    }
}

/// A lower cap binds one window after all could know it. One gateway learns of it late and the others
/// hear what it spends.
#[test_case(8; "8")]
#[test_case(88; "88")]
fn a_lower_cap_binds_after_one_window(gateways: usize) {
    let plan = Plan {
        halved_ms: Some((8_000, 3_000)),
        ..demand(300, 300)
    };
    let mut world = World::new(gateways, plan, 1);
    world.play(Spread::Even, 26_000);
    let known_ms = START_MS + 11_000;
    let later = world.admitted.iter().filter(|row| row.0 >= known_ms);
    let later: Vec<(u64, u64)> = later.copied().collect();
    let percent = worst(&later, &world.caps[0]);
    println!("{gateways}: {percent} % of the lower cap");
    assert!(percent <= 100, "{percent} %");
}

/// Callers come back as they are told, which is of no use before there is room.
#[test]
fn the_time_to_wait_is_when_the_share_has_room() {
    let mut table = table(0, CAP, START_MS);
    let fleet = Fleet { known: 1, heard: 1 };
    let request = |cost: u64| UsageRequest {
        customer: CUSTOMER,
        cap: CAP,
        cost,
        patience_ms: DurationMs(PATIENCE_MS),
    };
    let mut waits = Vec::new();
    for _ in 0..20 {
        if let Err(over) = table.charge(&request(200_000), fleet, TimeMs(START_MS)) {
            waits.push(over.retry_after_ms);
        }
    }
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[19] > DurationMs(PATIENCE_MS), "{waits:?}");
    let at = TimeMs(START_MS).after(waits[0]).after(DurationMs(400));
    assert!(table.charge(&request(200_000), fleet, at).is_ok());
}

/// Attempts that certainly haven't run don't count.
#[test]
fn what_has_not_run_is_returned() {
    let mut table = table(0, CAP, START_MS);
    let fleet = Fleet { known: 1, heard: 1 };
    let request = UsageRequest {
        customer: CUSTOMER,
        cap: CAP,
        cost: CAP.burst,
        patience_ms: DurationMs(0),
    };
    let now = TimeMs(START_MS + 2_000);
    for _ in 0..10 {
        let charge = table.charge(&request, fleet, now).expect("room");
        table.refund(&charge);
    }
    let charge = table.charge(&request, fleet, now).expect("room");
    table.charge_again(&charge);
    assert!(table.charge(&request, fleet, now).is_err());
}

/// Without limits, or for a customer without a cap, nothing changes.
#[test]
fn nothing_is_refused_without_limits() {
    let mut table = UsageTable::new(None, origin(0), TimeMs(0));
    let request = UsageRequest {
        customer: CUSTOMER,
        cap: CAP,
        cost: u64::MAX,
        patience_ms: DurationMs(0),
    };
    let fleet = Fleet { known: 1, heard: 1 };
    for _ in 0..10 {
        assert!(table.charge(&request, fleet, TimeMs(0)).is_ok());
    }
    assert!(table.report(fleet, TimeMs(0)).is_empty());
}
