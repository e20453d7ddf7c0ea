//! Sending requests to entry VMs as a balancer spreads them, or to engines by a baseline.

use {
    crate::load::{
        call::{
            BETWEEN_TRIES, Direct, Intended, REQUEST_TIMEOUT, Try, open_client, to_entry, to_worker,
        },
        outcome::{End, Outcome},
        policy::{Chooser, EngineLoad, Policy},
        schedule::Planned,
        workload::Workload,
    },
    cactusspur_core::AttemptId,
    ntex::client::Client,
    serde_json::Value,
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
};

/// How often the balancer checks entry VMs.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
/// How long the balancer waits for an entry VM's answer.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a baseline asks engines for their load.
pub const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Addresses that one request is sent to at the most.
const MAX_TRIES: usize = 3;

/// Sends the requests of one run.
#[derive(Debug)]
pub struct Sender {
    client: Client,
    workload: Workload,
    policy: Policy,
    entries: Vec<String>,
    engines: Vec<String>,
    services: Vec<String>,
    chooser: Chooser,
    healthy: RefCell<Vec<bool>>,
    sent: Cell<usize>,
    attempts: Cell<u64>,
    run_id: u64,
}

/// Where requests may be sent.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    /// Entry VMs.
    pub entries: Vec<String>,
    /// Engines.
    pub engines: Vec<String>,
    /// Plain services.
    pub services: Vec<String>,
}

impl Sender {
    /// A sender of a policy. Runs with different `run_id` have different attempt ids.
    #[must_use]
    pub fn open(
        client: Client,
        workload: Workload,
        policy: Policy,
        addresses: Addresses,
        run_id: u64,
    ) -> Self {
        let Addresses {
            entries,
            engines,
            services,
        } = addresses;
        Self {
            client,
            workload,
            policy,
            chooser: Chooser::open(policy, engines.len()),
            healthy: RefCell::new(vec![true; entries.len()]),
            entries,
            engines,
            services,
            sent: Cell::new(0),
            attempts: Cell::new(0),
            run_id,
        }
    }

    /// Sends a request and follows it to its end.
    pub async fn send(&self, request: &Planned, intended: Intended) -> Outcome {
        let turn = self.sent.get();
        self.sent.set(turn + 1);
        let trying = async {
            if self.policy.uses_entries() {
                self.by_entries(request, intended, turn).await
            } else {
                self.by_workers(request, intended, turn).await
            }
        };
        tokio::time::timeout(REQUEST_TIMEOUT, trying)
            .await
            .unwrap_or_else(|_| {
                Outcome::without_answer(End::Failed {
                    what: "timed out".to_owned(),
                })
            })
    }

    async fn by_entries(&self, request: &Planned, intended: Intended, turn: usize) -> Outcome {
        let mut end = no_address();
        for position in self.healthy_entries(turn).into_iter().take(MAX_TRIES) {
            let address = &self.entries[position];
            match to_entry(&self.client, address, self.workload, request, intended).await {
                Try::Ended(outcome) => return outcome,
                Try::Elsewhere(other) => end = other,
            }
            tokio::time::sleep(BETWEEN_TRIES).await;
        }
        Outcome::without_answer(end)
    }

    /// The entry VMs that answered their last health check, or all when none did.
    fn healthy_entries(&self, turn: usize) -> Vec<usize> {
        let count = self.entries.len();
        let in_turn = (0..count).map(|entry| (turn + entry) % count);
        let healthy = self.healthy.borrow();
        let answered: Vec<usize> = in_turn.clone().filter(|entry| healthy[*entry]).collect();
        if answered.is_empty() {
            return in_turn.collect();
        }
        answered
    }

    async fn by_workers(&self, request: &Planned, intended: Intended, turn: usize) -> Outcome {
        let class = self.workload.classes()[request.class];
        let tries = if class.idempotent { MAX_TRIES } else { 1 };
        let mut failed = Vec::new();
        let mut end = no_address();
        while failed.len() < tries {
            let Some((position, address)) = self.worker(request, &failed, turn) else {
                break;
            };
            let direct = self.direct(class.first_token_target_ms);
            let workload = self.workload;
            match to_worker(&self.client, address, workload, request, direct, intended).await {
                Try::Ended(outcome) => return outcome,
                Try::Elsewhere(other) => end = other,
            }
            failed.push(position);
        }
        Outcome::without_answer(end)
    }

    fn worker(&self, request: &Planned, failed: &[usize], turn: usize) -> Option<(usize, &String)> {
        if self.workload.classes()[request.class].service.is_some() {
            let position = (turn + failed.len()) % self.services.len();
            return Some((position, &self.services[position]));
        }
        let position = self.chooser.choose(request, failed)?;
        Some((position, &self.engines[position]))
    }

    /// Baselines give the shorter target the sooner turn, as an engine's plain user would.
    fn direct(&self, first_token_target_ms: u64) -> Direct {
        let attempt = self.attempts.get();
        self.attempts.set(attempt + 1);
        Direct {
            attempt: AttemptId(u128::from(self.run_id) << 64 | u128::from(attempt)),
            priority: u32::try_from(first_token_target_ms).unwrap_or(u32::MAX),
        }
    }

    /// Follows the state of what is sent to, until it is dropped: entry VMs' health as a balancer
    /// does, engines' load where the policy wants it.
    pub async fn follow(&self) {
        futures::join!(self.follow_health(), self.follow_loads());
    }

    async fn follow_health(&self) {
        while !self.entries.is_empty() {
            let checks = self.entries.iter().map(|address| is_healthy(address));
            let healthy = futures::future::join_all(checks).await;
            self.healthy.replace(healthy);
            tokio::time::sleep(HEALTH_INTERVAL).await;
        }
    }

    async fn follow_loads(&self) {
        if !self.chooser.wants_loads() {
            return;
        }
        loop {
            let asked = self.engines.iter().map(|address| self.load(address));
            let loads = futures::future::join_all(asked).await;
            for (engine, load) in loads.into_iter().enumerate() {
                if let Some(load) = load {
                    self.chooser.report(engine, load);
                }
            }
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    }

    async fn load(&self, address: &str) -> Option<EngineLoad> {
        let asked = async {
            let url = format!("http://{address}/v1/load");
            let response = self.client.get(url).send().await.ok()?;
            let body = response.body().await.ok()?;
            serde_json::from_slice::<Value>(&body).ok()
        };
        let report = tokio::time::timeout(LOAD_INTERVAL, asked).await.ok()??;
        Some(EngineLoad {
            running: report["running"].as_u64()?,
            queued_tokens: report["queued_tokens"].as_u64()?,
        })
    }
}

/// Whether something at the address answers HTTP on a new connection, whatever it says.
async fn is_healthy(address: &str) -> bool {
    let asked = async {
        let client = open_client().await.ok()?;
        let url = format!("http://{address}/v1/models");
        client.get(url).force_close().send().await.ok()
    };
    let answered = tokio::time::timeout(HEALTH_TIMEOUT, asked).await;
    answered.is_ok_and(|response| response.is_some())
}

fn no_address() -> End {
    End::Failed {
        what: "no address".to_owned(),
    }
}
