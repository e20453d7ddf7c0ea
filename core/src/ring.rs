//! Which workers offer what, laid out so that a choice doesn't look at all of them.
//!
//! The workers that offer the same thing stand on a ring, each at the hash of its id. Probing the
//! ring at positions that come from a key gives the same few workers in every process that knows
//! the same workers.

use {
    crate::{
        id::{ModelId, ServiceId, WeightsVersion, WorkerId},
        vec_map::VecMap,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Positions that are compared for one key.
const PROBES: u64 = 8;
const POINT_SEED: u64 = 0x005b_d1e9_955b_d1e9;

/// Something that workers offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Offer {
    /// A model with its weights loaded.
    Model(ModelId, WeightsVersion),
    /// A plain service.
    Service(ServiceId),
}

/// Workers in the order of the hashes of their ids.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: Vec<(u64, WorkerId)>,
}

impl Ring {
    /// The number of workers.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.points.len()
    }

    /// Whether there are no workers.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// All workers, from the first at or after `position` on, once around.
    pub fn iter_from(&self, position: u64) -> impl Iterator<Item = WorkerId> {
        let start = self.points.partition_point(|point| point.0 < position);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.1)
    }

    /// A position for `key` that has a worker close behind it. Of several positions the best is
    /// taken, so that a worker with a wide gap before it doesn't get more than others.
    #[must_use]
    pub fn position(&self, key: u64) -> u64 {
        (0..PROBES)
            .map(|probe| xxh3_64_with_seed(&probe.to_le_bytes(), key))
            .min_by_key(|position| self.gap(*position))
            .unwrap_or(key)
    }

    /// The distance from a position to the first worker at or after it.
    fn gap(&self, position: u64) -> u64 {
        let after = self.points.partition_point(|point| point.0 < position);
        let next = self.points.get(after).or(self.points.first());
        next.map_or(u64::MAX, |point| point.0.wrapping_sub(position))
    }

    fn insert(&mut self, worker: WorkerId) {
        let point = point_of(worker);
        if let Err(at) = self.points.binary_search(&point) {
            self.points.insert(at, point);
        }
    }

    fn remove(&mut self, worker: WorkerId) {
        if let Ok(at) = self.points.binary_search(&point_of(worker)) {
            self.points.remove(at);
        }
    }
}

fn point_of(worker: WorkerId) -> (u64, WorkerId) {
    (
        xxh3_64_with_seed(&worker.0.to_le_bytes(), POINT_SEED),
        worker,
    )
}

/// The workers that offer the same thing.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// All of them.
    pub all: Ring,
    /// Those of this entry VM's failure domain.
    pub own_domain: Ring,
}

/// The workers by what they offer.
#[derive(Debug, Default)]
pub struct WorkerPools {
    pools: VecMap<Offer, Pool>,
    workers: VecMap<WorkerId, Vec<Offer>>,
}

impl WorkerPools {
    /// Notes all that a worker offers.
    pub fn set_offers(&mut self, worker: WorkerId, in_own_domain: bool, offers: Vec<Offer>) {
        if self.workers.get(&worker) == Some(&offers) {
            return;
        }
        self.remove_worker(worker);
        for offer in &offers {
            let pool = self.pools.get_or_insert_with(*offer, Pool::default);
            pool.all.insert(worker);
            if in_own_domain {
                pool.own_domain.insert(worker);
            }
        }
        self.workers.insert(worker, offers);
    }

    /// Forgets a worker.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        for offer in self.workers.remove(&worker).unwrap_or_default() {
            let Some(pool) = self.pools.get_mut(&offer) else {
                continue;
            };
            pool.all.remove(worker);
            pool.own_domain.remove(worker);
            if pool.all.is_empty() {
                self.pools.remove(&offer);
            }
        }
    }

    /// The workers that are known here.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.workers.iter().map(|row| *row.0)
    }

    /// The workers that offer something, if there are any.
    #[must_use]
    pub fn pool(&self, offer: Offer) -> Option<&Pool> {
        self.pools.get(&offer)
    }

    /// The versions of a model's weights that workers have, lowest first, with their pools.
    pub fn versions(&self, model: ModelId) -> impl Iterator<Item = (WeightsVersion, &Pool)> {
        self.pools
            .iter()
            .filter_map(move |(offer, pool)| match offer {
                Offer::Model(offered, weights) if *offered == model => Some((*weights, pool)),
                Offer::Model(..) | Offer::Service(_) => None,
            })
    }
}
