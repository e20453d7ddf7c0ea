//! Two of a zone's three gateways are stopped in turn, and a first request comes 3.1 s after SIGTERM.

use {
    crate::{
        fleet::Fleet,
        http::{Channel, exchange},
        record::Record,
        setup::{KEY, MODEL, config, model_request, new_id},
        store::Store,
        takeup::{Entry, MEMBERS},
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

/// The gateways that get SIGTERM, a second apart, and the one at which the callers are.
const STOPPED: [&str; 2] = ["front-nvale-b-1", "front-nvale-b-2"];
const GAP: Duration = Duration::from_secs(1);
/// When callers open channels and send their first request on them, after the first SIGTERM. While fewer
/// than half of a zone's nodes are in rotation, the platform uses all of them.
const OPENED: Duration = Duration::from_millis(2_800);
const SENT: Duration = Duration::from_millis(3_080);
/// What is sent no later than this after SIGTERM isn't counted, if its worker is still at work at the end.
const COUNTED_AFTER: Duration = Duration::from_secs(3);
/// The `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
const CALLERS: usize = 6;
/// A description takes its worker 6 s: 150 events, 40 ms apart.
const EVENTS: u64 = 150;
const STEP: Duration = Duration::from_millis(40);

/// How a caller's request ended.
struct Ending {
    id: String,
    sent: Instant,
    ended: Instant,
    what: String,
    is_whole: bool,
}

fn describe(record: &Record, front: SocketAddr, began: Instant) -> Result<Ending, String> {
    thread::sleep(OPENED.saturating_sub(began.elapsed()));
    let mut channel = Channel::open(front).map_err(|error| format!("no channel: {error}"))?;
    thread::sleep(SENT.saturating_sub(began.elapsed()));
    let id = new_id();
    let prefix = format!("91bd3f06:119,5c1e07a2:79,{}:628", &id[8..]);
    let body = vec![b'p'; 1_700];
    let bytes = model_request("/blurb/1", &id, 15_000, "826,150", &prefix, KEY, &[], &body);
    let sent = Instant::now();
    record.log_at(sent, &format!("{id} sent"));
    let answer = exchange(&mut channel, &bytes, Duration::from_secs(15), &mut |_| ());
    let what = answer.describe();
    record.log(&format!("{id} is answered: {what}"));
    Ok(Ending {
        id,
        sent,
        ended: Instant::now(),
        is_whole: answer
            .message
            .as_ref()
            .is_some_and(|message| message.is_complete),
        what,
    })
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    let mut workers = Vec::new();
    for index in 0..12 {
        let zone = ["nvale-a", "nvale-b", "nvale-c"][index % 3];
        let behaviour = stream(Duration::from_millis(60), STEP, EVENTS);
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
    store.write("op", "config", Some(&config(3)));
    store.write(
        "op",
        &format!("version/{MODEL}"),
        Some(&json!({"model": MODEL, "version": 1})),
    );
    let mut fleet = Fleet::prepare(&MEMBERS, store.address, record);
    fleet.start_all()?;
    let stopped = STOPPED.map(|name| fleet.index(name));
    let ready: Vec<SocketAddr> = fleet.gateways.iter().map(|row| row.ready).collect();
    let entry = Entry::start(&ready, record);
    let front = fleet.gateways[stopped[0]].front;
    thread::sleep(Duration::from_secs(5));
    // Shortly before the platform asks again, so that both nodes are out of rotation by `OPENED`.
    entry.wait_for_answer(stopped[0]);
    thread::sleep(Duration::from_millis(850));
    let began = Instant::now();
    if has_trouble {
        fleet.signal(stopped[0], "TERM");
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let record = Arc::clone(record);
            thread::spawn(move || describe(&record, front, began))
        })
        .collect();
    thread::sleep(GAP.saturating_sub(began.elapsed()));
    if has_trouble {
        fleet.signal(stopped[1], "TERM");
    }
    // The platform forwards new channels to this node only if it is in rotation, or if fewer than half of
    // the zone's nodes are.
    thread::sleep(OPENED.saturating_sub(began.elapsed()));
    let zone = MEMBERS[stopped[0]].1;
    let nodes: Vec<usize> = (0..MEMBERS.len())
        .filter(|node| MEMBERS[*node].1 == zone)
        .collect();
    let rotating = nodes
        .iter()
        .filter(|node| entry.is_in_rotation(**node))
        .count();
    record.log(&format!(
        "{rotating} of {} nodes of {zone} are in rotation",
        nodes.len()
    ));
    let is_used = entry.is_in_rotation(stopped[0]) || rotating * 2 < nodes.len();
    // SIGKILL would follow at the end of the grace period.
    thread::sleep(GRACE.saturating_sub(began.elapsed()));
    if has_trouble {
        for index in stopped {
            fleet.kill(index);
            fleet.start(index)?;
        }
    }
    let mut lost = 0;
    let mut whole = 0;
    let mut errors = Vec::new();
    for caller in callers {
        match caller.join().map_err(|_| "a caller failed".to_owned())? {
            Err(error) => errors.push(error),
            Ok(ending) => {
                let after = ending.sent - began;
                let has_run = workers.iter().any(|worker| {
                    let arrivals = worker.arrivals.lock().expect("arrivals");
                    arrivals
                        .iter()
                        .any(|row| row.request == ending.id && row.has_run)
                });
                whole += usize::from(ending.is_whole);
                let is_lost = has_run && !ending.is_whole && after > COUNTED_AFTER;
                lost += usize::from(is_lost);
                record.tell(&format!(
                    "{} sent {} ms after SIGTERM, ran: {has_run}; {} ms after SIGTERM: {}",
                    ending.id,
                    after.as_millis(),
                    (ending.ended - began).as_millis(),
                    ending.what
                ));
            }
        }
    }
    for error in &errors {
        record.tell(error);
    }
    if !is_used {
        return Err("the node was out of rotation when channels were opened".to_owned());
    }
    record.tell(&format!(
        "requests: {CALLERS}, whole: {whole}, taken and given up: {lost}"
    ));
    if !has_trouble && whole < CALLERS {
        return Err("not all requests were answered without trouble".to_owned());
    }
    Ok(lost > 0)
}
