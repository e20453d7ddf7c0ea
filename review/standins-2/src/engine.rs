//! An engine as a process of its own, which can be killed.

use crate::http::Message;
use crate::record::Record;
use crate::worker::Worker;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The events of each answer, and the time of one.
pub const EVENTS: u64 = 40;
const STEP: Duration = Duration::from_millis(100);

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its last chunk.
    Chunks,
    /// By the orderly end of its channel.
    Close,
}

impl Framing {
    fn word(self) -> &'static str {
        match self {
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

fn stream(
    worker: &Worker,
    request: &Message,
    stream: &mut TcpStream,
    framing: Framing,
) -> io::Result<()> {
    let id = request.header("x-request-id").unwrap_or("");
    let after = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok());
    let ends = match framing {
        Framing::Chunks => "Transfer-Encoding: chunked",
        Framing::Close => "Connection: close",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{ends}\r\nX-Request-Id: {id}\r\n\
         X-Server-Seal: s\r\nX-Instance-Id: {}\r\nX-Weight-Versions: 1\r\n\r\n",
        worker.id
    );
    stream.write_all(head.as_bytes())?;
    for event in after.unwrap_or(0) + 1..=EVENTS {
        thread::sleep(STEP);
        let text = format!("id: {event}\ndata: word {event} of {}\n\n", worker.software);
        let text = match framing {
            Framing::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
            Framing::Close => text,
        };
        stream.write_all(text.as_bytes())?;
    }
    match framing {
        Framing::Chunks => stream.write_all(b"0\r\n\r\n"),
        Framing::Close => stream.shutdown(Shutdown::Write),
    }
}

/// Runs an engine until the process is killed. Prints its rows, and each request that it runs.
pub fn run(words: &[String]) -> ! {
    let [id, service, zone, address, software, framing] = words else {
        panic!("an engine needs six words");
    };
    let framing = if framing == Framing::Close.word() {
        Framing::Close
    } else {
        Framing::Chunks
    };
    let record = Arc::new(Record::printing());
    let run = move |worker: &Worker, request: &Message, channel: &mut TcpStream| {
        stream(worker, request, channel, framing).is_ok() && framing == Framing::Chunks
    };
    let address = address.parse().expect("an address");
    let worker = Worker::start(
        (id, service, zone),
        address,
        (true, 24, software),
        &record,
        Box::new(run),
    );
    println!("{}", worker.row("ready"));
    println!("{}", worker.row("draining"));
    println!("{}", worker.address);
    loop {
        thread::park();
    }
}

/// What an engine is started as.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub software: &'a str,
    pub framing: Framing,
}

/// A running engine. Dropping it kills its process.
pub struct Engine {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub ready_row: String,
    pub draining_row: String,
    child: Child,
}

impl Engine {
    /// Starts the process of an engine. What it runs is noted in the record.
    pub fn start(spec: EngineSpec<'_>, address: SocketAddr, record: &Arc<Record>) -> Self {
        let program = std::env::current_exe().expect("this program");
        let words = ["engine", spec.id, spec.service, spec.zone];
        let mut child = Command::new(program)
            .args(words)
            .args([&address.to_string(), spec.software, spec.framing.word()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("an engine starts");
        let out = child.stdout.take().expect("its output");
        let mut lines = io::BufRead::lines(io::BufReader::new(out));
        let mut next = || lines.next().and_then(Result::ok).expect("a line");
        let (ready_row, draining_row) = (next(), next());
        let address = next().parse().expect("an address");
        let notes = Arc::clone(record);
        let software = spec.software.to_owned();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                notes.note(format!("{line} ({software})"));
            }
        });
        Self {
            id: spec.id.to_owned(),
            zone: spec.zone.to_owned(),
            address,
            ready_row,
            draining_row,
            child,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}
