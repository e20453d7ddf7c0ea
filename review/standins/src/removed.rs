//! A worker is removed from the list while two of three gateways of a zone restart.

use {
    crate::{
        fleet::Fleet,
        record::Record,
        setup::{config, new_id, plain_request},
        store::Store,
        worker::{Worker, plain},
    },
    serde_json::json,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long a removed worker goes on in all: `drainMs` and "at times many seconds".
const SERVES_ON: Duration = Duration::from_millis(8_000);
/// The third gateway of its zone, which leaves the store to the two others.
const THIRD: &str = "front-nvale-b-3";
/// Half of the machines, among them the first two of the third gateway's zone.
const RESTARTED: [&str; 3] = ["front-nvale-b-1", "front-nvale-b-2", "front-nvale-a-1"];
/// The first three are the seeds.
const MEMBERS: [(&str, &str); 6] = [
    ("front-nvale-a-1", "nvale-a"),
    ("front-nvale-b-1", "nvale-b"),
    ("front-nvale-b-2", "nvale-b"),
    ("front-nvale-b-3", "nvale-b"),
    ("front-nvale-a-2", "nvale-a"),
    ("front-nvale-c-1", "nvale-c"),
];
const ROUNDS: usize = 6;
/// Callers of the third gateway, with about eight requests a second each.
const CALLERS: usize = 3;
const ROUND: Duration = Duration::from_millis(9_500);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    let mut serial = 0;
    let mut new_worker = |zone: &str| {
        serial += 1;
        let id = format!("i-7f3a91{serial:02}");
        let work = Duration::from_millis(30);
        let worker = Worker::start(&id, "bench", zone, None, "1.0.0", record, plain(work));
        let acked = store.write("servers", &worker.id, Some(&worker.row("ready", 6)));
        record.log_at(acked, &format!("the store acknowledges worker {id}"));
        worker
    };
    // The workers that will be removed are in the third gateway's zone.
    let mut here: Vec<Arc<Worker>> = vec![new_worker("nvale-b")];
    let mut elsewhere: Vec<Arc<Worker>> = ["nvale-a", "nvale-c"].map(&mut new_worker).into();
    store.write("op", "config", Some(&config(3)));
    store.write(
        "op",
        "version/daka510000",
        Some(&json!({"model": "daka510000", "version": 1})),
    );
    let mut fleet = Fleet::prepare(&MEMBERS, store.address, record);
    fleet.start_all()?;
    let third = fleet.index(THIRD);
    let front = fleet.gateways[third].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut lost = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let bytes = plain_request("POST", "/hold/1", &id, 1_500, b"hold");
                    let sent = Instant::now();
                    let answer = crate::call(front, &bytes, Duration::from_millis(1_500));
                    record.log_at(sent, &format!("{id} sent to {THIRD}"));
                    if answer.status() != 200 {
                        record.log(&format!("{id} is answered: {}", answer.describe()));
                    }
                    lost += usize::from(matches!(answer.status(), 0 | 502 | 504));
                    thread::sleep(Duration::from_millis(90));
                }
                lost
            })
        })
        .collect();
    // All gateways are in touch, and know each other.
    thread::sleep(Duration::from_secs(6));
    let mut removed: Vec<(Arc<Worker>, Instant)> = Vec::new();
    let mut drained: Vec<(Arc<Worker>, Instant)> = Vec::new();
    for round in 1..=ROUNDS {
        let began = Instant::now();
        record.log(&format!("round {round}"));
        // A release, a worker each second: the new one starts first, the old one leaves.
        here.push(new_worker("nvale-b"));
        thread::sleep(Duration::from_millis(300));
        if has_trouble {
            for name in RESTARTED {
                let index = fleet.index(name);
                fleet.kill(index);
            }
        }
        thread::sleep(Duration::from_millis(200));
        let old = here.remove(0);
        let acked = store.write("servers", &old.id, None);
        record.log_at(
            acked,
            &format!("the store acknowledges that worker {} is gone", old.id),
        );
        removed.push((old, acked));
        thread::sleep(Duration::from_millis(400));
        if has_trouble {
            for name in RESTARTED {
                let index = fleet.index(name);
                fleet.start(index)?;
            }
        }
        thread::sleep(Duration::from_millis(400));
        // The next step of the release: this worker tells that it drains.
        elsewhere.push(new_worker("nvale-a"));
        thread::sleep(Duration::from_millis(500));
        let old = elsewhere.remove(0);
        let acked = store.write("servers", &old.id, Some(&old.row("draining", 6)));
        record.log_at(
            acked,
            &format!("the store acknowledges that worker {} drains", old.id),
        );
        drained.push((old, acked));
        while began.elapsed() < ROUND {
            thread::sleep(Duration::from_millis(50));
            for (worker, acked) in &removed {
                if acked.elapsed() > SERVES_ON && !worker.is_dead() {
                    // It ends beside a request, if it still gets any.
                    let until = Instant::now() + Duration::from_millis(300);
                    while worker.running.load(Ordering::SeqCst) == 0 && Instant::now() < until {
                        thread::sleep(Duration::from_millis(1));
                    }
                    worker.exit();
                    record.log(&format!("worker {} ends", worker.id));
                }
            }
            let due = |row: &&(Arc<Worker>, Instant)| {
                row.1.elapsed() > DRAIN + Duration::from_millis(500)
            };
            for (worker, _) in drained.iter().filter(due).filter(|row| !row.0.is_dead()) {
                store.write("servers", &worker.id, None);
                worker.exit();
                record.log(&format!("worker {} is gone and ends", worker.id));
            }
        }
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    let mut lost = 0;
    for caller in callers {
        lost += caller.join().map_err(|_| "a caller failed".to_owned())?;
    }
    let mut late = 0;
    for (worker, acked) in &removed {
        let arrivals = worker.arrivals.lock().expect("arrivals");
        let late_here: Vec<_> = arrivals
            .iter()
            .filter(|row| row.has_run && row.at > *acked + DRAIN)
            .collect();
        late += late_here.len();
        let last = late_here.last().map(|row| (row.at - *acked).as_millis());
        record.tell(&format!(
            "worker {}: {} requests reached it later than drainMs after its removal was acknowledged; the last {:?} ms after",
            worker.id, late_here.len(), last
        ));
    }
    record.tell(&format!(
        "holds at {THIRD} that were lost (no answer, 502 or 504): {lost}"
    ));
    Ok(late > 0)
}
