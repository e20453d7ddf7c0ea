//! The services whose backend servers say that they are brittle: what one says holds for all servers of
//! its service, until an answer comes that doesn't say so.

use {
    super::{peer_table::gateway_rank, state::GatewayState},
    cactusspur_core::{
        DurationMs, TimeMs, VecMap, WorkerId,
        gateway::{Load, OWNED_ONLY_MS, RejectionTolerance, RoomStart, SHARE_SETTLES_MS},
    },
    serde::{Deserialize, Serialize},
};

/// What a service's servers said last of being brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Statement {
    /// The rejections that each server tolerates; `None` if they are no longer brittle.
    tolerance: Option<RejectionTolerance>,
    said_at_ms: TimeMs,
}

/// A service whose servers are brittle, as one gateway tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleService {
    /// The service's name.
    pub service: String,
    /// The rejections that each server tolerates.
    pub tolerance: RejectionTolerance,
    /// The time since a server last said so.
    pub age_ms: DurationMs,
}

/// What the servers of services said of being brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    rows: VecMap<String, Statement>,
}

impl BrittleServices {
    /// The rejections that each server of a service tolerates; `None` unless they are brittle.
    #[must_use]
    pub fn tolerance(&self, service: &str) -> Option<RejectionTolerance> {
        self.rows.get(&service.to_owned())?.tolerance
    }

    /// Records what a server of a service said. Returns whether that is new.
    fn record(
        &mut self,
        service: &str,
        tolerance: Option<RejectionTolerance>,
        said_at_ms: TimeMs,
    ) -> bool {
        let known = self.rows.get(&service.to_owned()).copied();
        if known.is_some_and(|known| known.said_at_ms > said_at_ms)
            || (known.is_none() && tolerance.is_none())
        {
            return false;
        }
        let statement = Statement {
            tolerance,
            said_at_ms,
        };
        self.rows.insert(service.to_owned(), statement);
        known.and_then(|known| known.tolerance) != tolerance
    }

    /// The services that are brittle, for notices and the status.
    #[must_use]
    pub fn report(&self, now: TimeMs) -> Vec<BrittleService> {
        let rows = self.rows.iter().filter_map(|(service, statement)| {
            Some(BrittleService {
                service: service.clone(),
                tolerance: statement.tolerance?,
                age_ms: now.since(statement.said_at_ms),
            })
        });
        rows.collect()
    }
}

impl GatewayState {
    /// Records whether a server said with a load, to this gateway or another one, that it is brittle.
    pub(super) fn record_brittle_load(&mut self, worker: WorkerId, load: Load, now: TimeMs) {
        let Some(backend) = self.backends.get(worker) else {
            return;
        };
        let service = backend.spec.service.clone();
        let tolerance = load.brittle.map(|brittle| brittle.tolerance);
        if let Some(brittle) = load.brittle.filter(|brittle| brittle.is_rejection) {
            metrics::counter!("cactusspur_brittle_rejections_total", "service" => service.clone())
                .increment(1);
            tracing::info!(
                %worker, backend = backend.spec.instance, tolerance = %brittle.tolerance,
                running = load.running, waiting = load.waiting,
                "a brittle backend server rejected a request"
            );
        }
        self.record_brittle(&service, tolerance, now, now);
    }

    /// Applies what another gateway knows of brittle services.
    pub(super) fn apply_brittle_services(&mut self, services: &[BrittleService], now: TimeMs) {
        for row in services {
            let said_at_ms = TimeMs(now.0.saturating_sub(row.age_ms.0));
            self.record_brittle(&row.service, Some(row.tolerance), said_at_ms, now);
        }
    }

    fn record_brittle(
        &mut self,
        service: &str,
        tolerance: Option<RejectionTolerance>,
        said_at_ms: TimeMs,
        now: TimeMs,
    ) {
        if !self.brittle_services.record(service, tolerance, said_at_ms) {
            return;
        }
        match tolerance {
            Some(tolerance) => tracing::info!(
                service, %tolerance, gateways = self.peers.budget_sharers(now),
                "the servers of a service are brittle"
            ),
            None => {
                tracing::info!(service, "the servers of a service are no longer brittle");
            }
        }
        self.update_rooms(service, None, now);
    }

    /// Divides the slots of all brittle servers anew among the gateways that are known. Of servers that are
    /// new or back, only owned slots are used at first.
    pub fn update_all_rooms(&mut self, now: TimeMs) {
        for row in self.brittle_services.report(now) {
            self.update_rooms(&row.service, Some(now.after(OWNED_ONLY_MS)), now);
        }
    }

    /// Sets whether the servers of a service are brittle, and this gateway's part in their slots.
    fn update_rooms(&mut self, service: &str, owned_only_until_ms: Option<TimeMs>, now: TimeMs) {
        let Some(tolerance) = self.brittle_services.tolerance(service) else {
            for backend in self.backends.of_service_mut(service) {
                backend.clear_brittle();
            }
            return;
        };
        let settled_at_ms = if self.peers.budget_sharers(now) == 1 {
            now
        } else {
            self.started_at_ms.after(SHARE_SETTLES_MS)
        };
        for backend in self.backends.of_service_mut(service) {
            let worker = WorkerId::from_name(&backend.spec.instance);
            let share = self.peers.slot_share(backend.spec.address, now);
            let start = RoomStart {
                settled_at_ms,
                // A gateway that has just started has heard of no busy server yet.
                owned_only_until_ms: owned_only_until_ms.or((settled_at_ms > now).then_some(now)),
                random: gateway_rank(&self.peers.own().name, worker.0),
            };
            backend.set_brittle(tolerance, share, start, now);
        }
    }
}
