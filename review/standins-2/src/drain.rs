//! DRAIN: workers leave shortly after an outage of the store has ended and everything is back in touch.

use crate::client::{self, Kind};
use crate::fleet::{self, Fleet};
use crate::http::write_answer;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 8;
/// The zones of the six machines, as `further/clydebrass.toml` has them.
const ZONES: [&str; 6] = [
    "glasgow-a",
    "glasgow-a",
    "falkirk-b",
    "falkirk-b",
    "stirling-c",
    "stirling-c",
];
/// The zones in which workers start.
const WORKER_ZONES: [&str; 3] = ["glasgow-a", "falkirk-b", "stirling-c"];
/// `bounds.drainMs` and `bounds.contactMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// The outage of the store; `further/clydebrass.toml` names 4.5 s.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// How long beyond `contactMs` after the outage the workers are replaced.
const CALM: Duration = Duration::from_millis(60);
/// How long a worker that has left serves on beyond `drainMs`.
const LINGER: Duration = Duration::from_millis(1_000);

fn configuration() -> String {
    let route = |name: &str, kind: &str, attempts: u64| {
        format!(
            r#"{{"name":"{name}","host":"one.example","prefix":"/{name}/","kind":"{kind}","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"ledger-app","maxAttempts":{attempts},"public":false}}"#
        )
    };
    format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{{"name":"ledger-app","healthPath":"/health","maxConns":96}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"shop","apiKeys":["KEY"]}}]}}"#,
        route("hold", "unsafe", 1),
        route("read", "safe", 2)
    )
}

fn start_worker(number: usize, record: &Arc<Record>) -> Arc<Worker> {
    let zone = WORKER_ZONES[number % WORKER_ZONES.len()];
    let id = format!("i-{number:04}");
    let run =
        |worker: &Worker, request: &crate::http::Message, stream: &mut std::net::TcpStream| {
            thread::sleep(Duration::from_millis(30));
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let load = format!(
                "{},0,{}",
                worker.running.load(Ordering::SeqCst).saturating_sub(1),
                worker.slots
            );
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Server-Seal", "s"),
                ("X-Instance-Id", &worker.id),
                ("X-Server-Load", &load),
            ];
            write_answer(stream, "200 OK", &headers, &[b'x'; 800]).is_ok()
        };
    Worker::start(
        (&id, "ledger-app", zone),
        SocketAddr::new(fleet::ip(100), 0),
        (false, 6, "v1"),
        record,
        Box::new(run),
    )
}

/// A worker that has left, and when the store acknowledged it.
struct Left {
    worker: Arc<Worker>,
    acked_at: Instant,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start(fleet::ip(1));
    store.write("op", "config", Some(&configuration()));
    let mut next = 0;
    let mut new_worker = || {
        let worker = start_worker(next, &record);
        next += 1;
        worker
    };
    let mut workers: Vec<Arc<Worker>> = (0..3).map(|_| new_worker()).collect();
    for worker in &workers {
        store.write("servers", &worker.id, Some(&worker.row("ready")));
    }
    let mut fleet = Fleet::start(&ZONES, store.address);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        eprintln!("the gateways do not become ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let kinds = |turn: usize| {
        let mut kinds = vec![
            Kind {
                name: "read",
                method: "GET",
                path: "/read/x",
                deadline_ms: 1_500,
                headers: String::new(),
                body: "",
            },
            Kind {
                name: "hold",
                method: "POST",
                path: "/hold/x",
                deadline_ms: 1_500,
                headers: String::new(),
                body: "stone",
            },
        ];
        kinds.rotate_left(turn % 2);
        kinds
    };
    // Four clients for each gateway, 96 requests a second in all.
    let mut clients = Vec::new();
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        for turn in 0..4 {
            let first_after = Duration::from_millis((turn * 61 + index * 13) as u64);
            let times = (first_after, Duration::from_millis(250));
            clients.push(client::spawn(
                gateway.front,
                kinds(turn),
                times,
                &stop,
                (&record, &outcomes),
            ));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let mut left: Vec<Left> = Vec::new();
    for round in 0..ROUNDS {
        if has_trouble {
            record.note(format!("round {round}: the store falls silent"));
            store.set_silent(true);
        }
        thread::sleep(OUTAGE);
        store.set_silent(false);
        record.note(format!("round {round}: the store answers"));
        // From here on the store is undisturbed.
        thread::sleep(CONTACT + CALM);
        // A release: the new worker starts first, then the entry of the old one is removed.
        let new = new_worker();
        store.write("servers", &new.id, Some(&new.row("ready")));
        record.note(format!("round {round}: {} is listed", new.id));
        thread::sleep(Duration::from_millis(2));
        let worker = workers.remove(0);
        let acked_at = store.write("servers", &worker.id, None);
        record.note_at(
            acked_at,
            format!("round {round}: {} is removed from the list", worker.id),
        );
        workers.push(new);
        thread::sleep(DRAIN + LINGER);
        worker.end();
        record.note(format!("round {round}: {} ends", worker.id));
        left.push(Left { worker, acked_at });
    }
    let all_run = fleet.all_run();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let outages = fleet.count_in_logs(r#""after_outage":true"#);
    drop(fleet);
    let mut late = 0;
    for row in &left {
        for arrival in row.worker.arrivals.lock().expect("the arrivals").iter() {
            let after = arrival.at.saturating_duration_since(row.acked_at);
            if after > DRAIN {
                late += 1;
                let (id, request) = (&row.worker.id, &arrival.request);
                let line = format!(
                    "LATE {request} reaches {id} {:.1} ms after the ack",
                    after.as_secs_f64() * 1_000.0
                );
                println!("{line}");
                record.note_at(arrival.at, line);
            }
        }
    }
    let outcomes = outcomes.lock().expect("the outcomes");
    let answered = outcomes
        .iter()
        .filter(|row| row.status == Some(200))
        .count();
    let line = format!(
        "requests {}, answered 200: {answered}; workers that left {}; requests later than drainMs: {late}; removals taken with a grace period: {outages}",
        outcomes.len(),
        left.len()
    );
    println!("{line}");
    record.note(line);
    record.write(folder);
    if !all_run || answered * 10 < outcomes.len() * 9 {
        eprintln!("the case could not run: a gateway ended, or too few requests were answered");
        return 2;
    }
    i32::from(late > 0)
}
