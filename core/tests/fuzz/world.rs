//! Entry VMs, workers and the table service, and the messages between them.

mod checks;
mod faults;
mod workers;

use {
    crate::{
        Step,
        common::{self, CHAT, CUSTOMERS, DISPATCH, READ},
        oracle::{Ask, Oracle, answer_to},
        table::{TableMode, TableModel},
        worker::WorkerModel,
    },
    cactusspur_core::{
        AttemptId, CallId, ClassId, Command, Core, DurationMs, Event, FencingNumber, Incarnation,
        Order, OrderOutcome, RecordAnswer, RecordCall, Send, TICK_MS, TimeMs, WeightsVersion,
        WorkerId,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The number of entry VMs.
pub const NODES: usize = 3;
/// The number of workers.
pub const WORKERS: usize = 7;
/// The time that a call to the table service may take.
const CALL_LIMIT_MS: u64 = 500;
/// The time between two reports or lists.
const REPORT_INTERVAL_MS: u64 = 500;
/// How long work may still go to a worker that is known to be leaving.
const LEAVING_LIMIT_MS: u64 = 3_000;
/// Loads of weights at the same time at the most.
const MAX_LOADS: usize = 2;
/// The time in which everything must have ended once all faults are mended.
const HEAL_MS: u64 = 60_000;

#[derive(Debug)]
struct Node {
    core: Core,
    shutting_down: bool,
    life: u64,
    paused_until: TimeMs,
    cut_until: TimeMs,
    parted_until: TimeMs,
    domain: &'static str,
    told_leaving: Vec<(WorkerId, TimeMs)>,
    lives: Vec<(WorkerId, Incarnation)>,
    highest_generation: u64,
    lists_at: TimeMs,
}

#[derive(Clone, Debug)]
enum Parcel {
    /// Something for an entry VM's process; from an attempt's connection when one is given.
    Event {
        node: usize,
        life: u64,
        from: Option<(WorkerId, AttemptId)>,
        event: Event,
    },
    Job {
        worker: WorkerId,
        node: usize,
        life: u64,
        send: Send,
    },
    Cancel {
        attempt: AttemptId,
    },
    Probe {
        worker: WorkerId,
        node: usize,
        life: u64,
    },
    Order {
        worker: WorkerId,
        node: usize,
        life: u64,
        fencing: FencingNumber,
        weights: WeightsVersion,
    },
    Call {
        node: usize,
        life: u64,
        call: CallId,
        operation: RecordCall,
        answered: bool,
    },
}

/// Everything.
#[derive(Debug)]
pub struct World {
    now: TimeMs,
    seed: u64,
    drawn: u64,
    nodes: Vec<Node>,
    workers: Vec<WorkerModel>,
    table: TableModel,
    mode: TableMode,
    parcels: Vec<(TimeMs, u64, Parcel)>,
    silent: Vec<AttemptId>,
    oracle: Oracle,
    generation: u64,
    healed: bool,
    /// Outdated orders that an engine took, since it ignores or doesn't know the higher number.
    stale_orders: u64,
    loads: u64,
    blocked: u64,
    blocked_never_run: u64,
}

/// The worker that reports, if it is a report.
fn reporter(event: &Event) -> Option<WorkerId> {
    match event {
        Event::Load(report) => Some(report.worker),
        Event::Cache(report) => Some(report.worker),
        Event::WorkerLeaving { worker, .. } => Some(*worker),
        _ => None,
    }
}

/// The incarnation of an entry VM's process.
fn incarnation(node: usize, life: u64) -> u64 {
    life * 10 + node as u64
}

fn dispatch() -> ClassId {
    ClassId::from_name(DISPATCH)
}

impl World {
    pub fn open(seed: u64) -> Self {
        let spawn = |(number, (name, domain, service)): (usize, _)| {
            WorkerModel::spawn(number as u64, name, domain, service)
        };
        let workers = [
            ("engine-a", "a", None),
            ("engine-b", "b", None),
            ("engine-c", "c", None),
            ("read-a", "a", Some(READ)),
            ("read-b", "b", Some(READ)),
            ("dispatch-a", "a", Some(DISPATCH)),
            ("dispatch-b", "b", Some(DISPATCH)),
        ];
        let mut world = Self {
            now: TimeMs(1_000_000),
            seed,
            drawn: 0,
            nodes: (0..NODES).map(|node| Node::open(node, 1)).collect(),
            workers: workers.into_iter().enumerate().map(spawn).collect(),
            table: TableModel::default(),
            mode: TableMode::Up,
            parcels: Vec::new(),
            silent: Vec::new(),
            oracle: Oracle::default(),
            generation: 1,
            healed: false,
            stale_orders: 0,
            loads: 0,
            blocked: 0,
            blocked_never_run: 0,
        };
        for node in 0..NODES {
            world.configure(node, 1);
        }
        world.advance(2 * REPORT_INTERVAL_MS + 1_000);
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed) % below.max(1)
    }

    fn later(&mut self, delay_ms: u64, parcel: Parcel) {
        self.drawn += 1;
        let due = self.now.after(DurationMs(delay_ms));
        self.parcels.push((due, self.drawn, parcel));
    }

    /// Carries a step out.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Ask {
                node,
                customer,
                class,
                key,
                body,
            } => self.ask(node, customer, class, key, body),
            Step::Advance { ms } => self.advance(ms),
            Step::Delay { pick, ms } => self.delay(pick, ms),
            Step::Repeat { pick, ms } => self.repeat(pick, ms),
            Step::Lose { pick } => self.lose(pick),
            Step::Break { pick } => self.break_connection(pick),
            Step::Silence { pick } => self.silent.extend(self.running(pick)),
            Step::Crash { worker, ms } => self.crash(worker, ms),
            Step::Freeze { worker, ms } => self.freeze(worker, ms),
            Step::Leave { worker, lag_ms } => self.leave(worker, lag_ms),
            Step::Unlist { worker, ms } => {
                self.workers[worker].unlisted_until = self.now.after(DurationMs(ms));
            }
            Step::Table { mode } => self.mode = mode,
            Step::Cut { node, ms } => self.nodes[node].cut_until = self.now.after(DurationMs(ms)),
            Step::Part { node, ms } => {
                self.nodes[node].parted_until = self.now.after(DurationMs(ms));
            }
            Step::Restart { node } => self.restart(node),
            Step::Pause { node, ms } => {
                self.nodes[node].paused_until = self.now.after(DurationMs(ms));
            }
            Step::Configure { node, generation } => self.configure(node, generation),
            Step::ShutDown { node } => {
                self.nodes[node].shutting_down = true;
                self.handle(node, Event::ShutdownStarted);
            }
            Step::CallerLeaves { pick } => self.caller_leaves(pick),
        }
    }

    fn ask(&mut self, node: usize, customer: usize, class: usize, key: u8, body: u8) {
        let number = 1 + self.oracle.asks.len() as u64;
        let class = [CHAT, CHAT, READ, DISPATCH][class];
        let rules = "house rules ".repeat(60);
        let site = format!("site {key} ").repeat(40);
        let question = format!("question {number} to {class} of {customer}");
        let levels = [&rules[..], &site, &question];
        let mut arrival = common::arrival(number, CUSTOMERS[customer], class, &levels);
        arrival.idempotency_key = (class == DISPATCH).then(|| format!("key-{key}"));
        arrival.body_hash = u64::from(body == 0);
        let ask = Ask {
            expected: answer_to(&arrival),
            arrival: arrival.clone(),
            node,
            life: self.nodes[node].life,
            delivered: 0,
            attempts: Vec::new(),
            runs: Vec::new(),
            last: None,
            left: false,
        };
        self.oracle.asks.insert(arrival.request, ask);
        if self.nodes[node].paused_until > self.now {
            let life = self.nodes[node].life;
            let event = Event::Arrived(arrival);
            self.later(0, Parcel::event(node, life, event));
            return;
        }
        let request = arrival.request;
        self.handle(node, Event::Arrived(arrival));
        if self.nodes[node].shutting_down {
            let ask = self.oracle.asks.get(&request).expect("just asked");
            assert!(
                ask.told_not_run(),
                "{request} was taken during the shutdown"
            );
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, ms: u64) {
        const SLICE_MS: u64 = 2 * TICK_MS.0;
        let end = self.now.after(DurationMs(ms));
        while self.now < end {
            let before = self.now.0 / REPORT_INTERVAL_MS;
            self.now = end.min(self.now.after(DurationMs(SLICE_MS)));
            if self.now.0 / REPORT_INTERVAL_MS > before {
                self.report();
            }
            for worker in &mut self.workers {
                worker.load(self.now);
            }
            let ticks_first = self.draw(4) == 0;
            if ticks_first {
                self.tick_all();
            }
            self.deliver_due();
            if !ticks_first {
                self.tick_all();
            }
        }
    }

    fn tick_all(&mut self) {
        for node in 0..NODES {
            if self.nodes[node].paused_until <= self.now {
                self.handle(node, Event::Tick);
            }
        }
    }

    fn deliver_due(&mut self) {
        loop {
            let due = (0..self.parcels.len())
                .filter(|at| self.parcels[*at].0 <= self.now && !self.held(*at))
                .min_by_key(|at| (self.parcels[*at].0, self.parcels[*at].1));
            let Some(at) = due else {
                return;
            };
            let parcel = self.parcels.remove(at).2;
            self.deliver(parcel);
        }
    }

    fn held(&self, at: usize) -> bool {
        matches!(&self.parcels[at].2, Parcel::Event { node, .. }
            if self.nodes[*node].paused_until > self.now)
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Event {
                node,
                life,
                from,
                event,
            } => {
                let lost = from.is_some_and(|from| !self.reaches(node, from.0));
                if lost {
                    self.silent.extend(from.map(|from| from.1));
                }
                let silent = from.is_some_and(|from| self.silent.contains(&from.1));
                let reported = reporter(&event).is_none_or(|id| self.reaches(node, id));
                if self.nodes[node].life == life && !silent && reported {
                    self.note_told(node, &event);
                    self.handle(node, event);
                }
            }
            Parcel::Job {
                worker,
                node,
                life,
                send,
            } => self.run(worker, node, life, &send),
            Parcel::Cancel { attempt } => self.cancel(attempt),
            Parcel::Probe { worker, node, life } => {
                let now = self.now;
                let reached = self.reaches(node, worker);
                let alive = self.worker(worker).answers(now);
                let incarnation = alive.filter(|_| reached);
                let event = Event::Probed {
                    worker,
                    incarnation,
                };
                let wait_ms = if incarnation.is_some() { 1 } else { 500 };
                self.later(wait_ms, Parcel::event(node, life, event));
            }
            Parcel::Order {
                worker,
                node,
                life,
                fencing,
                weights,
            } => {
                let outcome = if self.reaches(node, worker) {
                    self.order(worker, fencing, weights)
                } else {
                    OrderOutcome::Unknown
                };
                let event = Event::OrderAnswered {
                    worker,
                    fencing,
                    outcome,
                };
                self.later(1, Parcel::event(node, life, event));
            }
            Parcel::Call {
                node,
                life,
                call,
                operation,
                answered,
            } => {
                let answer = self.table.apply(&operation);
                if answered {
                    let event = Event::RecordAnswered { call, answer };
                    let wait_ms = self.draw(20);
                    self.later(wait_ms, Parcel::event(node, life, event));
                }
            }
        }
    }

    fn note_told(&mut self, node: usize, event: &Event) {
        let now = self.now;
        let Node {
            core, told_leaving, ..
        } = &mut self.nodes[node];
        let told = told_leaving;
        match event {
            Event::WorkerLeaving {
                worker,
                incarnation,
            } => {
                let same = |model: &WorkerModel| {
                    model.id() == *worker && model.incarnation == *incarnation && model.leaving
                };
                let listed = core.workers().any(|known| known.id == *worker);
                if listed
                    && self.workers.iter().any(same)
                    && !told.iter().any(|row| row.0 == *worker)
                {
                    told.push((*worker, now));
                }
            }
            Event::Vms(list) => {
                for vm in &list.vms {
                    let id = vm.worker();
                    let leaves = |model: &WorkerModel| model.id() == id && model.leaving;
                    if !self.workers.iter().any(leaves) {
                        told.retain(|row| row.0 != id);
                    } else if vm.leaving && !told.iter().any(|row| row.0 == id) {
                        told.push((id, now));
                    }
                }
            }
            _ => {}
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        let commands = self.nodes[node].core.handle(now, event);
        self.nodes[node].note_lives();
        for command in commands {
            self.oracle.told(&command, dispatch());
            self.carry_out(node, command);
        }
    }

    fn carry_out(&mut self, node: usize, command: Command) {
        let life = self.nodes[node].life;
        let wait_ms = 1 + self.draw(4);
        match command {
            Command::Send(send) => {
                self.check_send(node, &send);
                let worker = send.worker;
                let job = Parcel::Job {
                    worker,
                    node,
                    life,
                    send,
                };
                self.later(wait_ms, job);
            }
            Command::Cancel { attempt, .. } => self.later(wait_ms, Parcel::Cancel { attempt }),
            Command::Order {
                worker,
                fencing,
                order: Order::Load(model),
            } => {
                self.check_order(node, fencing);
                let weights = model.weights_version;
                let order = Parcel::Order {
                    worker,
                    node,
                    life,
                    fencing,
                    weights,
                };
                self.later(wait_ms, order);
            }
            Command::Probe { worker } => self.later(wait_ms, Parcel::Probe { worker, node, life }),
            Command::Record { call, operation } => self.call(node, call, operation),
            Command::Resynchronise { worker, after } => {
                let event = Event::Cache(self.worker(worker).report(after));
                self.later(wait_ms, Parcel::event(node, life, event));
            }
            _ => {}
        }
    }

    fn call(&mut self, node: usize, call: CallId, operation: RecordCall) {
        let life = self.nodes[node].life;
        let cut = self.nodes[node].cut_until > self.now;
        let mode = if cut { TableMode::Down } else { self.mode };
        let delay_ms = match mode {
            TableMode::Slow => 100 + self.draw(300),
            TableMode::Late => CALL_LIMIT_MS + self.draw(8_000),
            _ => 1 + self.draw(10),
        };
        let answered = matches!(mode, TableMode::Up | TableMode::Slow);
        if !answered {
            let answer = RecordAnswer::Unknown;
            let event = Event::RecordAnswered { call, answer };
            self.later(CALL_LIMIT_MS, Parcel::event(node, life, event));
        }
        if mode != TableMode::Down {
            let parcel = Parcel::Call {
                node,
                life,
                call,
                operation,
                answered,
            };
            self.later(delay_ms, parcel);
        }
    }

    fn configure(&mut self, node: usize, generation: u64) {
        self.generation = self.generation.max(generation);
        let known = &mut self.nodes[node].highest_generation;
        *known = generation.max(*known);
        let accepted = common::configuration(generation);
        self.handle(node, Event::Configured(accepted));
    }
}

impl Node {
    fn open(node: usize, life: u64) -> Self {
        let (name, domain) = [("entry-a", "a"), ("entry-b", "b"), ("entry-c", "c")][node];
        Self {
            core: common::core(name, domain, incarnation(node, life)),
            shutting_down: false,
            life,
            paused_until: TimeMs(0),
            cut_until: TimeMs(0),
            parted_until: TimeMs(0),
            domain,
            told_leaving: Vec::new(),
            lives: Vec::new(),
            highest_generation: 0,
            lists_at: TimeMs(0),
        }
    }

    /// A worker's life that has ended must not count as its life again.
    fn note_lives(&mut self) {
        for worker in self.core.workers() {
            let Some(life) = worker.incarnation else {
                continue;
            };
            match self.lives.iter_mut().find(|row| row.0 == worker.id) {
                Some(row) => {
                    assert!(row.1 <= life, "{} went back to a dead life", worker.id);
                    row.1 = life;
                }
                None => self.lives.push((worker.id, life)),
            }
        }
    }
}

impl Parcel {
    fn event(node: usize, life: u64, event: Event) -> Self {
        Self::Event {
            node,
            life,
            from: None,
            event,
        }
    }

    fn from(node: usize, life: u64, worker: WorkerId, attempt: AttemptId, event: Event) -> Self {
        Self::Event {
            node,
            life,
            from: Some((worker, attempt)),
            event,
        }
    }

    fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Event { from, .. } => from.map(|from| from.1),
            _ => None,
        }
    }
}
