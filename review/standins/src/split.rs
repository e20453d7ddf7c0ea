//! A route is split over two services whose workers have different software, and streams break off.

use {
    crate::{
        fleet::Fleet,
        record::Record,
        setup::{KEY, MODEL, config_with},
        store::Store,
        takeup::{Callers, EVENTS, Entry, MEMBERS, World},
        worker::{Worker, stream},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// The service with the software that is being tried, beside `loupe`.
const NEXT: &str = "loupe-next";
/// The gateway that is killed, three times.
const KILLED: &str = "front-nvale-a-1";
const KILLS: usize = 3;
const CALLERS: usize = 60;

/// The document of the small deployment, with `rulecheck` split over both services.
fn desired() -> Value {
    let mut config = config_with(3, &json!([{"name": "sese880", "apiKeys": [KEY]}]));
    let mut service = config["services"][0].clone();
    service["name"] = json!(NEXT);
    if let Some(services) = config["services"].as_array_mut() {
        services.push(service);
    }
    let route = &mut config["routes"][0];
    route["trafficSplit"] =
        json!([{"service": "loupe", "weight": 70}, {"service": NEXT, "weight": 30}]);
    if let Some(route) = route.as_object_mut() {
        route.remove("service");
    }
    config
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    let mut workers = Vec::new();
    for index in 0..12 {
        let zone = ["nvale-a", "nvale-b", "nvale-c"][index % 3];
        let (service, software) = if index < 8 {
            ("loupe", "1.0.0")
        } else {
            (NEXT, "2.0.0")
        };
        let behaviour = stream(Duration::from_millis(60), Duration::from_millis(25), EVENTS);
        let id = format!("i-7f3a91{index:02}");
        let worker = Worker::start(
            &id,
            service,
            zone,
            Some((MODEL, 1)),
            software,
            record,
            behaviour,
        );
        store.write("servers", &worker.id, Some(&worker.row("ready", 64)));
        record.log(&format!(
            "the store acknowledges worker {id} of {service}, software {software}"
        ));
        workers.push(worker);
    }
    store.write("op", "config", Some(&desired()));
    store.write(
        "op",
        &format!("version/{MODEL}"),
        Some(&json!({"model": MODEL, "version": 1})),
    );
    let mut fleet = Fleet::prepare(&MEMBERS, store.address, record);
    fleet.start_all()?;
    let killed = fleet.index(KILLED);
    let ready: Vec<SocketAddr> = fleet.gateways.iter().map(|row| row.ready).collect();
    let world = Arc::new(World {
        record: Arc::clone(record),
        entry: Entry::start(&ready, record),
        fronts: fleet.gateways.iter().map(|row| row.front).collect(),
    });
    let nodes: Vec<usize> = (0..MEMBERS.len()).collect();
    let callers = Callers::start(&world, &nodes, CALLERS);
    thread::sleep(Duration::from_secs(6));
    for _ in 0..KILLS {
        if has_trouble {
            fleet.kill(killed);
            thread::sleep(Duration::from_millis(600));
            fleet.start(killed)?;
        }
        thread::sleep(Duration::from_secs(6));
    }
    Ok(callers.end(record)? > 0)
}
