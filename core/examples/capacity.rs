//! Measures how the core's memory and processor time grow with size, for `docs/CAPACITY.md`.
//!
//! `cargo run --release -p cactusspur-core --example capacity -- WHAT SIZE` prints one line. `WHAT`
//! is one of `workers`, `customers`, `pieces` and `requests`. Memory is the growth of the resident
//! set, so each size needs a separate process. Times are medians over batches.

use {
    bytes::Bytes,
    cactusspur_core::{
        Arrival, CacheChange, CacheReport, CacheSequence, Class, ClassId, Command, Configuration,
        Core, CoreSettings, CreditGrant, Customer, CustomerId, Declarations, DomainId, DurationMs,
        EntryId, Event, Generation, Incarnation, LoadReport, MicroCredits, Model, ModelId,
        PieceHash, RequestId, ServedBy, TimeMs, Tokens, TokensPerSecond, Vm, VmList, VmRole,
        WeightsVersion, WorkerId,
    },
    std::{env, fs, hint::black_box, time::Instant},
};

const START_MS: u64 = 1_800_000_000_000;
const DOMAINS: usize = 32;
const BATCHES: usize = 15;
const PAGE_BYTES: u64 = 4_096;

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Median time per call over several batches of `count` calls, in nanoseconds.
fn median_ns<F>(count: u64, mut batch: F) -> u128
where
    F: FnMut(),
{
    let mut times: Vec<u128> = (0..BATCHES)
        .map(|_| {
            let started = Instant::now();
            batch();
            started.elapsed().as_nanos() / u128::from(count.max(1))
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}

fn new_core() -> Core {
    Core::new(CoreSettings {
        entry: EntryId::from_name("entry-0"),
        domain: DomainId::from_name("domain-0"),
        incarnation: 1,
        max_requests: usize::MAX,
    })
}

fn customer(number: usize) -> Customer {
    let grant = |name: &str| CreditGrant {
        name: name.to_owned(),
        amount_microcredits: MicroCredits(u64::from(u32::MAX)),
        lapses_at_ms: TimeMs(START_MS * 2),
    };
    Customer {
        name: format!("customer-{number}"),
        api_key_hashes: vec!["0".repeat(64)],
        credits: vec![grant("first"), grant("second")],
    }
}

fn configuration(generation: u64, customers: usize) -> Configuration {
    let class = Class {
        name: "check".to_owned(),
        served_by: ServedBy::Model {
            name: "base".to_owned(),
            adapter: None,
            max_answer_tokens: Tokens(100),
        },
        first_token_target_ms: DurationMs(10_000_000),
        max_cost_microcredits: MicroCredits(u64::from(u32::MAX)),
        deferrable: false,
    };
    let model = Model {
        name: "base".to_owned(),
        adapter: None,
        weights_version: WeightsVersion(1),
    };
    Configuration {
        generation: Generation(generation),
        change_id: "c".to_owned(),
        accepted_at_ms: TimeMs(START_MS),
        declarations: Declarations {
            models: vec![model],
            customers: (0..customers).map(customer).collect(),
            classes: vec![class],
        },
    }
}

fn vm_list(workers: usize) -> VmList {
    let vm = |number: usize| Vm {
        name: format!("worker-{number}"),
        address: format!("10.0.{}.{}:8000", number / 256, number % 256),
        failure_domain: format!("domain-{}", number % DOMAINS),
        role: VmRole::Engine,
        leaving: false,
    };
    VmList {
        vms: (0..workers).map(vm).collect(),
    }
}

fn load_report(worker: usize, at_ms: u64) -> LoadReport {
    LoadReport {
        worker: WorkerId::from_name(&format!("worker-{worker}")),
        incarnation: Incarnation(1),
        observed_at_ms: TimeMs(at_ms),
        queued_tokens: Tokens(100),
        running: 1,
        slots: 16,
        prefill_rate: TokensPerSecond(20_000),
        import_rate: TokensPerSecond(0),
        price_microcredits: MicroCredits(100),
        models: vec![(ModelId::from_name("base/"), WeightsVersion(1))],
        cache_pieces: 75_000,
    }
}

/// A core with workers that have all been probed and have reported their load.
fn core_with_workers(workers: usize) -> Core {
    let mut core = new_core();
    core.handle(TimeMs(START_MS), Event::Configured(configuration(1, 8)));
    core.handle(TimeMs(START_MS), Event::Vms(vm_list(workers)));
    for worker in 0..workers {
        let id = WorkerId::from_name(&format!("worker-{worker}"));
        let incarnation = Some(Incarnation(1));
        core.handle(
            TimeMs(START_MS),
            Event::Probed {
                worker: id,
                incarnation,
            },
        );
        core.handle(TimeMs(START_MS), Event::Load(load_report(worker, START_MS)));
    }
    core
}

fn arrival(request: u64, customer: u64) -> Arrival {
    let site = format!("{:1024}", request % 64);
    Arrival {
        request: RequestId(request),
        customer: CustomerId::from_name(&format!("customer-{customer}")),
        class: ClassId::from_name("check"),
        levels: vec![
            Bytes::from("r".repeat(12_288)),
            Bytes::from(site),
            Bytes::from("question"),
        ],
        max_answer_tokens: Tokens(16),
        idempotency_key: None,
        body_hash: request,
    }
}

fn workers(size: usize) {
    let before = resident_bytes();
    let mut core = core_with_workers(size);
    let bytes = resident_bytes().saturating_sub(before);
    let vms = vm_list(size);
    let mut now_ms = START_MS;
    let list_ns = median_ns(1, || {
        core.handle(TimeMs(now_ms), Event::Vms(vms.clone()));
    });
    let load_ns = median_ns(100, || {
        now_ms += 1;
        for worker in 0..100 {
            core.handle(TimeMs(now_ms), Event::Load(load_report(worker, now_ms)));
        }
    });
    let tick_ns = median_ns(1, || {
        now_ms += 20;
        core.handle(TimeMs(now_ms), Event::Tick);
    });
    println!(
        "workers {size}: {bytes} B, list {list_ns} ns, load report {load_ns} ns, tick {tick_ns} ns"
    );
}

fn customers(size: usize) {
    let before = resident_bytes();
    let mut core = new_core();
    core.handle(TimeMs(START_MS), Event::Configured(configuration(1, size)));
    let bytes = resident_bytes().saturating_sub(before);
    let mut generation = 1;
    let accept_ns = median_ns(1, || {
        generation += 1;
        let next = configuration(generation, size);
        core.handle(TimeMs(START_MS), Event::Configured(next));
    });
    println!("customers {size}: {bytes} B, a change (built and accepted) {accept_ns} ns");
}

fn pieces(size: u64) {
    let before = resident_bytes();
    let mut core = core_with_workers(312);
    let per_worker = size / 312;
    let mut sequence = vec![0_u64; 312];
    let mut hash = 0_u64;
    let started = Instant::now();
    for (worker, sequence) in sequence.iter_mut().enumerate() {
        let changes: Vec<CacheChange> = (0..per_worker)
            .map(|_| {
                hash = hash.wrapping_add(0x9E37_79B9_7F4A_7C15);
                CacheChange::Stored(PieceHash(hash))
            })
            .collect();
        let report = CacheReport {
            worker: WorkerId::from_name(&format!("worker-{worker}")),
            incarnation: Incarnation(1),
            first_sequence: CacheSequence(*sequence),
            changes,
        };
        *sequence += per_worker;
        core.handle(TimeMs(START_MS), Event::Cache(report));
    }
    let change_ns = started.elapsed().as_nanos() / u128::from(per_worker.max(1) * 312);
    let bytes = resident_bytes().saturating_sub(before);
    println!("pieces {size}: {bytes} B, a cache change {change_ns} ns");
    black_box(&core);
}

fn requests(size: u64) {
    let mut core = core_with_workers(312);
    let before = resident_bytes();
    let mut attempts = Vec::new();
    let started = Instant::now();
    for request in 0..size {
        let now = TimeMs(START_MS + request / 10);
        let commands = core.handle(now, Event::Arrived(arrival(request, request % 8)));
        attempts.extend(commands.iter().filter_map(|command| match command {
            Command::Send(send) => Some(send.attempt),
            _ => None,
        }));
    }
    let arrival_ns = started.elapsed().as_nanos() / u128::from(size);
    let bytes = resident_bytes().saturating_sub(before) / size;
    let mut now_ms = START_MS + size;
    let tick_ns = median_ns(1, || {
        now_ms += 1;
        core.handle(TimeMs(now_ms), Event::Tick);
    });
    let mut offset_bytes = 0;
    let sent = attempts.len() as u64;
    let piece_ns = median_ns(sent, || {
        for attempt in &attempts {
            let text = Bytes::from_static(b"abcd");
            let piece = Event::Piece {
                attempt: *attempt,
                offset_bytes,
                text,
            };
            core.handle(TimeMs(now_ms), piece);
        }
        offset_bytes += 4;
    });
    println!(
        "requests in progress {size}: {bytes} B each with 13 KB prompts, {sent} sent, arrival {arrival_ns} ns, piece {piece_ns} ns, tick {tick_ns} ns"
    );
}

fn main() {
    let mut arguments = env::args().skip(1);
    let dimension = arguments.next().unwrap_or_default();
    let size: u32 = arguments
        .next()
        .and_then(|size| size.parse().ok())
        .unwrap_or(100);
    match dimension.as_str() {
        "workers" => workers(size as usize),
        "customers" => customers(size as usize),
        "pieces" => pieces(u64::from(size)),
        "requests" => requests(u64::from(size)),
        _ => eprintln!("usage: capacity workers|customers|pieces|requests SIZE"),
    }
}
