//! A tenant becomes isolated while workers hold what it has read.

use {
    crate::{
        fleet::Fleet,
        http::Message,
        record::Record,
        setup::{MODEL, config_with, model_request, new_id},
        store::Store,
        worker::{Behaviour, Worker, stream},
    },
    serde_json::json,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const MEMBERS: [(&str, &str); 6] = [
    ("front-nvale-a-1", "nvale-a"),
    ("front-nvale-b-1", "nvale-b"),
    ("front-nvale-c-1", "nvale-c"),
    ("front-nvale-a-2", "nvale-a"),
    ("front-nvale-b-2", "nvale-b"),
    ("front-nvale-b-3", "nvale-b"),
];
/// The tenant that becomes isolated, and another one.
const WALLED: (&str, &str) = ("sese880", "ctnfzs989anu6wsjnban");
const OTHER: (&str, &str) = ("lomi411", "qwbrtp120xlo5htkevud");
/// The memory of a worker, in tokens.
const MEMORY_TOKENS: u64 = 105_812;
/// `configApplyMs` of the settings.
const APPLY: Duration = Duration::from_millis(2_000);

/// A request that used kept parts of a prompt: whose, and when it was sent to the worker.
struct Use {
    at: Instant,
    worker: String,
    request: String,
    tenant: String,
    maker: String,
    part: String,
}

/// A part that a worker keeps.
struct Part {
    /// The tenant whose request read it.
    maker: String,
    tokens: u64,
    used: u64,
}

/// What the workers keep, by worker, and by salt and all parts up to it.
#[derive(Default)]
struct Kept {
    parts: BTreeMap<String, BTreeMap<(String, String), Part>>,
    uses: Vec<Use>,
    clock: u64,
}

impl Kept {
    /// Finds the parts that are kept under the request's salt, as long as all before them are, and keeps
    /// the others. The least recently used ones yield when the worker's memory is full.
    fn read(&mut self, worker: &str, request: &Message) {
        let text = |name: &str| request.header(name).unwrap_or("").to_owned();
        let (salt, tenant) = (text("x-cache-salt"), text("x-tenant"));
        let prefix = text("x-prompt-prefix");
        let names: Vec<&str> = prefix.split(',').collect();
        let parts = self.parts.entry(worker.to_owned()).or_default();
        let mut are_kept = true;
        for count in 1..=names.len() {
            self.clock += 1;
            let key = (salt.clone(), names[..count].join(","));
            let name = names[count - 1];
            let found = parts.get_mut(&key).filter(|_| are_kept);
            if let Some(part) = found {
                part.used = self.clock;
                self.uses.push(Use {
                    at: Instant::now(),
                    worker: worker.to_owned(),
                    request: text("x-request-id"),
                    tenant: tenant.clone(),
                    maker: part.maker.clone(),
                    part: name.to_owned(),
                });
                continue;
            }
            are_kept = false;
            let tokens = name
                .split_once(':')
                .and_then(|row| row.1.parse().ok())
                .unwrap_or(0);
            let part = Part {
                maker: tenant.clone(),
                tokens,
                used: self.clock,
            };
            parts.insert(key, part);
        }
        while parts.values().map(|part| part.tokens).sum::<u64>() > MEMORY_TOKENS {
            let oldest = parts
                .iter()
                .min_by_key(|row| row.1.used)
                .map(|row| row.0.clone());
            let Some(oldest) = oldest else { break };
            parts.remove(&oldest);
        }
    }
}

fn engine(kept: &Arc<Mutex<Kept>>) -> Box<Behaviour> {
    let kept = Arc::clone(kept);
    let stream = stream(Duration::from_millis(60), Duration::from_millis(7), 13);
    Box::new(move |worker, request, channel| {
        kept.lock().expect("kept parts").read(&worker.id, request);
        stream(worker, request, channel)
    })
}

fn desired(version: u64, is_isolated: bool) -> serde_json::Value {
    let tenants = json!([
        {"name": WALLED.0, "apiKeys": [WALLED.1], "isolated": is_isolated},
        {"name": OTHER.0, "apiKeys": [OTHER.1], "isolated": false},
    ]);
    config_with(version, &tenants)
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    let kept = Arc::new(Mutex::new(Kept::default()));
    let workers: Vec<Arc<Worker>> = (0..12)
        .map(|index| {
            let zone = ["nvale-a", "nvale-b", "nvale-c"][index % 3];
            let id = format!("i-7f3a91{index:02}");
            Worker::start(
                &id,
                "loupe",
                zone,
                Some((MODEL, 1)),
                "1.0.0",
                record,
                engine(&kept),
            )
        })
        .collect();
    for worker in &workers {
        store.write("servers", &worker.id, Some(&worker.row("ready", 64)));
    }
    store.write("op", "config", Some(&desired(3, false)));
    store.write(
        "op",
        &format!("version/{MODEL}"),
        Some(&json!({"model": MODEL, "version": 1})),
    );
    let mut fleet = Fleet::prepare(&MEMBERS, store.address, record);
    fleet.start_all()?;
    thread::sleep(Duration::from_secs(4));
    let mut serial = 0;
    let mut served = 0;
    let mut ask = |tenant: (&str, &str)| {
        serial += 1;
        // The house rules and a design's rules, which requests share, and what is the request's own.
        let design = serial / 2 % 8;
        let prefix = format!("5c1e07a2:2520,91bd3f{design:02x}:3780,e4{serial:06x}:2890");
        let id = new_id();
        let body = vec![b'p'; 18_000];
        let bytes = model_request(
            "/rulecheck/1",
            &id,
            6_000,
            "9190,13",
            &prefix,
            tenant.1,
            &[],
            &body,
        );
        let gateway = &fleet.gateways[serial % fleet.gateways.len()];
        record.log(&format!(
            "{id} of tenant {} sent to {}, prompt {prefix}",
            tenant.0, gateway.name
        ));
        let answer = gateway.call(&bytes, Duration::from_secs(6));
        record.log(&format!("{id} is answered: {}", answer.describe()));
        served += usize::from(answer.status() == 200);
    };
    // Nobody is isolated: the tenants share the parts.
    for _ in 0..60 {
        ask(WALLED);
        ask(OTHER);
    }
    let mut walled_since = None;
    if has_trouble {
        let acked = store.write("op", "config", Some(&desired(5, true)));
        record.log_at(
            acked,
            &format!("the store acknowledges version 5: {} is isolated", WALLED.0),
        );
        walled_since = Some(acked + APPLY);
    }
    thread::sleep(APPLY + Duration::from_millis(500));
    for _ in 0..60 {
        ask(WALLED);
        ask(OTHER);
    }
    record.tell(&format!("requests: {serial}, answered with 200: {served}"));
    let kept = kept.lock().expect("kept parts");
    let crossed: Vec<&Use> = kept
        .uses
        .iter()
        .filter(|row| walled_since.is_some_and(|since| row.at > since) && row.tenant != row.maker)
        .collect();
    for row in &crossed {
        record.log_at(
            row.at,
            &format!(
                "worker {}: {} of tenant {} used part {} that a request of tenant {} made",
                row.worker, row.request, row.tenant, row.part, row.maker
            ),
        );
    }
    record.tell(&format!(
        "parts that a request used of another tenant's, while {} was isolated: {}",
        WALLED.0,
        crossed.len()
    ));
    if served < 200 {
        return Err("too few requests were served".to_owned());
    }
    Ok(!crossed.is_empty())
}
