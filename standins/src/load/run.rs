//! Runs of the tool: each policy in turn on a fresh cluster, several times over.

use {
    crate::load::{
        call::{Intended, REQUEST_TIMEOUT},
        cluster::{Cluster, ClusterError, ClusterPlan},
        engine_shape::EngineShape,
        measure::{Lapsed, Observed, RunRecord},
        number::{float, micros_of},
        outcome::{End, Outcome},
        policy::Policy,
        report::{Report as LoadReport, hit_rate},
        scenario::{LAPSE_AT, OVERLOAD_FACTOR, Scenario, Step},
        schedule::{Plan, Schedule},
        sender::{Addresses, Sender},
        unbounded::{PromptTokens, unbounded},
        workload::{Workload, part_of},
    },
    cactusspur_core::MicroCredits,
    error_stack::Report,
    std::{
        path::PathBuf,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// What is run.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Whose traffic.
    pub workload: Workload,
    /// Under which circumstances.
    pub scenario: Scenario,
    /// The policies, in the order in which they take turns.
    pub policies: Vec<Policy>,
    /// How often each is run.
    pub repeats: u32,
    /// The seed of the schedule.
    pub seed: u64,
    /// How long requests are sent that are counted.
    pub duration: Duration,
    /// How long requests are sent before, to fill the engines' caches.
    pub warm_up: Duration,
    /// Chats a second in place of the workload's own rate.
    pub rate_per_s: Option<f64>,
    /// Entry VMs.
    pub entry_vms: usize,
    /// The daemon of [`Policy::Earlier`].
    pub earlier: Option<PathBuf>,
}

/// The credits of all customers that lapse, in microcredits a second of the run.
const LAPSING_MICROCREDITS_PER_S: u64 = 25_000;
/// How long after a cluster is up the first request is sent.
const START_AFTER: Duration = Duration::from_millis(300);

struct Prepared {
    schedule: Schedule,
    unbounded: Vec<PromptTokens>,
    rate_per_s: f64,
    capacity_per_s: f64,
}

impl Experiment {
    fn prepare(&self) -> Prepared {
        let steady = self
            .rate_per_s
            .unwrap_or(f64::from(self.workload.steady_rate()));
        let shape = EngineShape::of(self.workload);
        let schedule = self.schedule(steady);
        let tokens = unbounded(&schedule);
        let capacity_per_s = shape.capacity_per_s(&schedule, &tokens);
        if self.scenario != Scenario::Overload || self.rate_per_s.is_some() {
            return Prepared {
                schedule,
                unbounded: tokens,
                rate_per_s: steady,
                capacity_per_s,
            };
        }
        let rate_per_s = capacity_per_s * OVERLOAD_FACTOR;
        let schedule = self.schedule(rate_per_s);
        let tokens = unbounded(&schedule);
        Prepared {
            schedule,
            unbounded: tokens,
            rate_per_s,
            capacity_per_s,
        }
    }

    fn schedule(&self, rate_per_s: f64) -> Schedule {
        Schedule::of(&Plan {
            workload: self.workload,
            seed: self.seed,
            duration: self.duration,
            warm_up: self.warm_up,
            rate_per_s,
            hot_prefix_moves: self.scenario.hot_prefix_moves(),
        })
    }

    /// Runs all of it. `progress` is told of each run.
    ///
    /// # Errors
    /// When a cluster can't be brought up.
    pub async fn run<P>(&self, mut progress: P) -> Result<LoadReport, Report<ClusterError>>
    where
        P: FnMut(&RunRecord),
    {
        let prepared = self.prepare();
        let mut runs = Vec::new();
        for repeat in 0..self.repeats {
            for policy in &self.policies {
                let record = self.run_once(&prepared, *policy, repeat).await?;
                progress(&record);
                runs.push(record);
            }
        }
        let report = LoadReport {
            workload: self.workload,
            scenario: self.scenario,
            seed: self.seed,
            seconds: self.duration.as_secs(),
            warm_up_seconds: self.warm_up.as_secs(),
            rate_per_s: prepared.rate_per_s,
            capacity_per_s: prepared.capacity_per_s,
            entry_vms: self.entry_vms,
            unbounded_hit_rate: hit_rate(&prepared.unbounded),
            runs,
            medians: Vec::new(),
        };
        Ok(report.with_medians())
    }

    fn cluster_plan(&self, policy: Policy) -> ClusterPlan {
        let lapsing = (self.scenario == Scenario::CreditsNearLapse).then(|| {
            let amount = LAPSING_MICROCREDITS_PER_S * (self.warm_up + self.duration).as_secs();
            let after = self.warm_up + self.duration.mul_f64(LAPSE_AT);
            (MicroCredits(amount), after)
        });
        let entry_vms = if policy.uses_entries() {
            self.entry_vms
        } else {
            0
        };
        ClusterPlan {
            workload: self.workload,
            entry_vms,
            lapsing,
        }
    }

    async fn run_once(
        &self,
        prepared: &Prepared,
        policy: Policy,
        repeat: u32,
    ) -> Result<RunRecord, Report<ClusterError>> {
        let plan = self.cluster_plan(policy);
        let mut cluster = match &self.earlier {
            Some(daemon) if policy == Policy::Earlier => {
                Cluster::spawn_with(&plan, daemon.clone()).await?
            }
            _ => Cluster::spawn(&plan).await?,
        };
        let addresses = Addresses {
            entries: cluster.entry_addresses(),
            engines: cluster.engine_addresses(),
            services: cluster.service_addresses(),
        };
        let run_id = self.seed ^ u64::from(repeat) << 32;
        let client = cluster.client().clone();
        let sender = Rc::new(Sender::open(
            client,
            self.workload,
            policy,
            addresses,
            run_id,
        ));
        let started = Instant::now() + START_AFTER;
        let steps = self.scenario.steps(self.duration);
        let counted_from = started + self.warm_up;
        let playing = play(&prepared.schedule, &sender, started);
        let (outcomes, acted) =
            futures::join!(playing, follow_steps(&mut cluster, &steps, counted_from));
        acted?;
        let observed = Observed {
            schedule: &prepared.schedule,
            unbounded: &prepared.unbounded,
            outcomes: &outcomes,
            counted_from_us: micros_of(self.warm_up),
            fault_at: self.scenario.fault_at(self.duration),
        };
        let mut record = observed.record(policy, repeat);
        record.engines = cluster.engine_totals().await;
        if policy.uses_entries() {
            record.lapsed = self.lapsed(&cluster, &plan, &observed).await;
        }
        Ok(record)
    }

    async fn lapsed(
        &self,
        cluster: &Cluster,
        plan: &ClusterPlan,
        observed: &Observed<'_>,
    ) -> Option<Lapsed> {
        let (amount, after) = plan.lapsing?;
        let drawn_microcredits = cluster.lapsing_drawn().await?;
        let spent = observed.spent_before(micros_of(after));
        let granted = self
            .workload
            .customers()
            .iter()
            .map(|customer| part_of(amount.0, customer.share));
        let mut lapsed = Lapsed {
            drawn_microcredits,
            ..Lapsed::default()
        };
        for (granted, spent) in granted.zip(spent) {
            lapsed.granted_microcredits += granted;
            lapsed.unused_microcredits += granted.saturating_sub(spent);
        }
        Some(lapsed)
    }
}

async fn follow_steps(
    cluster: &mut Cluster,
    steps: &[Step],
    started: Instant,
) -> Result<(), Report<ClusterError>> {
    for step in steps {
        tokio::time::sleep_until((started + step.at).into()).await;
        cluster.act(&step.action).await?;
    }
    Ok(())
}

/// Sends each request at its time, whatever has become of the earlier ones.
pub async fn play(schedule: &Schedule, sender: &Rc<Sender>, started: Instant) -> Vec<Outcome> {
    let follower = sender.clone();
    let following = ntex::rt::spawn(async move { follower.follow().await });
    let mut running = Vec::with_capacity(schedule.requests.len());
    for request in &schedule.requests {
        let intended = Intended(started + Duration::from_micros(request.at_us));
        tokio::time::sleep_until(intended.0.into()).await;
        let (sender, request) = (sender.clone(), request.clone());
        running.push(ntex::rt::spawn(async move {
            sender.send(&request, intended).await
        }));
    }
    let mut outcomes = Vec::with_capacity(running.len());
    for task in running {
        outcomes.push(task.await.unwrap_or_else(|_| lost()));
    }
    following.cancel();
    outcomes
}

fn lost() -> Outcome {
    Outcome::without_answer(End::Failed {
        what: "lost by the tool".to_owned(),
    })
}

/// The longest time that an experiment can take once its clusters are up, in seconds.
#[must_use]
pub fn longest_s(experiment: &Experiment) -> f64 {
    let runs = experiment.policies.len() as u64 * u64::from(experiment.repeats);
    float(runs)
        * (experiment.warm_up + experiment.duration + REQUEST_TIMEOUT + START_AFTER).as_secs_f64()
}
