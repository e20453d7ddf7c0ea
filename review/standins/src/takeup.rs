//! Callers of resumable streams, which take up at another node what broke off, and the platform's
//! balancer.

use {
    crate::{
        http::{Channel, exchange, request},
        record::Record,
        setup::{KEY, model_request, new_id},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// The first three are the seeds.
pub const MEMBERS: [(&str, &str); 6] = [
    ("front-nvale-a-1", "nvale-a"),
    ("front-nvale-b-1", "nvale-b"),
    ("front-nvale-c-1", "nvale-c"),
    ("front-nvale-a-2", "nvale-a"),
    ("front-nvale-b-2", "nvale-b"),
    ("front-nvale-b-3", "nvale-b"),
];
pub const EVENTS: u64 = 30;
/// How long a caller waits for a node that doesn't read its request.
const PATIENCE: Duration = Duration::from_secs(1);

/// The platform's balancer: asks each node once a second whether it is ready. After two misses a node gets
/// no new channels until it answers 200 again.
pub struct Entry {
    misses: Vec<AtomicUsize>,
    answers: Vec<AtomicUsize>,
}

impl Entry {
    pub fn start(ready: &[SocketAddr], record: &Arc<Record>) -> Arc<Self> {
        let zeros = || ready.iter().map(|_| AtomicUsize::new(0)).collect();
        let entry = Arc::new(Self {
            misses: zeros(),
            answers: zeros(),
        });
        for (index, address) in ready.iter().copied().enumerate() {
            let (entry, record) = (Arc::clone(&entry), Arc::clone(record));
            thread::spawn(move || {
                loop {
                    let began = Instant::now();
                    let bytes = request("GET", "/v1/readiness", &[("Host", "ready")], b"");
                    if crate::call(address, &bytes, Duration::from_secs(1)).status() == 200 {
                        entry.answers[index].fetch_add(1, Ordering::SeqCst);
                        entry.misses[index].store(0, Ordering::SeqCst);
                    } else if entry.misses[index].fetch_add(1, Ordering::SeqCst) == 1 {
                        record.log(&format!("{} is out of rotation", MEMBERS[index].0));
                    }
                    thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
                }
            });
        }
        entry
    }

    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.misses[index].load(Ordering::SeqCst) < 2
    }

    /// Waits until a node has just answered.
    pub fn wait_for_answer(&self, index: usize) {
        let before = self.answers[index].load(Ordering::SeqCst);
        while self.answers[index].load(Ordering::SeqCst) == before {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn pieces(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let events = whole.split("\n\n").filter(|event| event.contains("data: "));
    events.map(str::to_owned).collect()
}

fn number(piece: &str) -> u64 {
    let line = piece.lines().find_map(|line| line.strip_prefix("id: "));
    line.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// One stream of a caller: its pieces, in the order in which they came.
pub struct Story {
    id: String,
    pieces: Vec<String>,
    is_complete: bool,
    is_taken_up: bool,
}

/// Sends a design check and, if its channel breaks, takes it up once at the zone's other node.
fn check(world: &World, node: usize, serial: usize) -> Story {
    let World {
        record,
        entry,
        fronts,
    } = world;
    let front = fronts[node];
    let until = Instant::now() + Duration::from_millis(6_000);
    let prefix = format!(
        "5c1e07a2:2520,91bd3f{:02x}:3780,e4{serial:06x}:2890",
        serial % 118
    );
    let body = vec![b'p'; 18_000];
    let mut story = Story {
        id: new_id(),
        pieces: Vec::new(),
        is_complete: false,
        is_taken_up: false,
    };
    let bytes = model_request(
        "/rulecheck/1",
        &story.id,
        6_000,
        "9190,30",
        &prefix,
        KEY,
        &[],
        &body,
    );
    let Ok(mut channel) = Channel::open(front) else {
        return story;
    };
    record.log(&format!("{} sent", story.id));
    let answer = exchange(
        &mut channel,
        &bytes,
        Duration::from_millis(6_000),
        &mut |_| (),
    );
    if let Some(message) = answer.message.as_ref().filter(|row| row.status() == 200) {
        story.pieces = pieces(&message.body);
        story.is_complete = message.is_complete;
    }
    if story.is_complete || story.pieces.is_empty() {
        return story;
    }
    // The channel broke after some events: the caller takes the stream up.
    let last = number(&story.pieces[story.pieces.len() - 1]).to_string();
    let left_ms = u64::try_from(until.saturating_duration_since(Instant::now()).as_millis());
    let (id, left_ms) = (new_id(), left_ms.unwrap_or(0));
    let zone = MEMBERS[node].1;
    let mut others = (0..MEMBERS.len()).filter(|other| *other != node && MEMBERS[*other].1 == zone);
    let Some(other) = others.find(|other| entry.is_in_rotation(*other)) else {
        record.log(&format!(
            "{} broke after event {last}, and no other node is in rotation",
            story.id
        ));
        return story;
    };
    let more = [("Last-Event-Id", &*last)];
    let bytes = model_request(
        "/rulecheck/1",
        &id,
        left_ms,
        "9190,30",
        &prefix,
        KEY,
        &more,
        &body,
    );
    record.log(&format!(
        "{} broke after event {last} and is taken up as {id} at {}",
        story.id, MEMBERS[other].0
    ));
    let Ok(mut channel) = Channel::open(fronts[other]) else {
        return story;
    };
    let sent = Instant::now();
    let mut first = None;
    let limit = Duration::from_millis(left_ms);
    let answer = exchange(&mut channel, &bytes, limit, &mut |_| {
        first.get_or_insert_with(|| sent.elapsed());
    });
    if first.is_some_and(|first| first > PATIENCE + Duration::from_millis(200)) {
        record.log(&format!("{id} would have been given up"));
        return story;
    }
    record.log(&format!("{id} is answered: {}", answer.describe()));
    if let Some(message) = answer.message.as_ref().filter(|row| row.status() == 200) {
        story.is_taken_up = true;
        story.pieces.extend(pieces(&message.body));
        story.is_complete = message.is_complete;
    }
    story
}

pub struct World {
    pub record: Arc<Record>,
    pub entry: Arc<Entry>,
    pub fronts: Vec<SocketAddr>,
}

/// Callers, each with about one request a second, at these nodes in turn.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    stories: Arc<Mutex<Vec<Story>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(world: &Arc<World>, nodes: &[usize], count: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let stories = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|caller| {
            let (world, is_over, stories) = (
                Arc::clone(world),
                Arc::clone(&is_over),
                Arc::clone(&stories),
            );
            let node = nodes[caller % nodes.len()];
            thread::spawn(move || {
                let mut serial = caller * 10_000;
                thread::sleep(Duration::from_secs(1) * u32::try_from(caller).unwrap_or(0) / 60);
                while !is_over.load(Ordering::SeqCst) {
                    serial += 1;
                    let story = check(&world, node, serial);
                    stories.lock().expect("stories").push(story);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        });
        let threads = threads.collect();
        Self {
            is_over,
            stories,
            threads,
        }
    }

    /// Ends the callers. Returns how many streams ended as complete with text of several versions.
    pub fn end(self, record: &Record) -> Result<usize, String> {
        self.is_over.store(true, Ordering::SeqCst);
        for caller in self.threads {
            caller.join().map_err(|_| "a caller failed".to_owned())?;
        }
        let stories = self.stories.lock().expect("stories");
        let mut joined = 0;
        for story in stories.iter().filter(|story| story.is_complete) {
            let mut versions: Vec<&str> = story
                .pieces
                .iter()
                .filter_map(|piece| piece.rsplit_once(" by ").map(|row| row.1))
                .collect();
            versions.dedup();
            if versions.len() > 1 {
                joined += 1;
                record.tell(&format!(
                    "{} ended as complete, with text of {versions:?}",
                    story.id
                ));
            }
        }
        let taken_up = stories.iter().filter(|story| story.is_taken_up).count();
        record.tell(&format!(
            "streams: {}, taken up with 200: {taken_up}, joined from two versions: {joined}",
            stories.len()
        ));
        Ok(joined)
    }
}
