//! Time from a request's arrival to its attempt, by number of workers, cached pieces and customers.

use {
    bytes::Bytes,
    cactusspur_core::{
        Arrival, Class, ClassId, Command, Configuration, Core, CoreSettings, Customer, CustomerId,
        Declarations, DomainId, DurationMs, EntryId, Event, Generation, Incarnation, LoadReport,
        MicroCredits, Model, ModelId, RequestId, ServedBy, TimeMs, Tokens, TokensPerSecond, Vm,
        VmList, VmRole, WeightsVersion, WorkerId,
    },
    criterion::{BenchmarkId, Criterion},
    std::hint::black_box,
};

const DOMAINS: usize = 32;
const WARM_SITES: u64 = 100;

struct Bench {
    core: Core,
    now: TimeMs,
    customers: u64,
    sites: u64,
    last_request: u64,
    warm: Vec<Vec<Bytes>>,
}

impl Bench {
    /// A core without workers.
    fn without_workers(customers: u64) -> Self {
        let settings = CoreSettings {
            entry: EntryId::from_name("entry-0"),
            domain: DomainId::from_name("domain-0"),
            incarnation: 1,
            max_requests: 1_000_000,
        };
        let mut bench = Self {
            core: Core::new(settings),
            now: TimeMs(1_800_000_000_000),
            customers,
            sites: 0,
            last_request: 0,
            warm: Vec::new(),
        };
        bench.configure();
        bench
    }

    /// A core that assumes about `pieces` pieces of prompt prefixes to be cached.
    fn open(workers: usize, pieces: u64, customers: u64) -> Self {
        let mut bench = Self::without_workers(customers);
        bench.sites = (pieces / PIECES_PER_SITE).max(WARM_SITES);
        bench.list(workers);
        for site in 0..bench.sites {
            let levels = levels_of(site);
            bench.decide(site, levels);
        }
        bench.warm = (bench.sites - WARM_SITES..bench.sites)
            .map(levels_of)
            .collect();
        bench
    }

    fn handle<E>(&mut self, event: E) -> Vec<Command>
    where
        E: Into<Event>,
    {
        self.core.handle(self.now, event.into())
    }

    fn configure(&mut self) {
        let customer = |number: u64| Customer {
            name: format!("customer-{number}"),
            api_key_hashes: Vec::new(),
            credits: Vec::new(),
        };
        let class = Class {
            name: "check".to_owned(),
            served_by: ServedBy::Model {
                name: "base".to_owned(),
                adapter: None,
                max_answer_tokens: Tokens(100),
            },
            first_token_target_ms: DurationMs(10_000_000),
            max_cost_microcredits: MicroCredits(1_000_000),
            deferrable: false,
        };
        let model = Model {
            name: "base".to_owned(),
            adapter: None,
            weights_version: WeightsVersion(1),
        };
        let declarations = Declarations {
            models: vec![model],
            customers: (0..self.customers).map(customer).collect(),
            classes: vec![class],
        };
        self.handle(Configuration {
            generation: Generation(1),
            declarations,
            ..Configuration::default()
        });
    }

    fn list(&mut self, workers: usize) {
        let vms = vms(workers);
        let ids: Vec<WorkerId> = vms.iter().map(Vm::worker).collect();
        self.handle(VmList { vms });
        for worker in ids {
            self.handle(LoadReport {
                worker,
                incarnation: Incarnation(1),
                observed_at_ms: self.now,
                queued_tokens: Tokens(0),
                running: 0,
                slots: 16,
                prefill_rate: TokensPerSecond(8_000),
                import_rate: TokensPerSecond(0),
                price_microcredits: MicroCredits(1_000),
                models: vec![(ModelId::from_name("base/"), WeightsVersion(1))],
                cache_pieces: 1_000_000,
            });
        }
    }

    /// Sends a request for a site, delivers the first piece and lets the caller disconnect.
    fn decide(&mut self, site: u64, levels: Vec<Bytes>) -> usize {
        self.last_request += 1;
        self.now = self.now.after(DurationMs(1));
        let request = RequestId(self.last_request);
        let commands = self.handle(Arrival {
            request,
            customer: CustomerId::from_name(&format!("customer-{}", site % self.customers)),
            class: ClassId::from_name("check"),
            levels,
            max_answer_tokens: Tokens(100),
            idempotency_key: None,
            body_hash: 0,
        });
        if let Some(Command::Send(send)) = commands.first() {
            let attempt = send.attempt;
            self.handle(Event::Piece {
                attempt,
                offset_bytes: 0,
                text: Bytes::from_static(b"a"),
            });
        }
        self.handle(Event::CallerLeft { request });
        commands.len()
    }

    /// Calls [`Self::decide`] for one of the sites whose prompts are prepared.
    fn decide_warm(&mut self) -> usize {
        let site = self.last_request % WARM_SITES;
        let levels = usize::try_from(site).map(|site| self.warm[site].clone());
        self.decide(self.sites - WARM_SITES + site, levels.unwrap_or_default())
    }
}

fn vms(workers: usize) -> Vec<Vm> {
    let vm = |number: usize| Vm {
        name: format!("engine-{number}"),
        address: "127.0.0.1:1".to_owned(),
        failure_domain: format!("domain-{}", number % DOMAINS),
        role: VmRole::Engine,
        leaving: false,
    };
    (0..workers).map(vm).collect()
}

/// A prompt of three levels: rules, a site and a question.
fn levels_of(site: u64) -> Vec<Bytes> {
    vec![level(site / 64), level(site), Bytes::from_static(b"why?")]
}

/// Number of pieces in the first two levels of a prompt.
const PIECES_PER_SITE: u64 = 32;

fn level(number: u64) -> Bytes {
    const BYTES: usize = 4_096;
    format!("level {number} ")
        .bytes()
        .cycle()
        .take(BYTES)
        .collect()
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for workers in [12, 100, 1_000, 10_000] {
        let mut bench = Bench::open(workers, 100_000, 100);
        group.bench_function(BenchmarkId::new("workers", workers), |bencher| {
            bencher.iter(|| black_box(bench.decide_warm()));
        });
    }
    for pieces in [10_000, 100_000, 1_000_000] {
        let mut bench = Bench::open(1_000, pieces, 100);
        group.bench_function(BenchmarkId::new("pieces", pieces), |bencher| {
            bencher.iter(|| black_box(bench.decide_warm()));
        });
    }
    for customers in [100, 1_000, 14_000] {
        let mut bench = Bench::open(1_000, 448_000, customers);
        group.bench_function(BenchmarkId::new("customers", customers), |bencher| {
            bencher.iter(|| black_box(bench.decide_warm()));
        });
    }
    group.finish();
}

/// Time to apply a VM list: the first one of a new process, and an unchanged one.
fn list(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("list");
    group.sample_size(10);
    for workers in [100, 1_000, 10_000] {
        let vms = vms(workers);
        group.bench_function(BenchmarkId::new("first", workers), |bencher| {
            bencher.iter(|| {
                let mut bench = Bench::without_workers(100);
                bench.handle(VmList { vms: vms.clone() })
            });
        });
        let mut bench = Bench::without_workers(100);
        group.bench_function(BenchmarkId::new("next", workers), |bencher| {
            bencher.iter(|| bench.handle(VmList { vms: vms.clone() }));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    list(&mut criterion);
    criterion.final_summary();
}
