//! The circumstances of a run: its rate, and what is broken when.

use {
    clap::ValueEnum,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::time::Duration,
};

/// The circumstances of a run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, ValueEnum, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// The steady rate, nothing broken.
    #[display("steady")]
    Steady,
    /// One and a half times the rate that the engines can serve.
    #[display("overload")]
    Overload,
    /// In the middle, other customers become the large ones and the hot texts get new editions.
    #[display("hot-prefix-moves")]
    HotPrefixMoves,
    /// In the middle, an engine loses its work and its cache.
    #[display("engine-crash")]
    EngineCrash,
    /// In the middle, all entry VMs are killed and started again.
    #[display("router-herd-restart")]
    RouterHerdRestart,
    /// For a quarter of the run, nothing in one failure domain answers.
    #[display("domain-cut")]
    DomainCut,
    /// From a third on, half of the cache events are lost, and all reports are late.
    #[display("event-loss")]
    EventLoss,
    /// For half of the run, no part of the platform answers.
    #[display("platform-outage")]
    PlatformOutage,
    /// In the middle, all connections to engines that are open go silent for good.
    #[display("silent-connections")]
    SilentConnections,
    /// A part of the credits lapses before the end.
    #[display("credits-near-lapse")]
    CreditsNearLapse,
    /// Single requests to idle engines, directly and through an entry VM in turn.
    #[display("rest")]
    Rest,
}

/// Which processes a step is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The first engine.
    FirstEngine,
    /// All engines.
    Engines,
    /// All backend servers of the first failure domain.
    FirstDomain,
    /// The platform.
    Platform,
}

/// Something that is done to the processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Stand-ins are given faults.
    Faults {
        /// Which.
        target: Target,
        /// The change of their faults.
        change: Value,
    },
    /// All entry VMs' processes are killed and started again.
    RestartEntries,
    /// The entry VMs' processes of the first failure domain are paused.
    PauseEntries,
    /// They go on.
    ContinueEntries,
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, from the start of the run.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// By how much the rate of an overload is above what the engines can serve.
pub const OVERLOAD_FACTOR: f64 = 1.5;
/// When credits lapse in [`Scenario::CreditsNearLapse`], as a share of the run.
pub const LAPSE_AT: f64 = 0.8;

const CACHE_EVENT_LOSS_PERMILLE: u64 = 500;
const REPORT_LAG_MS: u64 = 500;

impl Scenario {
    /// Whether hot prefixes move in the middle of its schedule.
    #[must_use]
    pub fn hot_prefix_moves(self) -> bool {
        self == Self::HotPrefixMoves
    }

    /// Its steps in the order of their times.
    #[must_use]
    pub fn steps(self, duration: Duration) -> Vec<Step> {
        let at = |share: f64, action| Step {
            at: duration.mul_f64(share),
            action,
        };
        match self {
            Self::Steady
            | Self::Overload
            | Self::HotPrefixMoves
            | Self::CreditsNearLapse
            | Self::Rest => Vec::new(),
            Self::EngineCrash => {
                let crash = json!({"crash_to_empty": true});
                vec![at(0.5, faults(Target::FirstEngine, crash))]
            }
            Self::RouterHerdRestart => vec![at(0.5, Action::RestartEntries)],
            Self::DomainCut => vec![
                at(0.4, faults(Target::FirstDomain, json!({"frozen": true}))),
                at(0.4, Action::PauseEntries),
                at(0.65, faults(Target::FirstDomain, json!({"frozen": false}))),
                at(0.65, Action::ContinueEntries),
            ],
            Self::EventLoss => {
                let loss = json!({
                    "drop_cache_events_permille": CACHE_EVENT_LOSS_PERMILLE,
                    "cache_lag_ms": REPORT_LAG_MS,
                    "load_lag_ms": REPORT_LAG_MS,
                });
                vec![at(0.33, faults(Target::Engines, loss))]
            }
            Self::PlatformOutage => vec![
                at(0.25, faults(Target::Platform, outage(true))),
                at(0.75, faults(Target::Platform, outage(false))),
            ],
            Self::SilentConnections => {
                let silence = json!({"silent_connections": true});
                vec![at(0.5, faults(Target::Engines, silence))]
            }
        }
    }

    /// When its fault sets in, for the time that it takes to recover.
    #[must_use]
    pub fn fault_at(self, duration: Duration) -> Option<Duration> {
        if self.hot_prefix_moves() {
            return Some(duration.mul_f64(0.5));
        }
        self.steps(duration).first().map(|step| step.at)
    }
}

const fn faults(target: Target, change: Value) -> Action {
    Action::Faults { target, change }
}

fn outage(down: bool) -> Value {
    json!({"down": down, "objects_down": down, "vms_down": down, "kept_down": down})
}
