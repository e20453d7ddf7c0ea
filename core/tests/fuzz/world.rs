//! A simulation of entry VMs, workers and the table service, with the messages between them.

mod checks;
mod faults;
mod workers;

use {
    crate::{
        Step,
        common::{self, CHAT, CUSTOMERS, DISPATCH, READ},
        oracle::{Oracle, RequestLog, answer_to},
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
/// Timeout of a call to the table service.
const CALL_LIMIT_MS: u64 = 500;
/// Interval between load reports, and between VM lists.
const REPORT_INTERVAL_MS: u64 = 500;
/// How long an entry VM may send work to a worker after it learned that the worker is leaving.
const LEAVING_LIMIT_MS: u64 = 3_000;
/// Maximum number of concurrent loads of weights.
const MAX_LOADS: usize = 2;
/// Time within which every request must end after the last fault.
const RECOVERY_LIMIT_MS: u64 = 60_000;

/// An entry VM.
#[derive(Debug)]
struct Node {
    core: Core,
    shutting_down: bool,
    /// Number of the process, incremented with each restart.
    epoch: u64,
    paused_until: TimeMs,
    /// Until then it can't reach the table service.
    cut_until: TimeMs,
    /// Until then it can't reach the workers of other failure domains.
    partitioned_until: TimeMs,
    domain: &'static str,
    known_leaving: Vec<(WorkerId, TimeMs)>,
    incarnations: Vec<(WorkerId, Incarnation)>,
    highest_generation: u64,
    next_list_at: TimeMs,
}

/// A message in flight.
#[derive(Clone, Debug)]
enum Message {
    /// An event for an entry VM's process; `from` is set if it arrives on an attempt's connection.
    Event {
        node: usize,
        epoch: u64,
        from: Option<(WorkerId, AttemptId)>,
        event: Event,
    },
    Job {
        worker: WorkerId,
        node: usize,
        epoch: u64,
        send: Send,
    },
    Cancel {
        attempt: AttemptId,
    },
    Probe {
        worker: WorkerId,
        node: usize,
        epoch: u64,
    },
    Order {
        worker: WorkerId,
        node: usize,
        epoch: u64,
        fencing: FencingNumber,
        weights: WeightsVersion,
    },
    Call {
        node: usize,
        epoch: u64,
        call: CallId,
        operation: RecordCall,
        answered: bool,
    },
}

/// The simulation.
#[derive(Debug)]
pub struct World {
    now: TimeMs,
    seed: u64,
    random_count: u64,
    nodes: Vec<Node>,
    workers: Vec<WorkerModel>,
    table: TableModel,
    mode: TableMode,
    messages: Vec<(TimeMs, u64, Message)>,
    silent: Vec<AttemptId>,
    oracle: Oracle,
    generation: u64,
    is_recovering: bool,
    /// Outdated orders that an engine accepted, since it ignores fencing numbers or hasn't seen the
    /// higher one.
    stale_orders: u64,
    loads: u64,
    blocked: u64,
    blocked_never_run: u64,
}

/// The worker that sent the event, if it is a worker's report.
fn reporter(event: &Event) -> Option<WorkerId> {
    match event {
        Event::Load(report) => Some(report.worker),
        Event::Cache(report) => Some(report.worker),
        Event::WorkerLeaving { worker, .. } => Some(*worker),
        _ => None,
    }
}

/// The incarnation of an entry VM's process in the given epoch.
fn incarnation(node: usize, epoch: u64) -> u64 {
    epoch * 10 + node as u64
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
            random_count: 0,
            nodes: (0..NODES).map(|node| Node::open(node, 1)).collect(),
            workers: workers.into_iter().enumerate().map(spawn).collect(),
            table: TableModel::default(),
            mode: TableMode::Up,
            messages: Vec::new(),
            silent: Vec::new(),
            oracle: Oracle::default(),
            generation: 1,
            is_recovering: false,
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

    fn random_below(&mut self, below: u64) -> u64 {
        self.random_count += 1;
        xxh3_64_with_seed(&self.random_count.to_le_bytes(), self.seed) % below.max(1)
    }

    fn schedule(&mut self, delay_ms: u64, message: Message) {
        self.random_count += 1;
        let due = self.now.after(DurationMs(delay_ms));
        self.messages.push((due, self.random_count, message));
    }

    /// Executes a step.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Send {
                node,
                customer,
                class,
                key,
                body,
            } => self.send_request(node, customer, class, key, body),
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
            Step::Partition { node, ms } => {
                self.nodes[node].partitioned_until = self.now.after(DurationMs(ms));
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

    fn send_request(&mut self, node: usize, customer: usize, class: usize, key: u8, body: u8) {
        let number = 1 + self.oracle.requests.len() as u64;
        let class = [CHAT, CHAT, READ, DISPATCH][class];
        let rules = "house rules ".repeat(60);
        let site = format!("site {key} ").repeat(40);
        let question = format!("question {number} to {class} of {customer}");
        let levels = [&rules[..], &site, &question];
        let mut arrival = common::arrival(number, CUSTOMERS[customer], class, &levels);
        arrival.idempotency_key = (class == DISPATCH).then(|| format!("key-{key}"));
        arrival.body_hash = u64::from(body == 0);
        let tracked = RequestLog {
            expected: answer_to(&arrival),
            arrival: arrival.clone(),
            node,
            epoch: self.nodes[node].epoch,
            delivered: 0,
            attempts: Vec::new(),
            runs: Vec::new(),
            final_answer: None,
            caller_left: false,
        };
        self.oracle.requests.insert(arrival.request, tracked);
        if self.nodes[node].paused_until > self.now {
            let epoch = self.nodes[node].epoch;
            let event = Event::Arrived(arrival);
            self.schedule(0, Message::event(node, epoch, event));
            return;
        }
        let request = arrival.request;
        self.handle(node, Event::Arrived(arrival));
        if self.nodes[node].shutting_down {
            let tracked = self
                .oracle
                .requests
                .get(&request)
                .expect("a request just sent");
            assert!(
                tracked.ended_not_run(),
                "{request} was accepted during the shutdown"
            );
        }
    }

    /// Advances the simulated time.
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
            let ticks_first = self.random_below(4) == 0;
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
            let due = (0..self.messages.len())
                .filter(|i| self.messages[*i].0 <= self.now && !self.is_held_back(*i))
                .min_by_key(|i| (self.messages[*i].0, self.messages[*i].1));
            let Some(i) = due else {
                return;
            };
            let message = self.messages.remove(i).2;
            self.deliver(message);
        }
    }

    fn is_held_back(&self, index: usize) -> bool {
        matches!(&self.messages[index].2, Message::Event { node, .. }
            if self.nodes[*node].paused_until > self.now)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Event {
                node,
                epoch,
                from,
                event,
            } => {
                let lost = from.is_some_and(|from| !self.reaches(node, from.0));
                if lost {
                    self.silent.extend(from.map(|from| from.1));
                }
                let silent = from.is_some_and(|from| self.silent.contains(&from.1));
                let reported = reporter(&event).is_none_or(|id| self.reaches(node, id));
                if self.nodes[node].epoch == epoch && !silent && reported {
                    self.record_known_leaving(node, &event);
                    self.handle(node, event);
                }
            }
            Message::Job {
                worker,
                node,
                epoch,
                send,
            } => self.run(worker, node, epoch, &send),
            Message::Cancel { attempt } => self.cancel(attempt),
            Message::Probe {
                worker,
                node,
                epoch,
            } => {
                let now = self.now;
                let reached = self.reaches(node, worker);
                let alive = self.worker(worker).answers(now);
                let incarnation = alive.filter(|_| reached);
                let event = Event::Probed {
                    worker,
                    incarnation,
                };
                let wait_ms = if incarnation.is_some() { 1 } else { 500 };
                self.schedule(wait_ms, Message::event(node, epoch, event));
            }
            Message::Order {
                worker,
                node,
                epoch,
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
                self.schedule(1, Message::event(node, epoch, event));
            }
            Message::Call {
                node,
                epoch,
                call,
                operation,
                answered,
            } => {
                let answer = self.table.apply(&operation);
                if answered {
                    let event = Event::RecordAnswered { call, answer };
                    let wait_ms = self.random_below(20);
                    self.schedule(wait_ms, Message::event(node, epoch, event));
                }
            }
        }
    }

    fn record_known_leaving(&mut self, node: usize, event: &Event) {
        let now = self.now;
        let Node {
            core,
            known_leaving,
            ..
        } = &mut self.nodes[node];
        let known = known_leaving;
        match event {
            Event::WorkerLeaving {
                worker,
                incarnation,
            } => {
                let same = |model: &WorkerModel| {
                    model.id() == *worker && model.incarnation == *incarnation && model.leaving
                };
                let listed = core.workers().any(|row| row.id == *worker);
                if listed
                    && self.workers.iter().any(same)
                    && !known.iter().any(|row| row.0 == *worker)
                {
                    known.push((*worker, now));
                }
            }
            Event::Vms(list) => {
                for vm in &list.vms {
                    let id = vm.worker();
                    let leaves = |model: &WorkerModel| model.id() == id && model.leaving;
                    if !self.workers.iter().any(leaves) {
                        known.retain(|row| row.0 != id);
                    } else if vm.leaving && !known.iter().any(|row| row.0 == id) {
                        known.push((id, now));
                    }
                }
            }
            _ => {}
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        let commands = self.nodes[node].core.handle(now, event);
        self.nodes[node].check_incarnations();
        for command in commands {
            self.oracle.record_command(&command, dispatch());
            self.carry_out(node, command);
        }
    }

    fn carry_out(&mut self, node: usize, command: Command) {
        let epoch = self.nodes[node].epoch;
        let wait_ms = 1 + self.random_below(4);
        match command {
            Command::Send(send) => {
                self.check_send(node, &send);
                let worker = send.worker;
                let job = Message::Job {
                    worker,
                    node,
                    epoch,
                    send,
                };
                self.schedule(wait_ms, job);
            }
            Command::Cancel { attempt, .. } => self.schedule(wait_ms, Message::Cancel { attempt }),
            Command::Order {
                worker,
                fencing,
                order: Order::Load(model),
            } => {
                self.check_order(node, fencing);
                let weights = model.weights_version;
                let order = Message::Order {
                    worker,
                    node,
                    epoch,
                    fencing,
                    weights,
                };
                self.schedule(wait_ms, order);
            }
            Command::Probe { worker } => self.schedule(
                wait_ms,
                Message::Probe {
                    worker,
                    node,
                    epoch,
                },
            ),
            Command::Record { call, operation } => self.call(node, call, operation),
            Command::Resynchronise { worker, after } => {
                let event = Event::Cache(self.worker(worker).report(after));
                self.schedule(wait_ms, Message::event(node, epoch, event));
            }
            _ => {}
        }
    }

    fn call(&mut self, node: usize, call: CallId, operation: RecordCall) {
        let epoch = self.nodes[node].epoch;
        let is_cut = self.nodes[node].cut_until > self.now;
        let mode = if is_cut { TableMode::Down } else { self.mode };
        let delay_ms = match mode {
            TableMode::Slow => 100 + self.random_below(300),
            TableMode::Late => CALL_LIMIT_MS + self.random_below(8_000),
            _ => 1 + self.random_below(10),
        };
        let answered = matches!(mode, TableMode::Up | TableMode::Slow);
        if !answered {
            let answer = RecordAnswer::Unknown;
            let event = Event::RecordAnswered { call, answer };
            self.schedule(CALL_LIMIT_MS, Message::event(node, epoch, event));
        }
        if mode != TableMode::Down {
            let message = Message::Call {
                node,
                epoch,
                call,
                operation,
                answered,
            };
            self.schedule(delay_ms, message);
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
    fn open(node: usize, epoch: u64) -> Self {
        let (name, domain) = [("entry-a", "a"), ("entry-b", "b"), ("entry-c", "c")][node];
        Self {
            core: common::core(name, domain, incarnation(node, epoch)),
            shutting_down: false,
            epoch,
            paused_until: TimeMs(0),
            cut_until: TimeMs(0),
            partitioned_until: TimeMs(0),
            domain,
            known_leaving: Vec::new(),
            incarnations: Vec::new(),
            highest_generation: 0,
            next_list_at: TimeMs(0),
        }
    }

    /// Asserts that no core reverts to an earlier incarnation of a worker.
    fn check_incarnations(&mut self) {
        for worker in self.core.workers() {
            let Some(incarnation) = worker.incarnation else {
                continue;
            };
            match self.incarnations.iter_mut().find(|row| row.0 == worker.id) {
                Some(row) => {
                    assert!(
                        row.1 <= incarnation,
                        "{} reverted to an earlier incarnation",
                        worker.id
                    );
                    row.1 = incarnation;
                }
                None => self.incarnations.push((worker.id, incarnation)),
            }
        }
    }
}

impl Message {
    fn event(node: usize, epoch: u64, event: Event) -> Self {
        Self::Event {
            node,
            epoch,
            from: None,
            event,
        }
    }

    fn from_worker(
        node: usize,
        epoch: u64,
        worker: WorkerId,
        attempt: AttemptId,
        event: Event,
    ) -> Self {
        Self::Event {
            node,
            epoch,
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
