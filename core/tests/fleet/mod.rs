//! A core with engines that report their load, for tests of placement, credits, limits and the
//! cache index.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod model;

use {
    bytes::Bytes,
    cactusspur_core::{
        Arrival, AttemptId, Class, ClassId, Command, Configuration, Core, CoreSettings,
        CreditGrant, Customer, CustomerId, Declarations, DomainId, DurationMs, EntryId, Event,
        Failure, Generation, Incarnation, LoadReport, MicroCredits, Model, Refusal, RequestId,
        Send, ServedBy, TimeMs, Tokens, TokensPerSecond, Verdict, Vm, VmList, VmRole,
        WeightsVersion, WorkerId,
    },
};

pub const TARGET_MS: DurationMs = DurationMs(2_000);
pub const ANSWER_TOKENS: Tokens = Tokens(100);

/// A core, the simulated time and the VMs that it knows.
pub struct Fleet {
    pub core: Core,
    pub now: TimeMs,
    pub workers: usize,
    pub entries: usize,
    pub domains: usize,
    next_request: u64,
}

pub fn worker(number: usize) -> WorkerId {
    WorkerId::from_name(&format!("engine-{number}"))
}

pub fn customer(name: &str, credits: Vec<CreditGrant>) -> Customer {
    Customer {
        name: name.to_owned(),
        api_key_hashes: Vec::new(),
        credits,
    }
}

pub fn class(name: &str, deferrable: bool) -> Class {
    Class {
        name: name.to_owned(),
        served_by: ServedBy::Model {
            name: "base".to_owned(),
            adapter: None,
            max_answer_tokens: ANSWER_TOKENS,
        },
        first_token_target_ms: TARGET_MS,
        max_cost_microcredits: MicroCredits(1_000_000),
        deferrable,
    }
}

/// A text of `bytes` bytes that repeats `name`.
pub fn text(name: &str, bytes: usize) -> Bytes {
    name.bytes().cycle().take(bytes).collect()
}

impl Fleet {
    /// A core of the entry VM `entry` in the first domain, with live, idle workers whose caches are
    /// empty.
    pub fn open(entry: &str, workers: usize, domains: usize) -> Self {
        Self::open_in(entry, 0, workers, domains)
    }

    /// Like [`Self::open`], with the entry VM in any failure domain.
    pub fn open_in(entry: &str, domain: usize, workers: usize, domains: usize) -> Self {
        let settings = CoreSettings {
            entry: EntryId::from_name(entry),
            domain: DomainId::from_name(&format!("domain-{domain}")),
            incarnation: EntryId::from_name(entry).0,
            max_requests: 100_000,
        };
        let mut fleet = Self {
            core: Core::new(settings),
            now: TimeMs(1_800_000_000_000),
            workers,
            entries: 1,
            domains,
            next_request: 0,
        };
        let classes = vec![class("check", false), class("notes", true)];
        let customers = vec![customer("trust", Vec::new()), customer("other", Vec::new())];
        fleet.configure(1, classes, customers);
        fleet.list();
        for number in 0..workers {
            fleet.report(number, |_| {});
        }
        fleet
    }

    pub fn handle<E>(&mut self, event: E) -> Vec<Command>
    where
        E: Into<Event>,
    {
        self.core.handle(self.now, event.into())
    }

    pub fn wait(&mut self, duration_ms: u64) -> Vec<Command> {
        self.now = self.now.after(DurationMs(duration_ms));
        self.handle(Event::Tick)
    }

    pub fn configure(&mut self, generation: u64, classes: Vec<Class>, customers: Vec<Customer>) {
        let model = Model {
            name: "base".to_owned(),
            adapter: None,
            weights_version: WeightsVersion(generation),
        };
        self.handle(Configuration {
            generation: Generation(generation),
            declarations: Declarations {
                models: vec![model],
                customers,
                classes,
            },
            ..Configuration::default()
        });
    }

    /// Sends the VM list to the core.
    pub fn list(&mut self) {
        let vm = |name: String, domain: usize, role: VmRole| Vm {
            name,
            address: "127.0.0.1:1".to_owned(),
            failure_domain: format!("domain-{domain}"),
            role,
            leaving: false,
        };
        let domains = self.domains;
        let engines = (0..self.workers)
            .map(|number| vm(format!("engine-{number}"), number % domains, VmRole::Engine));
        let entries =
            (0..self.entries).map(|number| vm(format!("entry-{number}"), 0, VmRole::Entry));
        let vms = engines.chain(entries).collect();
        self.handle(VmList { vms });
    }

    /// Sends the load report of an idle worker, modified by `change`.
    pub fn report<F>(&mut self, number: usize, change: F)
    where
        F: FnOnce(&mut LoadReport),
    {
        let mut report = LoadReport {
            worker: worker(number),
            incarnation: Incarnation(1),
            observed_at_ms: self.now,
            queued_tokens: Tokens(0),
            running: 0,
            slots: 16,
            prefill_rate: TokensPerSecond(8_000),
            import_rate: TokensPerSecond(0),
            price_microcredits: MicroCredits(1_000),
            models: vec![(
                cactusspur_core::ModelId::from_name("base/"),
                WeightsVersion(1),
            )],
            cache_pieces: 10_000,
        };
        change(&mut report);
        self.handle(report);
    }

    pub fn arrive_as(&mut self, customer: &str, class: &str, levels: &[Bytes]) -> Vec<Command> {
        self.next_request += 1;
        self.handle(Arrival {
            request: RequestId(self.next_request),
            customer: CustomerId::from_name(customer),
            class: ClassId::from_name(class),
            levels: levels.to_vec(),
            max_answer_tokens: ANSWER_TOKENS,
            idempotency_key: None,
            body_hash: 0,
        })
    }

    /// Sends a request without a limit on the answer's length.
    pub fn arrive_unbounded(&mut self, levels: &[Bytes]) -> Vec<Command> {
        self.next_request += 1;
        self.handle(Arrival {
            request: RequestId(self.next_request),
            customer: CustomerId::from_name("trust"),
            class: ClassId::from_name("check"),
            levels: levels.to_vec(),
            max_answer_tokens: Tokens(u64::MAX),
            idempotency_key: None,
            body_hash: 0,
        })
    }

    pub fn arrive(&mut self, levels: &[Bytes]) -> Vec<Command> {
        self.arrive_as("trust", "check", levels)
    }

    /// Sends a request and returns its attempt; panics when it is rejected.
    pub fn send(&mut self, levels: &[Bytes]) -> Send {
        sent(&self.arrive(levels)).expect("the request is sent")
    }

    /// Completes an attempt, with `cached` tokens of its prompt cached.
    pub fn finish(&mut self, attempt: AttemptId, cached: u64) -> Vec<Command> {
        self.handle(Event::AttemptAccepted {
            attempt,
            incarnation: Incarnation(1),
            cached_tokens: Tokens(cached),
        });
        self.handle(Event::Piece {
            attempt,
            offset_bytes: 0,
            text: Bytes::from_static(b"answer"),
        });
        self.handle(Event::AttemptFinished {
            attempt,
            answer_bytes: 6,
            answer_tokens: Tokens(2),
        })
    }

    pub fn fail(&mut self, attempt: AttemptId, failure: Failure) -> Vec<Command> {
        self.handle(Event::AttemptFailed {
            attempt,
            verdict: Verdict::NotRun,
            failure,
        })
    }
}

pub fn sent(commands: &[Command]) -> Option<Send> {
    commands.iter().find_map(|command| match command {
        Command::Send(send) => Some(send.clone()),
        _ => None,
    })
}

pub fn refused(commands: &[Command]) -> Option<Refusal> {
    commands.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}
