//! LOST: consumers that read on three seconds after an answer has begun, around SIGHUP.

use crate::fleet::{self, Fleet};
use crate::http::{self, Answer, write_answer};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use std::collections::BTreeSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
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
const WORKER_ZONES: [&str; 3] = ["glasgow-a", "falkirk-b", "stirling-c"];
const ROUNDS: usize = 8;
/// How long the consumer doesn't read. It waits eight seconds for its answer.
const PAUSE: Duration = Duration::from_millis(3_000);
const DEADLINE_MS: u64 = 8_000;
/// The answer to a large request. The buffers of a loopback connection hold about 128 KB by default.
const ANSWER_BYTES: usize = 300_000;
const SMALL_BYTES: usize = 800;
/// Losses of answers on kept channels that the rule permits at any time.
const MAX_LOST: usize = 3;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"hold","host":"one.example","prefix":"/hold/","kind":"unsafe","timeoutMs":{DEADLINE_MS},"targetLatencyMs":150,"priority":2,"service":"ledger-app","maxAttempts":1,"public":false}}],"services":[{{"name":"ledger-app","healthPath":"/health","maxConns":96}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"shop","apiKeys":["KEY"]}}]}}"#
    )
}

fn start_worker(number: usize, record: &Arc<Record>) -> Arc<Worker> {
    let notes = Arc::clone(record);
    let run = move |worker: &Worker, request: &http::Message, stream: &mut TcpStream| {
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
        let length = if request.path().ends_with("large") {
            ANSWER_BYTES
        } else {
            SMALL_BYTES
        };
        let sent = write_answer(stream, "200 OK", &headers, &vec![b'x'; length]);
        notes.note(format!(
            "{} has answered {id} with {length} bytes: {sent:?}",
            worker.id
        ));
        sent.is_ok()
    };
    let zone = WORKER_ZONES[number % WORKER_ZONES.len()];
    Worker::start(
        (&format!("i-{number:04}"), "ledger-app", zone),
        fleet::ip(100),
        (false, 6),
        record,
        Box::new(run),
    )
}

/// Sends a request on an open channel, waits until its answer begins, and reads the answer after `pause`.
fn exchange(
    channel: &mut BufReader<TcpStream>,
    path: &str,
    pause: Duration,
    record: &Record,
) -> (String, io::Result<Answer>) {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\
         X-Api-Key: KEY\r\nContent-Length: 5\r\n\r\nstone"
    );
    record.note(format!("client sends {id} ({path})"));
    let sent = channel.get_mut().write_all(text.as_bytes());
    let begun = sent.and_then(|()| channel.get_ref().peek(&mut [0]));
    record.note(format!("the answer to {id} begins: {}", begun.is_ok()));
    thread::sleep(pause);
    let answer = begun.and_then(|_| http::read_answer(channel));
    let what = match &answer {
        Ok(answer) => format!(
            "{}, {} bytes, whole {}",
            answer.head.status(),
            answer.body.len(),
            answer.is_complete
        ),
        Err(error) => format!("no answer: {error}"),
    };
    record.note(format!("client gets {id}: {what}"));
    (id, answer)
}

/// Opens a channel and uses it once.
fn open(front: SocketAddr, record: &Record) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(front).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))
        .ok()?;
    let mut channel = BufReader::new(stream);
    let (_, answer) = exchange(&mut channel, "/hold/small", Duration::ZERO, record);
    answer
        .is_ok_and(|answer| answer.head.status() == 200 && answer.is_complete)
        .then_some(channel)
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start(fleet::ip(1));
    store.write("op", "config", Some(&configuration()));
    let workers: Vec<Arc<Worker>> = (0..3).map(|number| start_worker(number, &record)).collect();
    for worker in &workers {
        store.write("servers", &worker.id, Some(&worker.row("ready")));
    }
    let mut fleet = Fleet::start(&ZONES, store.address);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        eprintln!("the gateways do not become ready");
        return 2;
    }
    let pause = if has_trouble { PAUSE } else { Duration::ZERO };
    let whole = Arc::new(AtomicU64::new(0));
    let cut = Arc::new(Mutex::new(BTreeSet::new()));
    let mut unopened = 0;
    for round in 0..ROUNDS {
        let channels: Vec<_> = fleet
            .gateways
            .iter()
            .map(|gateway| open(gateway.front, &record))
            .collect();
        fleet.hang_up();
        record.note(format!("round {round}: SIGHUP to all gateways"));
        thread::sleep(Duration::from_millis(100));
        let mut clients = Vec::new();
        for channel in channels {
            let Some(mut channel) = channel else {
                unopened += 1;
                continue;
            };
            let (record, whole, cut) = (Arc::clone(&record), Arc::clone(&whole), Arc::clone(&cut));
            clients.push(thread::spawn(move || {
                let (id, answer) = exchange(&mut channel, "/hold/large", pause, &record);
                let is_whole = answer.is_ok_and(|answer| {
                    answer.head.status() == 200
                        && answer.is_complete
                        && answer.body.len() == ANSWER_BYTES
                });
                if is_whole {
                    whole.fetch_add(1, Ordering::SeqCst);
                } else {
                    cut.lock().expect("the list").insert(id);
                }
            }));
        }
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(Duration::from_millis(200));
    }
    let all_run = fleet.all_run();
    drop(fleet);
    let mut ran = BTreeSet::new();
    for worker in &workers {
        ran.extend(
            worker
                .arrivals
                .lock()
                .expect("the arrivals")
                .iter()
                .map(|arrival| arrival.request.clone()),
        );
    }
    let cut = cut.lock().expect("the list");
    let lost = cut.iter().filter(|id| ran.contains(*id)).count();
    let whole = whole.load(Ordering::SeqCst);
    let line = format!(
        "large answers that arrived whole {whole}, cut off after a worker had run the request {lost}"
    );
    println!("{line}");
    record.note(line);
    record.write(folder);
    if !all_run || unopened > 0 {
        eprintln!("the case could not run: a gateway ended, or a channel could not be opened");
        return 2;
    }
    i32::from(lost > MAX_LOST)
}
