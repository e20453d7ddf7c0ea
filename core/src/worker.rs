//! Workers: model workers and plain services, as far as this process knows them.

use {
    crate::{
        event::{LoadReport, Vm},
        id::{DomainId, Incarnation, ModelId, ServiceId, WeightsVersion, WorkerId},
        unit::{TimeMs, Tokens},
    },
    std::collections::VecDeque,
};

/// How alive a worker is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answers, or nothing speaks against it.
    Alive,
    /// It went silent or failed; a new connection is being tried.
    Suspected {
        /// Since when.
        since_ms: TimeMs,
    },
    /// A new connection has failed. It is asked again until it answers.
    Dead {
        /// When it is asked next.
        probe_at_ms: TimeMs,
    },
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The service that it offers, if it is a plain service.
    pub service: Option<ServiceId>,
    /// Whether it is leaving, by the list of VMs.
    pub leaving: bool,
    /// The life that has said itself that it is leaving.
    pub said_leaving: Option<Incarnation>,
    /// Since when the list of VMs lacks it.
    pub unlisted_since_ms: Option<TimeMs>,
    /// How alive it is believed to be.
    pub liveness: Liveness,
    /// Its life, once it is known.
    pub incarnation: Option<Incarnation>,
    /// Its last report.
    pub load: Option<LoadReport>,
    /// Work sent from here that its last report can't show yet: when, and how many uncached
    /// prompt tokens.
    pub sent: VecDeque<(TimeMs, Tokens)>,
    /// Attempts from here that are in progress on it.
    pub in_flight: u32,
    /// Attempts that failed in a row.
    pub failures_in_row: u32,
}

impl Worker {
    /// A worker as the list of VMs names it.
    #[must_use]
    pub fn listed(vm: &Vm) -> Self {
        Self {
            id: vm.worker(),
            domain: vm.domain(),
            service: vm.role.service(),
            leaving: vm.leaving,
            said_leaving: None,
            unlisted_since_ms: None,
            liveness: Liveness::Alive,
            incarnation: None,
            load: None,
            sent: VecDeque::new(),
            in_flight: 0,
            failures_in_row: 0,
        }
    }

    /// Whether new work may be sent to it.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let leaves = self.leaving || self.says_leaving() || self.unlisted_since_ms.is_some();
        !leaves && self.liveness == Liveness::Alive
    }

    /// Whether its present life has said itself that it is leaving.
    #[must_use]
    pub fn says_leaving(&self) -> bool {
        self.said_leaving.is_some() && self.said_leaving == self.incarnation
    }

    /// The weights of `model` that it has loaded, if any.
    #[must_use]
    pub fn weights(&self, model: ModelId) -> Option<WeightsVersion> {
        let models = &self.load.as_ref()?.models;
        models
            .iter()
            .find(|loaded| loaded.0 == model)
            .map(|loaded| loaded.1)
    }
}
