//! Pools of workers by what they offer, on consistent hash rings.
//!
//! The workers that offer the same model or service are placed on a ring by the hash of their ids.
//! Positions derived from a key select the same few workers in every process that knows the same
//! workers, without a comparison of all of them.

use {
    crate::{
        id::{ModelId, ServiceId, WeightsVersion, WorkerId},
        vec_map::VecMap,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Number of positions that are compared for one key.
const PROBES: u64 = 8;
const POINT_SEED: u64 = 0x005b_d1e9_955b_d1e9;

/// A model or service that workers offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Offer {
    /// A model with its weights loaded.
    Model(ModelId, WeightsVersion),
    /// A plain service.
    Service(ServiceId),
}

/// Workers ordered by the hashes of their ids.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: Vec<(u64, WorkerId)>,
}

impl Ring {
    /// Returns the number of workers on the ring.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.points.len()
    }

    /// Whether the ring has no workers.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Iterates once over all workers, starting with the first at or after `position`.
    pub fn iter_from(&self, position: u64) -> impl Iterator<Item = WorkerId> {
        let start = self.points.partition_point(|point| point.0 < position);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.1)
    }

    /// Returns the position for `key`. Of several positions derived from it, the one closest to its
    /// worker is chosen, so that a worker after a wide gap doesn't receive more keys than others
    /// (multi-probe consistent hashing).
    #[must_use]
    pub fn position(&self, key: u64) -> u64 {
        (0..PROBES)
            .map(|probe| xxh3_64_with_seed(&probe.to_le_bytes(), key))
            .min_by_key(|position| self.gap(*position))
            .unwrap_or(key)
    }

    /// Returns the distance from a position to the first worker at or after it.
    fn gap(&self, position: u64) -> u64 {
        let index = self.points.partition_point(|point| point.0 < position);
        let next = self.points.get(index).or(self.points.first());
        next.map_or(u64::MAX, |point| point.0.wrapping_sub(position))
    }

    fn insert(&mut self, worker: WorkerId) {
        let point = point_of(worker);
        if let Err(index) = self.points.binary_search(&point) {
            self.points.insert(index, point);
        }
    }

    fn remove(&mut self, worker: WorkerId) {
        if let Ok(index) = self.points.binary_search(&point_of(worker)) {
            self.points.remove(index);
        }
    }
}

fn point_of(worker: WorkerId) -> (u64, WorkerId) {
    (
        xxh3_64_with_seed(&worker.0.to_le_bytes(), POINT_SEED),
        worker,
    )
}

/// The workers that offer the same model or service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// All workers of the pool.
    pub all: Ring,
    /// Workers in this entry VM's failure domain.
    pub local_domain: Ring,
}

/// Worker pools by what the workers offer.
#[derive(Debug, Default)]
pub struct WorkerPools {
    pools: VecMap<Offer, Pool>,
    workers: VecMap<WorkerId, Vec<Offer>>,
}

impl WorkerPools {
    /// Sets everything that a worker offers, replacing earlier offers.
    pub fn set_offers(&mut self, worker: WorkerId, in_local_domain: bool, offers: Vec<Offer>) {
        if self.workers.get(&worker) == Some(&offers) {
            return;
        }
        self.remove_worker(worker);
        for offer in &offers {
            let pool = self.pools.get_or_insert_with(*offer, Pool::default);
            pool.all.insert(worker);
            if in_local_domain {
                pool.local_domain.insert(worker);
            }
        }
        self.workers.insert(worker, offers);
    }

    /// Removes a worker from all pools.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        for offer in self.workers.remove(&worker).unwrap_or_default() {
            let Some(pool) = self.pools.get_mut(&offer) else {
                continue;
            };
            pool.all.remove(worker);
            pool.local_domain.remove(worker);
            if pool.all.is_empty() {
                self.pools.remove(&offer);
            }
        }
    }

    /// Iterates over the workers whose offers are known.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.workers.iter().map(|row| *row.0)
    }

    /// Returns the workers with an offer, or `None` if there are none.
    #[must_use]
    pub fn pool(&self, offer: Offer) -> Option<&Pool> {
        self.pools.get(&offer)
    }

    /// Iterates over the loaded versions of a model's weights with their pools, lowest version
    /// first.
    pub fn versions(&self, model: ModelId) -> impl Iterator<Item = (WeightsVersion, &Pool)> {
        self.pools
            .iter()
            .filter_map(move |(offer, pool)| match offer {
                Offer::Model(offered, weights) if *offered == model => Some((*weights, pool)),
                Offer::Model(..) | Offer::Service(_) => None,
            })
    }
}
