//! Streams are taken up at a gateway that was frozen while a release began.

use {
    crate::{
        fleet::Fleet,
        record::Record,
        setup::{MODEL, config},
        store::Store,
        takeup::{Callers, EVENTS, Entry, MEMBERS, World},
        worker::{Worker, stream},
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// The gateway that is frozen, and the one that ends. Both are in one zone.
const FROZEN: &str = "front-nvale-a-2";
const KILLED: &str = "front-nvale-a-1";
/// When the release begins, the other gateway is killed, and the frozen one goes on, after the freeze
/// began. The platform takes a machine out of rotation two misses after its last good answer, one a second.
const RELEASE: Duration = Duration::from_millis(2_250);
const KILL: Duration = Duration::from_millis(2_900);
const THAW: Duration = Duration::from_millis(3_700);
/// Callers, each with about one request a second.
const CALLERS: usize = 66;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    let mut serial = 0;
    let mut generation = |software: &str| -> Vec<Arc<Worker>> {
        let started: Vec<Arc<Worker>> = (0..12)
            .map(|index| {
                serial += 1;
                let zone = ["nvale-a", "nvale-b", "nvale-c"][index % 3];
                let behaviour =
                    stream(Duration::from_millis(60), Duration::from_millis(25), EVENTS);
                let id = format!("i-7f3a{serial:04}");
                Worker::start(
                    &id,
                    "loupe",
                    zone,
                    Some((MODEL, 1)),
                    software,
                    record,
                    behaviour,
                )
            })
            .collect();
        for worker in &started {
            store.write("servers", &worker.id, Some(&worker.row("ready", 64)));
        }
        record.log(&format!(
            "the store acknowledges 12 workers of software {software}"
        ));
        started
    };
    let mut old = generation("1.0.0");
    store.write("op", "config", Some(&config(3)));
    store.write(
        "op",
        &format!("version/{MODEL}"),
        Some(&json!({"model": MODEL, "version": 1})),
    );
    let mut fleet = Fleet::prepare(&MEMBERS, store.address, record);
    fleet.start_all()?;
    let (frozen, killed) = (fleet.index(FROZEN), fleet.index(KILLED));
    let ready: Vec<SocketAddr> = fleet.gateways.iter().map(|row| row.ready).collect();
    let world = Arc::new(World {
        record: Arc::clone(record),
        entry: Entry::start(&ready, record),
        fronts: fleet.gateways.iter().map(|row| row.front).collect(),
    });
    let nodes: Vec<usize> = (0..MEMBERS.len()).filter(|node| *node != frozen).collect();
    let callers = Callers::start(&world, &nodes, CALLERS);
    thread::sleep(Duration::from_secs(5));
    world.entry.wait_for_answer(frozen);
    if has_trouble {
        fleet.signal(frozen, "STOP");
    }
    let began = Instant::now();
    thread::sleep(RELEASE);
    // A release: the new workers start first, the old ones drain.
    let new = generation("2.0.0");
    for worker in &old {
        store.write("servers", &worker.id, Some(&worker.row("draining", 64)));
    }
    record.log("the store acknowledges that the workers of software 1.0.0 drain");
    thread::sleep(KILL.saturating_sub(began.elapsed()));
    if has_trouble {
        fleet.kill(killed);
    }
    thread::sleep(THAW.saturating_sub(began.elapsed()));
    if has_trouble {
        fleet.signal(frozen, "CONT");
        fleet.start(killed)?;
    }
    thread::sleep(Duration::from_secs(4));
    for worker in old.drain(..) {
        store.write("servers", &worker.id, None);
        worker.exit();
    }
    thread::sleep(Duration::from_secs(4));
    drop(new);
    Ok(callers.end(record)? > 0)
}
