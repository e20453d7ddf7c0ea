//! A stand-in of the platform's store: rows with versions, long polls and conditional writes.

use {
    crate::http::{Channel, Message, response},
    base64::{Engine as _, prelude::BASE64_STANDARD},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Debug)]
struct Row {
    table: String,
    version: u64,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// While set, calls get no answer, and those that were made meanwhile never get one.
    pub is_silent: AtomicBool,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            is_silent: AtomicBool::new(false),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        store
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.request() {
            let was_silent = self.is_silent.load(Ordering::SeqCst);
            let answer = self.answer(&request);
            if was_silent || self.is_silent.load(Ordering::SeqCst) {
                // The channel goes silent and delivers nothing further.
                thread::sleep(Duration::from_secs(130));
                return;
            }
            // An answer takes the store about 4 ms.
            thread::sleep(Duration::from_millis(4));
            if channel.send(&answer).is_err() {
                return;
            }
        }
    }

    /// Writes or removes a row. Returns when the store has acknowledged it.
    pub fn write(&self, table: &str, key: &str, value: Option<&Value>) -> Instant {
        let mut rows = self.rows.lock().expect("rows");
        Self::set(
            &mut rows,
            table,
            key,
            value.map(|value| value.to_string().into_bytes()),
        );
        drop(rows);
        self.changed.notify_all();
        Instant::now()
    }

    fn set(rows: &mut Rows, table: &str, key: &str, value: Option<Vec<u8>>) {
        rows.version += 1;
        let row = Row {
            table: table.to_owned(),
            version: rows.version,
            value,
        };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn page(&self, rows: &Rows, found: &[Value]) -> Vec<u8> {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0);
        let body = json!({"rows": found, "truncated": false, "ver": rows.version, "nowMs": now_ms});
        json_response(200, &body)
    }

    fn select(rows: &Rows, table: &str, after: u64, with_removed: bool) -> Vec<Value> {
        let mut found: Vec<(&(String, String), &Row)> = rows
            .rows
            .iter()
            .filter(|(_, row)| row.table == table && row.version > after)
            .filter(|(_, row)| with_removed || row.value.is_some())
            .collect();
        if with_removed {
            found.sort_by_key(|(_, row)| row.version);
        }
        found
            .into_iter()
            .map(|((_, key), row)| match &row.value {
                Some(value) => json!({"table": table, "part": "", "key": key, "ver": row.version,
                    "value": BASE64_STANDARD.encode(value)}),
                None => json!({"table": table, "part": "", "key": key, "ver": row.version,
                    "deleted": true}),
            })
            .collect()
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|pair| pair.0 == name)
                .map_or(String::new(), |pair| pair.1.to_owned())
        };
        let table = parameter("table");
        match path {
            "/v1/rows-get" => {
                let rows = self.rows.lock().expect("rows");
                let from = parameter("from");
                let mut found = Self::select(&rows, &table, 0, false);
                found.retain(|row| row["key"].as_str().unwrap_or("") >= from.as_str());
                if let Ok(limit) = parameter("limit").parse() {
                    found.truncate(limit);
                }
                self.page(&rows, &found)
            }
            "/v1/rows-feed" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.rows.lock().expect("rows");
                loop {
                    let found = Self::select(&rows, &table, after, true);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return self.page(&rows, &found);
                    }
                    rows = self.changed.wait_timeout(rows, left).expect("rows").0;
                }
            }
            "/v1/rows-tx" => self.transact(&request.body),
            _ => json_response(404, &json!({})),
        }
    }

    fn transact(&self, body: &[u8]) -> Vec<u8> {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return json_response(400, &json!({}));
        };
        let none = Vec::new();
        let list = |name: &str| transaction[name].as_array().unwrap_or(&none).clone();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or("").to_owned();
        let mut rows = self.rows.lock().expect("rows");
        for row in list("expectedRev") {
            let key = (text(&row, "table"), text(&row, "key"));
            let live = rows.rows.get(&key).filter(|row| row.value.is_some());
            if Some(live.map_or(0, |row| row.version)) != row["ver"].as_u64() {
                return json_response(412, &json!({"rows": []}));
            }
        }
        for row in list("setKeys") {
            let value = BASE64_STANDARD
                .decode(text(&row, "value"))
                .unwrap_or_default();
            Self::set(
                &mut rows,
                &text(&row, "table"),
                &text(&row, "key"),
                Some(value),
            );
        }
        for row in list("remove") {
            Self::set(&mut rows, &text(&row, "table"), &text(&row, "key"), None);
        }
        let page = self.page(&rows, &[]);
        drop(rows);
        self.changed.notify_all();
        page
    }
}

fn json_response(status: u16, body: &Value) -> Vec<u8> {
    response(
        status,
        &[("Content-Type", "application/json")],
        body.to_string().as_bytes(),
    )
}
