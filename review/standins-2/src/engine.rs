//! An engine as a process of its own, which can be killed. It streams answers without a length or chunks, which end
//! with their channel.

use crate::http::Message;
use crate::record::Record;
use crate::worker::Worker;
use std::io::{self, Write};
use std::net::{IpAddr, Shutdown, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The events of each answer, and the time of one.
pub const EVENTS: u64 = 40;
const STEP: Duration = Duration::from_millis(100);

fn stream(worker: &Worker, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
    let id = request.header("x-request-id").unwrap_or("");
    let after = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok());
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: {id}\r\n\
         X-Server-Seal: s\r\nX-Instance-Id: {}\r\nX-Weight-Versions: 1\r\n\r\n",
        worker.id
    );
    stream.write_all(head.as_bytes())?;
    for event in after.unwrap_or(0) + 1..=EVENTS {
        thread::sleep(STEP);
        stream.write_all(format!("id: {event}\ndata: word {event}\n\n").as_bytes())?;
    }
    // The orderly end of the channel is that of the answer.
    stream.shutdown(Shutdown::Write)
}

/// Runs an engine until the process is killed. Prints its address, and each request that it runs.
pub fn run(id: &str, service: &str, zone: &str, ip: IpAddr) -> ! {
    let record = Arc::new(Record::printing());
    let run = |worker: &Worker, request: &Message, channel: &mut TcpStream| {
        let _ = stream(worker, request, channel);
        false
    };
    let worker = Worker::start((id, service, zone), ip, (true, 24), &record, Box::new(run));
    println!("{}", worker.row("ready"));
    println!("{}", worker.row("draining"));
    loop {
        thread::park();
    }
}

/// A running engine. Dropping it kills its process.
pub struct Engine {
    pub id: String,
    pub ready_row: String,
    pub draining_row: String,
    child: Child,
}

impl Engine {
    /// Starts the process of an engine. What it runs is noted in the record.
    pub fn start(id: &str, service: &str, zone: &str, ip: IpAddr, record: &Arc<Record>) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args(["engine", id, service, zone, &ip.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("an engine starts");
        let out = child.stdout.take().expect("its output");
        let mut lines = io::BufRead::lines(io::BufReader::new(out));
        let mut next = || lines.next().and_then(Result::ok).expect("a row");
        let (ready_row, draining_row) = (next(), next());
        let notes = Arc::clone(record);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                notes.note(line);
            }
        });
        Self {
            id: id.to_owned(),
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
