//! ORDER: an engine starts again under its id with other software, and crashes once more.

use crate::client::{self, Kind};
use crate::engine::{EVENTS, Engine, EngineSpec, Framing};
use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
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
const DEADLINE_MS: u64 = 8_000;
/// How long the engine is down, and how long after its start it writes its row: `heartbeatMs`.
const DOWN: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The time between two crashes, as in the days of the site.
const APART: Duration = Duration::from_millis(3_500);
/// The joined streams that the rule permits.
const MAX_JOINED: usize = 2;

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"review","host":"one.example","prefix":"/review/","kind":"stream","timeoutMs":{DEADLINE_MS},"targetLatencyMs":500,"priority":1,"service":"lm-desk","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":500}}],"services":[{{"name":"lm-desk","healthPath":"/health","maxConns":200,"engine":{{"slots":24,"kvCapacityTokens":167433,"kvTokenBytes":163840,"linkMbps":1100000.0,"maxInFlight":12,"models":[{{"name":"m0"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"shop","apiKeys":["KEY"]}}]}}"#
    )
}

fn spec<'a>(id: &'a str, zone: &'a str, software: &'a str) -> EngineSpec<'a> {
    EngineSpec {
        id,
        service: "lm-desk",
        zone,
        software,
        framing: Framing::Chunks,
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start(fleet::ip(1));
    store.write("op", "config", Some(&configuration()));
    store.write("op", "version/m0", Some(r#"{"model":"m0","version":1}"#));
    let any_port = SocketAddr::new(fleet::ip(100), 0);
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let zone = ENGINE_ZONES[number % ENGINE_ZONES.len()];
            let engine = Engine::start(
                spec(&format!("i-{number:04}"), zone, "1.0.0"),
                any_port,
                &record,
            );
            store.write("servers", &engine.id, Some(&engine.ready_row));
            engine
        })
        .collect();
    let mut fleet = Fleet::start(&ZONES, store.address);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        eprintln!("the gateways do not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    for round in 0..ROUNDS {
        let index = round % ENGINES;
        let (id, zone, address) = {
            let engine = &engines[index];
            (engine.id.clone(), engine.zone.clone(), engine.address)
        };
        if has_trouble {
            engines[index].kill();
            record.note(format!("round {round}: {id} crashes"));
            thread::sleep(DOWN);
            engines[index] = Engine::start(spec(&id, &zone, "2.0.0"), address, &record);
            record.note(format!("round {round}: {id} starts again with 2.0.0"));
        }
        // A wave of streams, one of each client.
        let stop = Arc::new(AtomicBool::new(false));
        let mut clients = Vec::new();
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            for turn in 0..8_usize {
                let subject = round * 48 + index * 8 + turn;
                let headers = format!(
                    "X-Model: m0\r\nX-Token-Count: 400,40\r\nX-Prompt-Prefix: {:x}:200,{subject:x}:200\r\n",
                    1_000 + subject % 24
                );
                let kind = Kind {
                    name: "review",
                    method: "POST",
                    path: "/review/x",
                    deadline_ms: DEADLINE_MS,
                    headers,
                    body: "brass",
                };
                let times = (
                    Duration::from_millis(turn as u64 * 60),
                    Duration::from_secs(6),
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
        thread::sleep(HEARTBEAT);
        if has_trouble {
            store.write("servers", &id, Some(&engines[index].ready_row));
            record.note(format!("round {round}: {id} writes its row"));
        }
        thread::sleep(APART - DOWN - HEARTBEAT);
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        if has_trouble {
            engines[index].kill();
            record.note(format!("round {round}: {id} crashes again"));
        }
        for client in clients {
            let _ = client.join();
        }
        if has_trouble {
            // The operator goes back to the earlier software, on another engine.
            store.write("servers", &id, None);
            let new_id = format!("i-{:04}", 100 + round);
            engines[index] = Engine::start(spec(&new_id, &zone, "1.0.0"), any_port, &record);
            store.write("servers", &new_id, Some(&engines[index].ready_row));
        }
        thread::sleep(APART);
    }
    let all_run = fleet.all_run();
    drop(fleet);
    drop(engines);
    let outcomes = outcomes.lock().expect("the outcomes");
    let last = format!("id: {EVENTS}\n");
    let (mut whole, mut joined, mut other) = (0, 0, 0);
    for outcome in outcomes.iter() {
        let text = String::from_utf8_lossy(&outcome.body).into_owned();
        let is_joined = text.contains("of 1.0.0") && text.contains("of 2.0.0");
        if is_joined {
            joined += 1;
            let line = format!("JOINED {} has text of both versions", outcome.request);
            println!("{line}");
            record.note(line);
        } else if outcome.is_complete && text.contains(&last) {
            whole += 1;
        } else {
            other += 1;
        }
    }
    let line = format!(
        "streams {}, whole from one version {whole}, joined from two {joined}, others {other}",
        outcomes.len()
    );
    println!("{line}");
    record.note(line);
    record.write(folder);
    if !all_run || whole * 2 < outcomes.len() {
        eprintln!("the case could not run: a gateway ended, or too few streams were whole");
        return 2;
    }
    i32::from(joined > MAX_JOINED)
}
