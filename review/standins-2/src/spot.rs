//! MIXED: engines report that they leave and are gone two seconds later, in the middle of answers without a length.

use crate::client::{self, Kind};
use crate::engine::{EVENTS, Engine, EngineSpec, Framing};
use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 6] = [
    "glasgow-a",
    "glasgow-a",
    "falkirk-b",
    "falkirk-b",
    "stirling-c",
    "stirling-c",
];
const ENGINE_ZONES: [&str; 3] = ["glasgow-a", "falkirk-b", "stirling-c"];
const ENGINES: usize = 6;
const ROUNDS: usize = 6;
/// How long after its notice an engine is gone.
const NOTICE: Duration = Duration::from_millis(2_000);
const DEADLINE_MS: u64 = 15_000;

fn configuration() -> String {
    let route = |name: &str, attempts: u64, resumable: bool| {
        format!(
            r#"{{"name":"{name}","host":"one.example","prefix":"/{name}/","kind":"stream","timeoutMs":{DEADLINE_MS},"targetLatencyMs":500,"priority":1,"service":"lm-desk","maxAttempts":{attempts},"public":false,"sticky":true,"resumable":{resumable},"gapTargetMs":500}}"#
        )
    };
    format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{{"name":"lm-desk","healthPath":"/health","maxConns":200,"engine":{{"slots":24,"kvCapacityTokens":167433,"kvTokenBytes":163840,"linkMbps":1100000.0,"maxInFlight":12,"models":[{{"name":"m0"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"shop","apiKeys":["KEY"]}}]}}"#,
        route("quote", 1, false),
        route("review", 2, true)
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start(fleet::ip(1));
    store.write("op", "config", Some(&configuration()));
    store.write("op", "version/m0", Some(r#"{"model":"m0","version":1}"#));
    let mut next = 0;
    let mut new_engine = || {
        let (id, zone) = (
            format!("i-{next:04}"),
            ENGINE_ZONES[next % ENGINE_ZONES.len()],
        );
        next += 1;
        let spec = EngineSpec {
            id: &id,
            service: "lm-desk",
            zone,
            software: "v1",
            framing: Framing::Close,
        };
        let engine = Engine::start(spec, SocketAddr::new(fleet::ip(100), 0), &record);
        store.write("servers", &engine.id, Some(&engine.ready_row));
        engine
    };
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| new_engine()).collect();
    let mut fleet = Fleet::start(&ZONES, store.address);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        eprintln!("the gateways do not become ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        for turn in 0..6 {
            let subject = index * 6 + turn;
            let headers = format!(
                "X-Model: m0\r\nX-Token-Count: 400,40\r\nX-Prompt-Prefix: {:x}:200,{subject:x}:200\r\n",
                1_000 + subject % 4
            );
            let (name, path) = [("quote", "/quote/x"), ("review", "/review/x")][turn % 2];
            let kind = Kind {
                name,
                method: "POST",
                path,
                deadline_ms: DEADLINE_MS,
                headers,
                body: "brass",
            };
            let times = (
                Duration::from_millis((turn * 610 + index * 130) as u64),
                Duration::from_millis(4_200),
            );
            clients.push(client::spawn(
                gateway.front,
                vec![kind],
                times,
                &stop,
                (&record, &outcomes),
            ));
        }
    }
    thread::sleep(Duration::from_secs(5));
    for round in 0..ROUNDS {
        let new = new_engine();
        let mut engine = engines.remove(0);
        store.write("servers", &engine.id, Some(&engine.draining_row));
        record.note(format!(
            "round {round}: {} reports that it leaves",
            engine.id
        ));
        thread::sleep(NOTICE);
        if has_trouble {
            engine.kill();
            store.write("servers", &engine.id, None);
            record.note(format!("round {round}: {} is gone", engine.id));
        }
        thread::sleep(Duration::from_secs(5));
        // Without the disruption it ends its answers first.
        store.write("servers", &engine.id, None);
        engine.kill();
        engines.push(new);
    }
    let all_run = fleet.all_run();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(fleet);
    drop(engines);
    let outcomes = outcomes.lock().expect("the outcomes");
    let last = format!("id: {EVENTS}\n");
    let (mut whole, mut broken, mut short) = (0, 0, 0);
    for outcome in outcomes.iter().filter(|row| row.status == Some(200)) {
        let has_all = String::from_utf8_lossy(&outcome.body).contains(&last);
        match (outcome.is_complete, has_all) {
            (true, true) => whole += 1,
            (true, false) => {
                short += 1;
                let body = String::from_utf8_lossy(&outcome.body);
                let end = body
                    .lines()
                    .rev()
                    .find(|line| line.starts_with("id: "))
                    .unwrap_or("no event")
                    .to_owned();
                let line = format!(
                    "SHORT {} ends as complete after {end} of {EVENTS}",
                    outcome.request
                );
                println!("{line}");
                record.note(line);
            }
            (false, _) => broken += 1,
        }
    }
    let line = format!(
        "requests {}, streams that are whole {whole}, that end as incomplete {broken}, that end as complete before their last event {short}",
        outcomes.len()
    );
    println!("{line}");
    record.note(line);
    record.write(folder);
    if !all_run || whole * 2 < outcomes.len() {
        eprintln!("the case could not run: a gateway ended, or too few streams were whole");
        return 2;
    }
    i32::from(short > 0)
}
