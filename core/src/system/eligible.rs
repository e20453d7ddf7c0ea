//! The workers that may get a request.

use crate::{core::Core, id::WorkerId, request::Request, ring::Ring, worker::Worker};

/// Workers looked at from one place of the ring on.
const STEPS: usize = 32;

/// The workers of a ring that may get a request.
pub struct EligibleWorkers<'a> {
    core: &'a Core,
    request: &'a Request,
    ring: &'a Ring,
    /// Whether workers that have just failed are left out.
    preferred: bool,
}

impl<'a> EligibleWorkers<'a> {
    /// Those of `ring` for `request`. Workers that have just failed are left out, unless all have.
    #[must_use]
    pub fn new(core: &'a Core, request: &'a Request, ring: &'a Ring) -> Self {
        let preferred = Self {
            core,
            request,
            ring,
            preferred: true,
        };
        let any = preferred.first(0).is_some();
        Self {
            preferred: any,
            ..preferred
        }
    }

    /// The ring.
    #[must_use]
    pub const fn ring(&self) -> &Ring {
        self.ring
    }

    /// A worker, if it may get the request.
    #[must_use]
    pub fn worker(&self, id: WorkerId) -> Option<&'a Worker> {
        let worker = self.core.workers.get(&id)?;
        let fit = if self.preferred {
            worker.is_preferred(self.core.now)
        } else {
            worker.accepts_work()
        };
        (fit && !self.request.failed_workers.contains(&id)).then_some(worker)
    }

    /// The first `count` from a position of the ring on.
    #[must_use]
    pub fn from(&self, position: u64, count: usize) -> Vec<&'a Worker> {
        self.ring
            .iter_from(position)
            .filter_map(|id| self.worker(id))
            .take(count)
            .collect()
    }

    /// The first near a position of the ring.
    #[must_use]
    pub fn first(&self, position: u64) -> Option<&'a Worker> {
        self.first_excluding(position, |_| false)
    }

    /// The first near a position of the ring that is not taken.
    pub fn first_excluding<F>(&self, position: u64, taken: F) -> Option<&'a Worker>
    where
        F: Fn(&Worker) -> bool,
    {
        let mut near = self.ring.iter_from(position).take(STEPS);
        near.find_map(|id| self.worker(id).filter(|worker| !taken(worker)))
    }
}
