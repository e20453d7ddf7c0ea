//! The questions to other gateways whether a service has had a single software version.

use {
    cactusspur_core::{VecMap, gateway::SoftwareKey},
    std::cell::RefCell,
    tokio::sync::oneshot,
};

/// An answer: the only version, or `None` if the service has had several.
pub type OnlyVersion = Option<SoftwareKey>;

/// The questions that wait for an answer, by number.
#[derive(Debug, Default)]
pub struct VersionQueries {
    waiting: RefCell<VecMap<u64, oneshot::Sender<OnlyVersion>>>,
}

impl VersionQueries {
    /// Begins a question. Returns its number and where the first answer arrives.
    pub fn begin(&self) -> (u64, oneshot::Receiver<OnlyVersion>) {
        let query = rand::random();
        let (sender, answer) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, sender| !sender.is_closed());
        waiting.insert(query, sender);
        (query, answer)
    }

    /// Hands an answer to the caller that waits for it. Later answers of other gateways are dropped.
    pub fn answer(&self, query: u64, software: OnlyVersion) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&query) {
            // The caller may have left.
            let _ = waiting.send(software);
        }
    }
}
