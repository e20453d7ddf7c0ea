//! Limits the pulls of tables from peers that are in progress.

use std::net::SocketAddr;

/// Pulls that may be in progress at the same time.
const MAX_PULLS: usize = 3;

/// The peers from which tables are being pulled.
#[derive(Clone, Debug, Default)]
pub struct Pulls {
    in_progress: Vec<SocketAddr>,
}

impl Pulls {
    /// Records the start of a pull. Returns whether it may start: a peer is asked once at a time, and a
    /// peer that doesn't answer leaves room for others.
    pub fn start(&mut self, address: SocketAddr) -> bool {
        let may_start = self.in_progress.len() < MAX_PULLS && !self.in_progress.contains(&address);
        if may_start {
            self.in_progress.push(address);
        }
        may_start
    }

    /// Records the end of a pull.
    pub fn end(&mut self, address: SocketAddr) {
        self.in_progress.retain(|other| *other != address);
    }
}
