//! What goes wrong.

use {
    super::{Node, Parcel, World},
    cactusspur_core::{AttemptId, DurationMs, Event, Failure, RequestId, Verdict, WorkerId},
};

impl World {
    pub(super) fn delay(&mut self, pick: u64, ms: u64) {
        if let Some(at) = self.pick(pick) {
            self.parcels[at].0 = self.parcels[at].0.after(DurationMs(ms));
        }
    }

    pub(super) fn repeat(&mut self, pick: u64, ms: u64) {
        let Some(at) = self.pick(pick) else {
            return;
        };
        let once_only = matches!(self.parcels[at].2, Parcel::Job { .. } | Parcel::Call { .. });
        if !once_only {
            let again = self.parcels[at].2.clone();
            self.later(ms, again);
        }
    }

    pub(super) fn lose(&mut self, pick: u64) {
        let at = usize::try_from(pick % self.parcels.len().max(1) as u64).unwrap_or(0);
        let Some((_, _, parcel)) = self.parcels.get(at) else {
            return;
        };
        let can_be_lost = match parcel {
            Parcel::Event { event, .. } => matches!(
                event,
                Event::Probed { .. } | Event::Load(_) | Event::Cache(_)
            ),
            Parcel::Cancel { .. } | Parcel::Probe { .. } | Parcel::Order { .. } => true,
            Parcel::Job { .. } | Parcel::Call { .. } => false,
        };
        if can_be_lost {
            self.parcels.remove(at);
        }
    }

    /// A message on its way, of a kind that may be late or come twice.
    pub(super) fn pick(&self, pick: u64) -> Option<usize> {
        let steady = |parcel: &Parcel| {
            matches!(
                parcel,
                Parcel::Event {
                    event: Event::Vms(_) | Event::Arrived(_) | Event::Probed { .. },
                    ..
                }
            )
        };
        let free: Vec<usize> = (0..self.parcels.len())
            .filter(|at| !steady(&self.parcels[*at].2))
            .collect();
        let at = usize::try_from(pick % free.len().max(1) as u64).ok()?;
        free.get(at).copied()
    }

    /// An attempt that has something on its way.
    pub(super) fn running(&self, pick: u64) -> Option<AttemptId> {
        let mut running: Vec<AttemptId> = self
            .parcels
            .iter()
            .filter_map(|row| row.2.attempt())
            .collect();
        running.sort_unstable();
        running.dedup();
        let at = usize::try_from(pick % running.len().max(1) as u64).ok()?;
        running.get(at).copied()
    }

    pub(super) fn break_connection(&mut self, pick: u64) {
        let Some(attempt) = self.running(pick) else {
            return;
        };
        self.break_off(|from| from.1 == attempt);
    }

    /// Ends the connections that `ends` names: what was on its way is lost.
    pub(super) fn break_off<F>(&mut self, ends: F)
    where
        F: Fn((WorkerId, AttemptId)) -> bool,
    {
        let mut broken: Vec<(usize, u64, WorkerId, AttemptId)> = Vec::new();
        self.parcels.retain(|row| match &row.2 {
            Parcel::Event {
                node,
                life,
                from: Some(from),
                ..
            } if ends(*from) => {
                broken.push((*node, *life, from.0, from.1));
                false
            }
            _ => true,
        });
        broken.dedup();
        for (node, life, worker, attempt) in broken {
            let event = Event::AttemptFailed {
                attempt,
                verdict: Verdict::MayHaveRun,
                failure: Failure::Broken,
            };
            self.later(1, Parcel::from(node, life, worker, attempt, event));
        }
    }

    pub(super) fn crash(&mut self, worker: usize, ms: u64) {
        let up_at = self.now.after(DurationMs(ms));
        let id = self.workers[worker].id();
        self.workers[worker].crash(up_at);
        self.break_off(|from| from.0 == id);
        for node in &mut self.nodes {
            node.told_leaving.retain(|row| row.0 != id);
        }
    }

    pub(super) fn freeze(&mut self, worker: usize, ms: u64) {
        let id = self.workers[worker].id();
        self.workers[worker].frozen_until = self.now.after(DurationMs(ms));
        for row in &mut self.parcels {
            if matches!(&row.2, Parcel::Event { from: Some(from), .. } if from.0 == id) {
                row.0 = row.0.after(DurationMs(ms));
            }
        }
    }

    pub(super) fn leave(&mut self, worker: usize, lag_ms: u64) {
        let from = self.now.after(DurationMs(lag_ms));
        let worker = &mut self.workers[worker];
        worker.leaving = true;
        worker.listed_leaving_from.get_or_insert(from);
    }

    pub(super) fn restart(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        self.nodes[node] = Node::open(node, life);
        self.configure(node, self.generation);
    }

    pub(super) fn caller_leaves(&mut self, pick: u64) {
        let open: Vec<RequestId> = self
            .oracle
            .asks
            .iter()
            .filter(|(_, ask)| self.is_open(ask))
            .map(|row| *row.0)
            .collect();
        let at = usize::try_from(pick % open.len().max(1) as u64).unwrap_or(0);
        let Some(request) = open.get(at).copied() else {
            return;
        };
        let Some(ask) = self.oracle.asks.get_mut(&request) else {
            return;
        };
        ask.left = true;
        let node = ask.node;
        self.handle(node, Event::CallerLeft { request });
    }
}
