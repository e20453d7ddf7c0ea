//! The entry VM's own share of the first token when all is idle.
//!
//! One short request at a time is sent to an engine directly and through an entry VM in turn.

use {
    crate::load::{
        call::Intended,
        cluster::{Cluster, ClusterError, ClusterPlan},
        measure::{Percentiles, histogram},
        outcome::Outcome,
        policy::Policy,
        schedule::Planned,
        sender::{Addresses, Sender},
        text,
        workload::Workload,
    },
    derive_more::Display,
    error_stack::Report,
    std::time::Instant,
};

const PAIRS: usize = 300;
const WARM_UP_PAIRS: usize = 30;
const QUESTION_BYTES: usize = 120;
const ANSWER_TOKENS: u64 = 2;

/// First tokens at rest.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
#[display(
    "first token at rest over {pairs} pairs: direct p50 {:.3} p99 {:.3} ms, through an entry VM \
     p50 {:.3} p99 {:.3} ms, its share p50 {:.3} p99 {:.3} ms",
    direct.p50_ms, direct.p99_ms, entry.p50_ms, entry.p99_ms, self.share_p50_ms(),
    self.share_p99_ms()
)]
pub struct RestReport {
    /// How many requests were sent each way.
    pub pairs: usize,
    /// Directly.
    pub direct: Percentiles,
    /// Through an entry VM.
    pub entry: Percentiles,
}

impl RestReport {
    /// The difference of the medians, in milliseconds.
    #[must_use]
    pub fn share_p50_ms(&self) -> f64 {
        self.entry.p50_ms - self.direct.p50_ms
    }

    /// The difference of the 99th percentiles, in milliseconds.
    #[must_use]
    pub fn share_p99_ms(&self) -> f64 {
        self.entry.p99_ms - self.direct.p99_ms
    }
}

/// Measures it on a cluster of its own.
///
/// # Errors
/// When the cluster can't be brought up.
pub async fn run(workload: Workload, entry_vms: usize) -> Result<RestReport, Report<ClusterError>> {
    let plan = ClusterPlan {
        workload,
        entry_vms,
        lapsing: None,
    };
    let cluster = Cluster::spawn(&plan).await?;
    let sender = |policy| {
        let addresses = Addresses {
            entries: cluster.entry_addresses(),
            engines: cluster.engine_addresses(),
            services: cluster.service_addresses(),
        };
        Sender::open(cluster.client().clone(), workload, policy, addresses, 0)
    };
    let direct = sender(Policy::RoundRobin);
    let entry = sender(Policy::Cactusspur);
    let mut times = [histogram(), histogram()];
    for pair in 0..PAIRS + WARM_UP_PAIRS {
        for (sender, times) in [&direct, &entry].into_iter().zip(&mut times) {
            let request = question(pair);
            let outcome: Outcome = sender.send(&request, Intended(Instant::now())).await;
            let measured = outcome.first_token_us.filter(|_| pair >= WARM_UP_PAIRS);
            if let Some(us) = measured {
                times.saturating_record(us);
            }
        }
    }
    Ok(RestReport {
        pairs: PAIRS,
        direct: Percentiles::of(&times[0]),
        entry: Percentiles::of(&times[1]),
    })
}

/// A question that is shorter than a piece, so that no cache matters.
fn question(number: usize) -> Planned {
    Planned {
        at_us: 0,
        customer: 0,
        class: 0,
        levels: vec![text::text(0, &format!("question {number}"), QUESTION_BYTES)],
        max_answer_tokens: ANSWER_TOKENS,
        key: None,
    }
}
