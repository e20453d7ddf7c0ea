//! Sending requests to entry VMs as a balancer spreads them, or to engines by a baseline.

use {
    crate::load::{
        call::{BETWEEN_TRIES, Direct, Intended, REQUEST_TIMEOUT, Try, to_entry, to_worker},
        outcome::{End, Outcome},
        policy::{Chooser, EngineLoad, Policy},
        schedule::Planned,
        workload::Workload,
    },
    cactusspur_core::AttemptId,
    ntex::client::Client,
    serde_json::Value,
    std::{cell::Cell, time::Duration},
};

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
            match self.policy {
                Policy::Cactusspur => self.by_entries(request, intended, turn).await,
                _ => self.by_workers(request, intended, turn).await,
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
        for entry in 0..self.entries.len().min(MAX_TRIES) {
            let address = &self.entries[(turn + entry) % self.entries.len()];
            match to_entry(&self.client, address, self.workload, request, intended).await {
                Try::Ended(outcome) => return outcome,
                Try::Elsewhere(other) => end = other,
            }
            tokio::time::sleep(BETWEEN_TRIES).await;
        }
        Outcome::without_answer(end)
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

    /// Asks each engine for its load in turn, until it is dropped.
    pub async fn follow_loads(&self) {
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

fn no_address() -> End {
    End::Failed {
        what: "no address".to_owned(),
    }
}
