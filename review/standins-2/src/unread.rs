//! LOST: consumers that read on three seconds after an answer has begun, around SIGHUP.

use crate::fleet::{self, Fleet};
use crate::http::{self, Answer, write_answer};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use std::collections::BTreeSet;
use std::io::{self, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
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
/// What a consumer's connection may hold before it is read, and the answer that it is sent: the default buffer of the
/// system and a long answer, or a small buffer and the longest answer of the sheet.
const VARIANTS: [(Option<i32>, &str, usize); 2] = [
    (None, "/hold/large", 300_000),
    (Some(2_304), "/hold/sheet", 4_800),
];
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
        let variant = VARIANTS.iter().find(|row| row.1 == request.path());
        let length = variant.map_or(SMALL_BYTES, |row| row.2);
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
        SocketAddr::new(fleet::ip(100), 0),
        (false, 6, "v1"),
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

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with a receive buffer of a given size, which must be set before.
fn connect_with_buffer(front: SocketAddr, bytes: i32) -> Option<TcpStream> {
    const AF_INET: u16 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let IpAddr::V4(ip) = front.ip() else {
        return None;
    };
    let mut address = [0_u8; 16];
    address[..2].copy_from_slice(&AF_INET.to_ne_bytes());
    address[2..4].copy_from_slice(&front.port().to_be_bytes());
    address[4..8].copy_from_slice(&ip.octets());
    // The calls get valid pointers, and the stream owns the descriptor.
    unsafe {
        let descriptor = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let is_set = setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, 4) == 0;
        let is_connected = connect(descriptor, address.as_ptr(), 16) == 0;
        (is_set && is_connected).then_some(stream)
    }
}

/// Opens a channel and uses it once.
fn open(front: SocketAddr, buffer: Option<i32>, record: &Record) -> Option<BufReader<TcpStream>> {
    let stream = match buffer {
        Some(bytes) => connect_with_buffer(front, bytes)?,
        None => TcpStream::connect(front).ok()?,
    };
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
        let (buffer, path, length) = VARIANTS[round % VARIANTS.len()];
        let channels: Vec<_> = fleet
            .gateways
            .iter()
            .map(|gateway| open(gateway.front, buffer, &record))
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
                let (id, answer) = exchange(&mut channel, path, pause, &record);
                let is_whole = answer.is_ok_and(|answer| {
                    answer.head.status() == 200 && answer.is_complete && answer.body.len() == length
                });
                if is_whole {
                    whole.fetch_add(1, Ordering::SeqCst);
                } else {
                    cut.lock().expect("the list").insert((id, length));
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
    let lost = cut.iter().filter(|row| ran.contains(&row.0)).count();
    let of_sheet = cut.iter().filter(|row| row.1 == VARIANTS[1].2).count();
    let whole = whole.load(Ordering::SeqCst);
    let line = format!(
        "answers that arrived whole {whole}, cut off after a worker had run the request {lost}, of these {of_sheet} of 4,800 bytes"
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
