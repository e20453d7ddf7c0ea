//! Executes the actions that the control plane's state requests.

use {
    super::{ControlHandle, ControlState},
    crate::{
        configuration_log::{ConfigurationLog, Store},
        peer::{Envelope, PeerError, PeerKey, PeerLink, PeerRequest, PeerResponse},
        spread::Action,
        timer::now,
    },
    cactusspur_core::{EntryId, VecMap},
    error_stack::Report,
    ntex::time::{Millis, sleep},
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::sync::watch,
};

/// The most links that are kept open. When a further one is needed, all are dropped.
const MAX_LINKS: usize = 256;

/// Sends heartbeats, polls the table service and pulls from peers, on one thread.
pub(super) struct Runner<S> {
    handle: ControlHandle,
    log: ConfigurationLog<S>,
    key: PeerKey,
    links: RefCell<VecMap<SocketAddr, Rc<PeerLink>>>,
}

impl<S> Runner<S>
where
    S: Store + 'static,
{
    pub(super) fn new(handle: ControlHandle, log: ConfigurationLog<S>, key: PeerKey) -> Self {
        Self {
            handle,
            log,
            key,
            links: RefCell::default(),
        }
    }

    /// Runs until the sender of `stopped` is dropped.
    pub(super) fn spawn(self: Rc<Self>, tick: Millis, mut stopped: watch::Receiver<()>) {
        ntex::rt::spawn(async move {
            loop {
                self.tick();
                tokio::select! {
                    _ = stopped.changed() => return,
                    () = sleep(tick) => {}
                }
            }
        });
    }

    fn tick(self: &Rc<Self>) {
        let due = self.update(|state| {
            state.tick(now());
            state.membership.due_targets(now())
        });
        for target in due {
            self.send_heartbeat(target.address);
        }
        let source = self.handle.lock().vms_source(now());
        if let Some(address) = source {
            self.request_vms(address);
        }
    }

    fn request_vms(self: &Rc<Self>, address: SocketAddr) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let request = runner.handle.lock().new_vms_request(now());
            match runner.call(address, &request).await {
                Ok(response) => runner.update(|state| state.apply_response(now(), response)),
                Err(report) => tracing::debug!(%address, ?report, "VM list not returned by peer"),
            }
        });
    }

    /// Changes the state and starts the actions that the change requires.
    fn update<F, T>(self: &Rc<Self>, change: F) -> T
    where
        F: FnOnce(&mut ControlState) -> T,
    {
        let (result, actions) = {
            let mut state = self.handle.lock();
            let result = change(&mut state);
            (result, state.take_actions())
        };
        for action in actions {
            self.execute(action);
        }
        result
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Poll => self.poll(),
            Action::Pull(entry) => self.pull(entry),
            Action::Activate(configuration) => {
                tracing::info!(generation = %configuration.generation, "configuration activated");
                self.announce();
            }
        }
    }

    /// Notifies some peers of a new generation without waiting for the next heartbeat.
    fn announce(self: &Rc<Self>) {
        let targets = self.handle.lock().membership.announcement_targets();
        for target in targets {
            self.send_heartbeat(target.address);
        }
    }

    fn send_heartbeat(self: &Rc<Self>, address: SocketAddr) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let request = runner.handle.lock().new_heartbeat(now());
            match runner.call(address, &request).await {
                Ok(response) => runner.update(|state| state.apply_response(now(), response)),
                Err(report) => tracing::debug!(%address, ?report, "heartbeat not answered"),
            }
        });
    }

    fn pull(self: &Rc<Self>, entry: EntryId) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let (address, request) = {
                let mut state = runner.handle.lock();
                (state.address_of(entry), state.new_pull(now()))
            };
            let Some(address) = address else {
                return runner.update(|state| state.pull_failed(now()));
            };
            match runner.call(address, &request).await {
                Ok(response) => runner.update(|state| state.apply_response(now(), response)),
                Err(report) => {
                    tracing::debug!(%address, ?report, "peer did not answer a pull");
                    runner.update(|state| state.pull_failed(now()));
                }
            }
        });
    }

    fn poll(self: &Rc<Self>) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let started_at_ms = now();
            let known = runner.handle.lock().spread.known().clone();
            let response = runner.log.catch_up(&known).await;
            let response = response.map_err(|report| {
                tracing::debug!(?report, "could not read the configuration log");
            });
            runner.update(|state| state.apply_poll(started_at_ms, response));
        });
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: &Envelope<PeerRequest>,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        let link = self.link(address);
        link.call(now(), request).await
    }

    fn link(&self, address: SocketAddr) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        if links.len() >= MAX_LINKS && !links.contains(&address) {
            *links = VecMap::default();
        }
        let key = &self.key;
        let link =
            links.get_or_insert_with(address, || Rc::new(PeerLink::new(address, key.clone())));
        Rc::clone(link)
    }
}
