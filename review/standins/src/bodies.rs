//! Many callers send long bodies at once, each within the limit of the desired state.

use {
    crate::{
        fleet::{Fleet, resident_bytes},
        http::{Answer, Channel},
        record::Record,
        setup::{HOST, KEY, MODEL, config, new_id, plain_request},
        store::Store,
        takeup::MEMBERS,
        worker::{Worker, plain, stream},
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `limits.memoryMb` of the settings.
const MEMORY_BYTES: u64 = 110 * 1_024 * 1_024;
/// `maxBodyBytes` of the desired state.
const BODY_BYTES: usize = 4_194_304;
/// How long a caller's own link takes for that.
const UPLOAD: Duration = Duration::from_millis(2_000);
/// A node's sixth of the sheet's 100 requests a second, and that many in a burst.
const USUAL_PER_S: f64 = 100.0 / 6.0;
const BURST: f64 = 1.7;
/// How long a burst lasts, and how often it comes.
const BURST_LENGTH: Duration = Duration::from_secs(3);
const BURSTS: usize = 4;
/// The nodes of one zone get the burst.
const ZONE: &str = "nvale-a";
/// How soon the platform starts a process again.
const RESTART: Duration = Duration::from_millis(600);

/// Sends a design check whose body takes `UPLOAD`.
fn upload(front: SocketAddr, id: &str, piece: &[u8]) -> Answer {
    let began = Instant::now();
    let head = format!(
        "POST /rulecheck/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n\
         X-Api-Key: {KEY}\r\nX-Model: {MODEL}\r\nX-Token-Count: 9190,13\r\n\
         X-Prompt-Prefix: 5c1e07a2:2520,91bd3f06:3780,{}:2890\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        &id[8..]
    );
    let exchange = || -> std::io::Result<Option<crate::http::Message>> {
        let mut channel = Channel::open(front)?;
        let limit = Some(Duration::from_secs(6));
        channel.stream.set_read_timeout(limit)?;
        channel.stream.set_write_timeout(limit)?;
        channel.send(head.as_bytes())?;
        let pieces = u32::try_from(BODY_BYTES / piece.len()).unwrap_or(1);
        for index in 0..pieces {
            let due = began + UPLOAD * index / pieces;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            channel.send(piece)?;
        }
        let Some(mut message) = channel.head()? else {
            return Ok(None);
        };
        channel.body(&mut message, &mut |_| ())?;
        Ok(Some(message))
    };
    let (message, error) = match exchange() {
        Ok(message) => (message, None),
        Err(error) => (None, Some(error.to_string())),
    };
    Answer {
        message,
        error,
        took: began.elapsed(),
    }
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    let mut workers = Vec::new();
    for index in 0..12 {
        let zone = ["nvale-a", "nvale-b", "nvale-c"][index % 3];
        let behaviour = stream(Duration::from_millis(60), Duration::from_millis(7), 13);
        let id = format!("i-7f3a91{index:02}");
        let worker = Worker::start(
            &id,
            "loupe",
            zone,
            Some((MODEL, 1)),
            "1.0.0",
            record,
            behaviour,
        );
        store.write("servers", &worker.id, Some(&worker.row("ready", 64)));
        workers.push(worker);
    }
    for index in 0..3 {
        let zone = ["nvale-a", "nvale-b", "nvale-c"][index];
        let id = format!("i-8f3a91{index:02}");
        let behaviour = plain(Duration::from_millis(30));
        let worker = Worker::start(&id, "bench", zone, None, "1.0.0", record, behaviour);
        store.write("servers", &worker.id, Some(&worker.row("ready", 6)));
        workers.push(worker);
    }
    store.write("op", "config", Some(&config(3)));
    store.write(
        "op",
        &format!("version/{MODEL}"),
        Some(&json!({"model": MODEL, "version": 1})),
    );
    let mut fleet = Fleet::prepare(&MEMBERS, store.address, record);
    fleet.start_all()?;
    let nodes: Vec<usize> = (0..MEMBERS.len())
        .filter(|node| MEMBERS[*node].1 == ZONE)
        .collect();
    let fronts: Vec<SocketAddr> = nodes
        .iter()
        .map(|node| fleet.gateways[*node].front)
        .collect();
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    // Other callers, with small requests.
    let others: Vec<_> = fronts
        .iter()
        .copied()
        .map(|front| {
            let (record, is_over, lost) =
                (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&lost));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let bytes = plain_request("GET", "/read/1", &id, 1_500, b"");
                    let answer = crate::call(front, &bytes, Duration::from_millis(1_500));
                    if answer.status() == 0 {
                        lost.fetch_add(1, Ordering::SeqCst);
                        record.log(&format!("small {id}: {}", answer.describe()));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let piece = Arc::new(vec![b'd'; BODY_BYTES / 64]);
    let mut ends = vec![0; nodes.len()];
    let mut peaks = vec![0; nodes.len()];
    let mut down: Vec<Option<Instant>> = vec![None; nodes.len()];
    let mut sent = 0;
    for burst in 0..BURSTS {
        record.log(&format!("wave {}", burst + 1));
        let rate = USUAL_PER_S * if has_trouble { BURST } else { 1.0 };
        let began = Instant::now();
        let mut in_wave = 0;
        while began.elapsed() < Duration::from_secs(9) {
            while began.elapsed() < BURST_LENGTH
                && began.elapsed().as_secs_f64() * rate > f64::from(in_wave)
            {
                in_wave += 1;
                for front in fronts.iter().copied() {
                    let (id, piece, record) = (new_id(), Arc::clone(&piece), Arc::clone(record));
                    sent += 1;
                    thread::spawn(move || {
                        record.log(&format!("long {id} is being sent"));
                        let answer = upload(front, &id, &piece);
                        record.log(&format!("long {id}: {}", answer.describe()));
                    });
                }
            }
            for (index, node) in nodes.iter().copied().enumerate() {
                if let Some(at) = down[index] {
                    if at.elapsed() > RESTART {
                        fleet.start(node)?;
                        down[index] = None;
                    }
                    continue;
                }
                let bytes = resident_bytes(fleet.pid(node));
                peaks[index] = bytes.max(peaks[index]);
                if bytes > MEMORY_BYTES {
                    record.log(&format!(
                        "{} has {bytes} bytes: over limits.memoryMb",
                        MEMBERS[node].0
                    ));
                    fleet.kill(node);
                    ends[index] += 1;
                    down[index] = Some(Instant::now());
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for other in others {
        other.join().map_err(|_| "a caller failed".to_owned())?;
    }
    for (index, node) in nodes.iter().enumerate() {
        record.tell(&format!(
            "{}: at most {} MiB, ended {} times for memory over the limit",
            MEMBERS[*node].0,
            peaks[index] / 1_048_576,
            ends[index]
        ));
    }
    record.tell(&format!(
        "requests with a long body: {sent}; small ones without an answer: {}",
        lost.load(Ordering::SeqCst)
    ));
    Ok(ends.iter().filter(|ends| **ends >= 3).count() >= 2)
}
