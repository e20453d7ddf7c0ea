//! Cost of the control plane on an entry VM, by number of known members and of declared customers.
//! Also prints the sizes of a sealed heartbeat and of a configuration change.

use {
    cactusspur::{
        change::{Change, hash_declarations},
        configuration_log::{ChangeBody, ChangeRecord, apply_record},
        membership::{Heartbeat, Introduction, LoadSummary, Membership, SentWork},
        peer::{Envelope, PeerKey, PeerRequest, SealedRequest},
        timeline::HybridTime,
    },
    cactusspur_core::{
        Configuration, CreditGrant, Customer, Declarations, DurationMs, Generation, MicroCredits,
        TimeMs, Tokens, WorkerId,
    },
    criterion::{BenchmarkId, Criterion},
    std::{hint::black_box, net::SocketAddr},
};

const NOW: TimeMs = TimeMs(1_780_000_000_000);
const DOMAIN_SIZE: u64 = 25;

fn heartbeat(index: u64) -> Heartbeat {
    let address = SocketAddr::from(([10, 0, 0, 0], u16::try_from(index + 1).expect("small")));
    Heartbeat {
        introduction: Introduction {
            name: format!("sapporo-entry-{index}"),
            failure_domain: format!("sapporo-{}", index / DOMAIN_SIZE),
            peers_address: address,
            operators_address: address,
            incarnation: u64::MAX - index,
            started_at_ms: NOW,
        },
        generation: Generation(40_000),
        confirmed_ms_ago: Some(500),
        load: LoadSummary::new(
            100,
            (0..8)
                .map(|worker| SentWork {
                    worker: WorkerId(u64::MAX - worker),
                    tokens: Tokens(100_000),
                })
                .collect(),
        ),
        leaving: false,
    }
}

fn membership(members: u64) -> Membership {
    let mut membership = Membership::new(&heartbeat(0).introduction, &[]);
    for index in 1..members {
        membership.apply_heartbeat(NOW, HybridTime::default(), heartbeat(index));
    }
    membership
}

fn members(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("membership_tick");
    for count in [8, 81, 810] {
        let mut membership = membership(count);
        let mut now = NOW;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                now = now.after(DurationMs(1));
                black_box(membership.tick(now));
                black_box(membership.due_targets(now));
                black_box(membership.is_poller())
            });
        });
    }
    group.finish();
}

fn message(bench: &mut Criterion) {
    let key = PeerKey::derive("a shared key of 32 bytes or more").expect("long enough");
    let ask = Envelope {
        from: heartbeat(1).introduction.entry(),
        incarnation: u64::MAX,
        number: 100_000,
        sent_at: HybridTime {
            wall_ms: NOW,
            count: 1,
        },
        message: PeerRequest::Heartbeat(heartbeat(1)),
    };
    let sealed = SealedRequest::seal(&key, &ask).expect("sealed");
    println!(
        "sealed heartbeat: {} bytes",
        bytes::Bytes::from(sealed.clone()).len()
    );
    bench.bench_function("heartbeat_seal", |bencher| {
        bencher.iter(|| black_box(SealedRequest::seal(&key, &ask)));
    });
    bench.bench_function("heartbeat_open", |bencher| {
        bencher.iter(|| black_box(sealed.open(&key)));
    });
}

fn declarations(customers: usize) -> Declarations {
    let customer = |index: usize| {
        let name = format!("customer-{index}");
        Customer {
            api_key_hashes: vec![blake3::hash(name.as_bytes()).to_hex().to_string()],
            credits: vec![CreditGrant {
                name: "yearly".to_owned(),
                amount_microcredits: MicroCredits(1_000_000_000),
                lapses_at_ms: NOW,
            }],
            name,
        }
    };
    cactusspur::change::canonical(Declarations {
        customers: (0..customers).map(customer).collect(),
        ..Declarations::default()
    })
}

fn changes(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("take_change");
    group.sample_size(10);
    for count in [8, 1_000, 14_000] {
        let before = Configuration {
            declarations: declarations(count),
            ..Configuration::default()
        };
        let mut after = before.declarations.clone();
        after.customers[0].credits.clear();
        let change = Change::between(&before.declarations, &after);
        let record = ChangeRecord {
            generation: Generation(1),
            change_id: format!("{:032x}", u128::MAX),
            accepted_at_ms: NOW,
            body: ChangeBody::Inline(change.clone()),
            summary: change.describe(&before.declarations),
            result_hash: hash_declarations(&after),
        };
        let record_bytes = serde_json::to_vec(&record).expect("JSON").len();
        let declarations_bytes = serde_json::to_vec(&after).expect("JSON").len();
        println!(
            "{count} customers: change {record_bytes} bytes, whole {declarations_bytes} bytes"
        );
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(apply_record(&before, &record, &change)));
        });
    }
    group.finish();
}

fn main() {
    let mut bench = Criterion::default().configure_from_args();
    members(&mut bench);
    message(&mut bench);
    changes(&mut bench);
    bench.final_summary();
}
