//! A stand-in of a worker.

use {
    crate::{
        http::{Channel, Message, response},
        record::Record,
    },
    serde_json::{Value, json},
    std::{
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request: String,
    pub has_run: bool,
}

/// What a worker does with a request that it may run. Returns whether the channel is kept.
pub type Behaviour = dyn Fn(&Worker, &Message, &mut Channel) -> bool + Send + Sync;

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub model: Option<(String, u64)>,
    /// The version of its software.
    pub software: String,
    born_ms: u64,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub running: AtomicUsize,
    pub record: Arc<Record>,
    is_dead: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    behaviour: Box<Behaviour>,
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        model: Option<(&str, u64)>,
        software: &str,
        record: &Arc<Record>,
        behaviour: Box<Behaviour>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            model: model.map(|(name, version)| (name.to_owned(), version)),
            software: software.to_owned(),
            born_ms: u64::try_from(since_epoch.expect("a time").as_millis()).unwrap_or(0),
            arrivals: Mutex::default(),
            running: AtomicUsize::new(0),
            record: Arc::clone(record),
            is_dead: AtomicBool::new(false),
            channels: Mutex::default(),
            behaviour,
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_dead.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    serving.channels.lock().expect("channels").push(clone);
                }
                let worker = Arc::clone(&serving);
                thread::spawn(move || worker.serve(Channel::new(stream)));
            }
        });
        worker
    }

    /// What the worker writes of itself to the store.
    pub fn row(&self, state: &str, slots: u64) -> Value {
        let models: Vec<Value> = self
            .model
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect();
        json!({"service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": self.software, "slots": slots, "state": state, "coldLeftMs": 0, "seq": 1,
            "born": self.born_ms, "stage": "combined", "models": models})
    }

    /// Ends the process: the listener and all channels are closed.
    pub fn exit(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for channel in self.channels.lock().expect("channels").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    pub fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    /// The headers of each answer to a request.
    pub fn load(&self) -> String {
        format!("{},0,6", self.running.load(Ordering::SeqCst))
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.request() {
            if self.is_dead() || !self.answer(&request, &mut channel) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, channel: &mut Channel) -> bool {
        let expected = request.header("x-expect-instance");
        let is_misdirected = expected.is_some_and(|id| id != self.id);
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.target() == "/v1/report" {
            return channel.send(&self.report(is_misdirected)).is_ok();
        }
        if id.is_empty() {
            return channel
                .send(&response(400, &[("X-Not-Executed", "1")], b""))
                .is_ok();
        }
        self.arrivals.lock().expect("arrivals").push(Arrival {
            at: Instant::now(),
            request: id.clone(),
            has_run: false,
        });
        if is_misdirected {
            self.record
                .log(&format!("worker {} gets {id} and answers 421", self.id));
            let headers = [("X-Request-Id", &*id), ("X-Instance-Id", &self.id)];
            return channel.send(&response(421, &headers, b"")).is_ok();
        }
        (self.behaviour)(self, request, channel)
    }

    /// Records that a request begins to run.
    pub fn begin(&self, request: &Message) {
        let id = request.header("x-request-id").unwrap_or("");
        self.running.fetch_add(1, Ordering::SeqCst);
        let mut arrivals = self.arrivals.lock().expect("arrivals");
        if let Some(arrival) = arrivals.iter_mut().rev().find(|row| row.request == id) {
            arrival.has_run = true;
        }
        drop(arrivals);
        self.record.log(&format!("worker {} runs {id}", self.id));
    }

    pub fn end(&self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
    }

    fn report(&self, is_misdirected: bool) -> Vec<u8> {
        if is_misdirected {
            return response(421, &[("X-Instance-Id", &self.id)], b"");
        }
        let models: Vec<Value> = self
            .model
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect();
        let running = self.running.load(Ordering::SeqCst);
        let body = json!({"stage": "combined", "models": models, "busy": false, "seq": 0,
            "queued": 0, "running": running, "kvUsed": 0, "kvTotal": 105_812, "handles": 0});
        response(
            200,
            &[("Content-Type", "application/json")],
            body.to_string().as_bytes(),
        )
    }
}

/// Runs a request of a plain service for `work` and answers 200.
pub fn plain(work: Duration) -> Box<Behaviour> {
    Box::new(move |worker, request, channel| {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        worker.begin(request);
        thread::sleep(work);
        worker.end();
        if worker.is_dead() {
            return false;
        }
        let load = worker.load();
        let headers = [
            ("X-Request-Id", &*id),
            ("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Server-Load", &*load),
        ];
        channel.send(&response(200, &headers, &[b'a'; 800])).is_ok()
    })
}

/// The text of an event: what another software version writes doesn't fit to it.
pub fn event(software: &str, number: u64) -> String {
    format!("id: {number}\ndata: text {number} by {software}\n\n")
}

/// Prefills for `prefill`, then sends an event each `step`, up to number `last`. Goes on after
/// `Last-Event-Id`. Stops when the channel is closed.
pub fn stream(prefill: Duration, step: Duration, last: u64) -> Box<Behaviour> {
    Box::new(move |worker, request, channel| {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let first = after.map_or(1, |after: u64| after + 1);
        thread::sleep(prefill);
        if worker.is_dead() || channel.is_closed() {
            return false;
        }
        worker.begin(request);
        let load = worker.load();
        let weights = worker.model.as_ref().map_or(0, |row| row.1);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: {load}\r\n\
             X-Weight-Versions: {weights}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = channel.send(head.as_bytes()).is_ok();
        for number in first..=last {
            let event = event(&worker.software, number);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open
                && !worker.is_dead()
                && !channel.is_closed()
                && channel.send(chunk.as_bytes()).is_ok();
            if !is_open {
                break;
            }
            thread::sleep(step);
        }
        worker.end();
        let record = &worker.record;
        record.log(&format!(
            "worker {} ({}) ends {id}, which began at event {first}: {}",
            worker.id,
            worker.software,
            if is_open { "complete" } else { "broken off" }
        ));
        is_open && channel.send(b"0\r\n\r\n").is_ok()
    })
}
