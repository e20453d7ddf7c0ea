//! Carries out what the state asks for.

use {
    super::{ControlHandle, State},
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

/// The links that are kept open at the most.
const MAX_LINKS: usize = 256;

/// Sends heartbeats, polls and pulls, on one thread.
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
    pub(super) fn open(handle: ControlHandle, log: ConfigurationLog<S>, key: PeerKey) -> Self {
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
        let due = self.step(|state| {
            state.tick(now());
            state.membership.due_targets(now())
        });
        for target in due {
            self.heartbeat(target.address);
        }
        let source = self.handle.lock().vms_source(now());
        if let Some(address) = source {
            self.ask_vms(address);
        }
    }

    fn ask_vms(self: &Rc<Self>, address: SocketAddr) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let ask = runner.handle.lock().new_vms_ask(now());
            match runner.ask(address, &ask).await {
                Ok(answer) => runner.step(|state| state.answered(now(), answer)),
                Err(report) => tracing::debug!(%address, ?report, "no list of VMs"),
            }
        });
    }

    /// Changes the state and starts what it asks for.
    fn step<F, T>(self: &Rc<Self>, change: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        let (result, actions) = {
            let mut state = self.handle.lock();
            let result = change(&mut state);
            (result, state.take_actions())
        };
        for action in actions {
            self.start(action);
        }
        result
    }

    fn start(self: &Rc<Self>, action: Action) {
        match action {
            Action::Poll => self.poll(),
            Action::Pull(entry) => self.pull(entry),
            Action::Activate(configuration) => {
                tracing::info!(generation = %configuration.generation, "a newer configuration");
                self.announce();
            }
        }
    }

    /// Tells some peers at once of a new generation.
    fn announce(self: &Rc<Self>) {
        let targets = self.handle.lock().membership.announcement_targets();
        for target in targets {
            self.heartbeat(target.address);
        }
    }

    fn heartbeat(self: &Rc<Self>, address: SocketAddr) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let ask = runner.handle.lock().new_heartbeat(now());
            match runner.ask(address, &ask).await {
                Ok(answer) => runner.step(|state| state.answered(now(), answer)),
                Err(report) => tracing::debug!(%address, ?report, "no answer to a heartbeat"),
            }
        });
    }

    fn pull(self: &Rc<Self>, entry: EntryId) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let (address, ask) = {
                let mut state = runner.handle.lock();
                (state.address_of(entry), state.new_pull(now()))
            };
            let Some(address) = address else {
                return runner.step(|state| state.pull_failed(now()));
            };
            match runner.ask(address, &ask).await {
                Ok(answer) => runner.step(|state| state.answered(now(), answer)),
                Err(report) => {
                    tracing::debug!(%address, ?report, "no answer to a pull");
                    runner.step(|state| state.pull_failed(now()));
                }
            }
        });
    }

    fn poll(self: &Rc<Self>) {
        let runner = Rc::clone(self);
        ntex::rt::spawn(async move {
            let began_at = now();
            let known = runner.handle.lock().spread.known().clone();
            let answer = runner.log.catch_up(&known).await;
            let answer = answer.map_err(|report| {
                tracing::debug!(?report, "the log of configurations was not read");
            });
            runner.step(|state| state.polled(began_at, answer));
        });
    }

    async fn ask(
        &self,
        address: SocketAddr,
        ask: &Envelope<PeerRequest>,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        let link = self.link(address);
        link.call(now(), ask).await
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
