//! A few servers with queues, two gateways and callers that come back once, in steps of a millisecond.

use {
    cactusspur_core::{
        DurationMs, TimeMs, Tokens, WorkerId,
        gateway::{
            Applicant, AwaitedId, Decision, Outlook, Overload, rendezvous_score, retry_after,
        },
    },
    std::ops::Range,
};

const GATEWAYS: u64 = 2;
const START: TimeMs = TimeMs(1_000_000);

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub route: &'static str,
    pub priority: u8,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub work_ms: u64,
}

/// Requests of one kind at a mean rate, at most 1,000 a second.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub kind: Kind,
    pub customer: &'static str,
    pub per_second: u64,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// A request of a caller, with what became of it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub kind: Kind,
    pub customer: &'static str,
    arrived_ms: u64,
    has_returned: bool,
    first_token_ms: Option<u64>,
}

struct Job {
    row: usize,
    gateway: usize,
    priority: u8,
    left: u64,
    awaited: Option<AwaitedId>,
}

pub struct Model {
    servers: Vec<Vec<Job>>,
    pub slowness_percent: u64,
    pub lost_from_ms: Option<u64>,
    pub restart_at_ms: Option<u64>,
    pub repeats_at_once: bool,
    decides: bool,
    gateways: Vec<Overload>,
    requests: Vec<Request>,
    returns: Vec<(u64, usize)>,
    refusals: usize,
}

pub struct Results {
    requests: Vec<Request>,
    pub refusals: usize,
}

impl Model {
    pub fn new(servers: usize) -> Self {
        Self {
            servers: (0..servers).map(|_| Vec::new()).collect(),
            slowness_percent: 100,
            lost_from_ms: None,
            restart_at_ms: None,
            repeats_at_once: false,
            decides: true,
            gateways: (0..GATEWAYS).map(|_| Overload::default()).collect(),
            requests: Vec::new(),
            returns: Vec::new(),
            refusals: 0,
        }
    }

    pub fn without_decision(mut self) -> Self {
        self.decides = false;
        self
    }

    pub fn run(mut self, load: &[Traffic]) -> Results {
        let end_ms = load.iter().map(|traffic| traffic.to_ms).max().unwrap_or(0);
        for at_ms in 0..end_ms + 10_000 {
            if self.restart_at_ms == Some(at_ms) {
                self.gateways = (0..GATEWAYS).map(|_| Overload::default()).collect();
            }
            if self.lost_from_ms == Some(at_ms) {
                let half = self.servers.len() / 2;
                self.servers.truncate(half);
            }
            for (number, traffic) in load.iter().enumerate() {
                let draw = rendezvous_score(at_ms, WorkerId(number as u64)) % 1_000;
                let is_on = (traffic.from_ms..traffic.to_ms).contains(&at_ms);
                if is_on && draw < traffic.per_second {
                    self.requests.push(Request {
                        kind: traffic.kind,
                        customer: traffic.customer,
                        arrived_ms: at_ms,
                        has_returned: false,
                        first_token_ms: None,
                    });
                    self.arrive(self.requests.len() - 1, at_ms);
                }
            }
            let (due, later) = self.returns.drain(..).partition(|row| row.0 <= at_ms);
            self.returns = later;
            let due: Vec<(u64, usize)> = due;
            for (_, row) in due {
                self.arrive(row, at_ms);
            }
            self.work(at_ms);
        }
        Results {
            requests: self.requests,
            refusals: self.refusals,
        }
    }

    fn arrive(&mut self, row: usize, at_ms: u64) {
        let request = self.requests[row];
        let kind = request.kind;
        let now = START.after(DurationMs(at_ms));
        let random = rendezvous_score(row as u64, WorkerId(at_ms));
        let gateway = usize::try_from((random >> 32) % GATEWAYS).expect("a gateway");
        let queue = |server: &Vec<Job>| {
            let first = server.iter().filter(|job| job.priority < 9);
            first.map(|job| job.left).sum::<u64>() / 100
        };
        let queues = self.servers.iter().map(queue).enumerate();
        let (server, queue_ms) = queues.min_by_key(|row| row.1).expect("a server");
        let remaining_ms =
            DurationMs((request.arrived_ms + kind.deadline_ms).saturating_sub(at_ms));
        let applicant = Applicant {
            service: "engines",
            route: kind.route,
            customer: request.customer,
            priority: kind.priority,
            work: Tokens(kind.work_ms),
            target_ms: DurationMs(kind.target_ms),
            waited_ms: DurationMs(0),
            caller_wait_ms: remaining_ms,
            remaining_ms,
            takes_up_stream: false,
            has_priorities: true,
        };
        let outlook = Outlook {
            first_token_ms: DurationMs(queue_ms + kind.work_ms),
            queue_ms: DurationMs(queue_ms),
            has_backlog: self.servers[server].len() > 1,
        };
        let overload = &mut self.gateways[gateway];
        let decision = if self.decides {
            overload.decide(&applicant, &outlook, now)
        } else {
            Decision::Send
        };
        let priority = match decision {
            Decision::Send => kind.priority,
            Decision::SendLast => 9,
            Decision::Refuse { wait_ms, .. } => {
                self.refusals += 1;
                if !std::mem::replace(&mut self.requests[row].has_returned, true) {
                    let wait_ms = retry_after(wait_ms, remaining_ms, random >> 7).0;
                    let wait_ms = if self.repeats_at_once { 1 } else { wait_ms };
                    self.returns.push((at_ms + wait_ms, row));
                }
                return;
            }
        };
        let predicted_ms = (priority < 9).then_some(outlook.first_token_ms);
        let awaited = overload.record_sent("engines", kind.route, predicted_ms, now);
        self.servers[server].push(Job {
            row,
            gateway,
            priority,
            left: kind.work_ms * 100,
            awaited,
        });
    }

    /// Each server works on its first request; the most urgent one is next.
    fn work(&mut self, at_ms: u64) {
        let now = START.after(DurationMs(at_ms));
        for server in &mut self.servers {
            let requests = &self.requests;
            let in_time = |job: &Job| {
                let request = &requests[job.row];
                at_ms < request.arrived_ms + request.kind.deadline_ms
            };
            server.retain(in_time);
            let Some(job) = server.first_mut() else {
                continue;
            };
            job.left = job.left.saturating_sub(10_000 / self.slowness_percent);
            if job.left > 0 {
                continue;
            }
            let job = server.remove(0);
            let request = &mut self.requests[job.row];
            request.first_token_ms = Some(at_ms - request.arrived_ms);
            if let Some(id) = job.awaited {
                self.gateways[job.gateway].record_ended(
                    "engines",
                    request.kind.route,
                    id,
                    true,
                    now,
                );
            }
            server.sort_by_key(|job| job.priority);
        }
    }
}

impl Results {
    /// The share of the requests that arrived within a time and were answered within their target.
    pub fn in_time_percent<F>(&self, arrived: Range<u64>, filter: F) -> usize
    where
        F: Fn(&Request) -> bool,
    {
        self.percent(arrived, filter, |request| request.kind.target_ms)
    }

    /// The share of the requests that arrived within a time and were answered at all.
    pub fn served_percent<F>(&self, arrived: Range<u64>, filter: F) -> usize
    where
        F: Fn(&Request) -> bool,
    {
        self.percent(arrived, filter, |request| request.kind.deadline_ms)
    }

    fn percent<F>(&self, arrived: Range<u64>, filter: F, limit_ms: fn(&Request) -> u64) -> usize
    where
        F: Fn(&Request) -> bool,
    {
        let requests = self.requests.iter();
        let all: Vec<&Request> = requests
            .filter(|request| arrived.contains(&request.arrived_ms) && filter(request))
            .collect();
        let is_served = |request: &&&Request| {
            let at_ms = request.first_token_ms;
            at_ms.is_some_and(|at_ms| at_ms <= limit_ms(request))
        };
        all.iter().filter(is_served).count() * 100 / all.len().max(1)
    }
}
