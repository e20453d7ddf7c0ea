//! Injection of faults.

use {
    super::{Message, Node, World},
    cactusspur_core::{AttemptId, DurationMs, Event, Failure, RequestId, Verdict, WorkerId},
};

impl World {
    pub(super) fn delay(&mut self, pick: u64, ms: u64) {
        if let Some(index) = self.pick(pick) {
            self.messages[index].0 = self.messages[index].0.after(DurationMs(ms));
        }
    }

    pub(super) fn repeat(&mut self, pick: u64, ms: u64) {
        let Some(index) = self.pick(pick) else {
            return;
        };
        let at_most_once = matches!(
            self.messages[index].2,
            Message::Job { .. } | Message::Call { .. }
        );
        if !at_most_once {
            let copy = self.messages[index].2.clone();
            self.schedule(ms, copy);
        }
    }

    pub(super) fn lose(&mut self, pick: u64) {
        let index = usize::try_from(pick % self.messages.len().max(1) as u64).unwrap_or(0);
        let Some((_, _, message)) = self.messages.get(index) else {
            return;
        };
        let can_be_lost = match message {
            Message::Event { event, .. } => matches!(
                event,
                Event::Probed { .. } | Event::Load(_) | Event::Cache(_)
            ),
            Message::Cancel { .. } | Message::Probe { .. } | Message::Order { .. } => true,
            Message::Job { .. } | Message::Call { .. } => false,
        };
        if can_be_lost {
            self.messages.remove(index);
        }
    }

    /// Picks a message in flight of a kind that may be delayed or duplicated.
    pub(super) fn pick(&self, pick: u64) -> Option<usize> {
        let in_order = |message: &Message| {
            matches!(
                message,
                Message::Event {
                    event: Event::Vms(_) | Event::Arrived(_) | Event::Probed { .. },
                    ..
                }
            )
        };
        let free: Vec<usize> = (0..self.messages.len())
            .filter(|index| !in_order(&self.messages[*index].2))
            .collect();
        let index = usize::try_from(pick % free.len().max(1) as u64).ok()?;
        free.get(index).copied()
    }

    /// Picks an attempt with a message in flight.
    pub(super) fn running(&self, pick: u64) -> Option<AttemptId> {
        let mut running: Vec<AttemptId> = self
            .messages
            .iter()
            .filter_map(|row| row.2.attempt())
            .collect();
        running.sort_unstable();
        running.dedup();
        let index = usize::try_from(pick % running.len().max(1) as u64).ok()?;
        running.get(index).copied()
    }

    pub(super) fn break_connection(&mut self, pick: u64) {
        let Some(attempt) = self.running(pick) else {
            return;
        };
        self.break_connections(|from| from.1 == attempt);
    }

    /// Breaks the connections selected by `ends`; their messages in flight are lost.
    pub(super) fn break_connections<F>(&mut self, ends: F)
    where
        F: Fn((WorkerId, AttemptId)) -> bool,
    {
        let mut broken: Vec<(usize, u64, WorkerId, AttemptId)> = Vec::new();
        self.messages.retain(|row| match &row.2 {
            Message::Event {
                node,
                epoch,
                from: Some(from),
                ..
            } if ends(*from) => {
                broken.push((*node, *epoch, from.0, from.1));
                false
            }
            _ => true,
        });
        broken.dedup();
        for (node, epoch, worker, attempt) in broken {
            let event = Event::AttemptFailed {
                attempt,
                verdict: Verdict::MayHaveRun,
                failure: Failure::Broken,
            };
            self.schedule(1, Message::from_worker(node, epoch, worker, attempt, event));
        }
    }

    pub(super) fn crash(&mut self, worker: usize, ms: u64) {
        let up_at = self.now.after(DurationMs(ms));
        let id = self.workers[worker].id();
        self.workers[worker].crash(up_at);
        self.break_connections(|from| from.0 == id);
        for node in &mut self.nodes {
            node.known_leaving.retain(|row| row.0 != id);
        }
    }

    pub(super) fn freeze(&mut self, worker: usize, ms: u64) {
        let id = self.workers[worker].id();
        self.workers[worker].frozen_until = self.now.after(DurationMs(ms));
        for row in &mut self.messages {
            if matches!(&row.2, Message::Event { from: Some(from), .. } if from.0 == id) {
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
        let epoch = self.nodes[node].epoch + 1;
        self.nodes[node] = Node::open(node, epoch);
        self.configure(node, self.generation);
    }

    pub(super) fn caller_leaves(&mut self, pick: u64) {
        let open: Vec<RequestId> = self
            .oracle
            .requests
            .iter()
            .filter(|(_, tracked)| self.is_open(tracked))
            .map(|row| *row.0)
            .collect();
        let index = usize::try_from(pick % open.len().max(1) as u64).unwrap_or(0);
        let Some(request) = open.get(index).copied() else {
            return;
        };
        let Some(tracked) = self.oracle.requests.get_mut(&request) else {
            return;
        };
        tracked.caller_left = true;
        let node = tracked.node;
        self.handle(node, Event::CallerLeft { request });
    }
}
