//! The platform's store: rows in tables, long polls and conditional writes, as PROTOCOL.md describes them.

use crate::http::{Message, read_request, write_answer};
use crate::json::{from_base64, parse, to_base64};
use std::collections::BTreeMap;
use std::io::{BufReader, Read};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the store takes to answer a call, and a transaction.
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Inner {
    version: u64,
    rows: BTreeMap<(String, String), (u64, Option<Vec<u8>>)>,
    is_silent: bool,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: IpAddr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let store = Arc::new(Self {
            inner: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes or removes a row for a worker or the operator. Returns when the store has accepted it: the ack.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) -> Instant {
        let mut inner = self.inner.lock().expect("the rows");
        inner.version += 1;
        let version = inner.version;
        let value = value.map(|value| value.as_bytes().to_vec());
        inner
            .rows
            .insert((table.to_owned(), key.to_owned()), (version, value));
        self.changed.notify_all();
        Instant::now()
    }

    /// While the store is silent it answers nothing, and a channel on which an answer is lost delivers nothing
    /// further.
    pub fn set_silent(&self, is_silent: bool) {
        self.inner.lock().expect("the rows").is_silent = is_silent;
    }

    fn is_silent(&self) -> bool {
        self.inner.lock().expect("the rows").is_silent
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.is_silent() {
                return swallow(reader);
            }
            let (status, body) = self.answer(&request);
            // The answer to a call that falls due in the silence is lost.
            if self.is_silent() {
                return swallow(reader);
            }
            let json = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        match request.path() {
            "/v1/rows-get" => {
                thread::sleep(ANSWER);
                ("200 OK", self.list(request))
            }
            "/v1/rows-feed" => ("200 OK", self.feed(request)),
            "/v1/rows-tx" => {
                thread::sleep(TRANSACTION);
                self.transact(request)
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn page(&self, inner: &Inner, rows: &[String]) -> String {
        let now_ms = self.started.elapsed().as_secs_f64() * 1_000.0 + 1_000_000.0;
        format!(
            r#"{{"rows":[{}],"ver":{},"nowMs":{now_ms:.3},"truncated":false}}"#,
            rows.join(","),
            inner.version
        )
    }

    fn list(&self, request: &Message) -> String {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit = request.query("limit").and_then(|limit| limit.parse().ok());
        let inner = self.inner.lock().expect("the rows");
        let rows = inner.rows.iter().filter(|row| {
            let (in_table, key) = row.0;
            *in_table == table && *key >= from && row.1.1.is_some()
        });
        let rows: Vec<String> = rows.map(text).take(limit.unwrap_or(500)).collect();
        self.page(&inner, &rows)
    }

    fn feed(&self, request: &Message) -> String {
        let table = request.query("table").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut inner = self.inner.lock().expect("the rows");
        loop {
            let rows = inner.rows.iter();
            let rows = rows.filter(|row| row.0.0 == table && row.1.0 > after);
            let mut rows: Vec<_> = rows.collect();
            rows.sort_by_key(|row| row.1.0);
            let rows: Vec<String> = rows.into_iter().map(text).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.page(&inner, &rows);
            }
            inner = self.changed.wait_timeout(inner, left).expect("the rows").0;
        }
    }

    fn transact(&self, request: &Message) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = parse(&body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let entries = |name: &str| {
            body.get(name)
                .map(|v| v.list().to_vec())
                .unwrap_or_default()
        };
        let key = |entry: &crate::json::Value| {
            let text = |name: &str| {
                entry
                    .get(name)
                    .and_then(|v| v.text())
                    .unwrap_or("")
                    .to_owned()
            };
            (text("table"), text("key"))
        };
        let mut inner = self.inner.lock().expect("the rows");
        for entry in entries("expectedRev") {
            let expected = entry.get("ver").and_then(|v| v.number()).unwrap_or(0.0) as u64;
            let known = inner.rows.get(&key(&entry)).filter(|row| row.1.is_some());
            if known.map_or(0, |row| row.0) != expected {
                let rows: Vec<String> = inner
                    .rows
                    .iter()
                    .filter(|row| *row.0 == key(&entry))
                    .map(text)
                    .collect();
                return ("412 Precondition Failed", self.page(&inner, &rows));
            }
        }
        inner.version += 1;
        let version = inner.version;
        for entry in entries("setKeys") {
            let value = entry.get("value").and_then(|v| v.text()).unwrap_or("");
            let value = from_base64(value);
            inner.rows.insert(key(&entry), (version, Some(value)));
        }
        for entry in entries("remove") {
            inner.rows.insert(key(&entry), (version, None));
        }
        self.changed.notify_all();
        ("200 OK", self.page(&inner, &[]))
    }
}

fn text(row: (&(String, String), &(u64, Option<Vec<u8>>))) -> String {
    let ((table, key), (version, value)) = row;
    let value = match value {
        Some(value) => format!(r#""value":"{}""#, to_base64(value)),
        None => r#""deleted":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},{value}}}"#)
}

/// Reads on without an answer until the other side closes the connection.
fn swallow(mut reader: BufReader<TcpStream>) {
    let mut buffer = [0; 1_024];
    while reader.read(&mut buffer).is_ok_and(|read| read > 0) {}
}
