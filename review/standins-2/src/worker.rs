//! Workers: servers that run requests, as PROTOCOL.md describes them.

use crate::http::{Message, read_request, write_answer};
use crate::record::Record;
use std::io::{BufReader, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a worker does with a request that it runs. Returns whether the connection stays open.
pub type Run = dyn Fn(&Worker, &Message, &mut TcpStream) -> bool + Send + Sync;

/// A request that reached a worker and is run.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: String,
    pub at: Instant,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_engine: bool,
    pub slots: u64,
    pub running: AtomicU64,
    pub arrivals: Mutex<Vec<Arrival>>,
    has_ended: AtomicBool,
    run: Box<Run>,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        ip: IpAddr,
        (is_engine, slots): (bool, u64),
        record: &Arc<Record>,
        run: Box<Run>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a worker");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            is_engine,
            slots,
            running: AtomicU64::new(0),
            arrivals: Mutex::default(),
            has_ended: AtomicBool::new(false),
            run,
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&worker);
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while !serving.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let worker = Arc::clone(&serving);
                        thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        worker
    }

    /// The worker's row in the table `servers`.
    pub fn row(&self, state: &str) -> String {
        let models = if self.is_engine {
            r#","stage":"combined","models":[{"name":"m0","version":1,"adapters":[]}]"#
        } else {
            ""
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","coldLeftMs":0,"seq":1,"born":1700000000000{models}}}"#,
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Ends the worker: it accepts no connections and closes the open ones after their request.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            // Waits for the next request, or the end of the worker.
            let _ = writer.set_read_timeout(Some(Duration::from_millis(20)));
            let mut byte = [0];
            loop {
                if self.has_ended() {
                    return;
                }
                match writer.peek(&mut byte) {
                    Ok(0) => return,
                    Ok(_) => break,
                    Err(error)
                        if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => return,
                }
            }
            let _ = writer.set_read_timeout(Some(Duration::from_secs(5)));
            let Ok(Some(request)) = read_request(&mut reader) else {
                return;
            };
            if !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Not-Executed", "1"),
                ("X-Instance-Id", &self.id),
            ];
            return write_answer(writer, "421 Misdirected Request", &headers, b"").is_ok();
        }
        match request.path() {
            "/health" => {
                let headers = [("X-Instance-Id", self.id.as_str())];
                return write_answer(writer, "200 OK", &headers, b"").is_ok();
            }
            "/v1/report" => {
                let running = self.running.load(Ordering::SeqCst);
                let body = format!(
                    r#"{{"stage":"combined","models":[{{"name":"m0","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":{running},"kvUsed":0,"kvTotal":100000,"handles":0}}"#
                );
                let headers = [("Content-Type", "application/json")];
                return write_answer(writer, "200 OK", &headers, body.as_bytes()).is_ok();
            }
            _ => {}
        }
        let arrival = Arrival {
            request: id,
            at: Instant::now(),
        };
        let last_event = request.header("last-event-id").unwrap_or("-");
        self.record.note_at(
            arrival.at,
            format!(
                "{} runs {} (last event {last_event})",
                self.id, arrival.request
            ),
        );
        self.arrivals.lock().expect("the arrivals").push(arrival);
        self.running.fetch_add(1, Ordering::SeqCst);
        let stays = (self.run)(self, request, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        stays
    }
}
