//! The workers of a ring that may receive a request.

use crate::{core::Core, id::WorkerId, request::Request, ring::Ring, worker::Worker};

/// Workers that are examined from one ring position.
const MAX_STEPS: usize = 32;

/// The workers of a ring that accept work and have not yet failed the request.
pub struct EligibleWorkers<'a> {
    core: &'a Core,
    request: &'a Request,
    ring: &'a Ring,
    /// Whether workers that back off after failures are left out.
    skips_backing_off: bool,
}

impl<'a> EligibleWorkers<'a> {
    /// Selects the workers of `ring` for `request`. Workers that back off after failures are left
    /// out, unless no other worker near the start of the ring is eligible.
    #[must_use]
    pub fn new(core: &'a Core, request: &'a Request, ring: &'a Ring) -> Self {
        let preferred = Self {
            core,
            request,
            ring,
            skips_backing_off: true,
        };
        let has_preferred = preferred.first(0).is_some();
        Self {
            skips_backing_off: has_preferred,
            ..preferred
        }
    }

    /// The ring that the workers are selected from.
    #[must_use]
    pub const fn ring(&self) -> &Ring {
        self.ring
    }

    /// Returns a worker if it is eligible.
    #[must_use]
    pub fn worker(&self, id: WorkerId) -> Option<&'a Worker> {
        let worker = self.core.workers.get(&id)?;
        let is_eligible = if self.skips_backing_off {
            worker.is_preferred(self.core.now)
        } else {
            worker.accepts_work()
        };
        (is_eligible && !self.request.failed_workers.contains(&id)).then_some(worker)
    }

    /// Returns the first `count` eligible workers from a ring position.
    #[must_use]
    pub fn take_from(&self, position: u64, count: usize) -> Vec<&'a Worker> {
        self.ring
            .iter_from(position)
            .filter_map(|id| self.worker(id))
            .take(count)
            .collect()
    }

    /// Returns the first eligible worker shortly after a ring position.
    #[must_use]
    pub fn first(&self, position: u64) -> Option<&'a Worker> {
        self.first_excluding(position, |_| false)
    }

    /// Returns the first eligible worker shortly after a ring position that is not excluded.
    pub fn first_excluding<F>(&self, position: u64, is_excluded: F) -> Option<&'a Worker>
    where
        F: Fn(&Worker) -> bool,
    {
        let mut nearby = self.ring.iter_from(position).take(MAX_STEPS);
        nearby.find_map(|id| self.worker(id).filter(|worker| !is_excluded(worker)))
    }
}
