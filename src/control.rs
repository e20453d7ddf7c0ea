//! The control plane of an entry VM: membership and distribution of the configuration, over
//! messages between entry VMs and the platform.
//!
//! [`Control::spawn`] starts it on the runtime of the calling thread. Its outputs are
//! [`Control::configurations`] and [`Control::vms`]; its inputs are the platform's list of VMs
//! ([`Control::apply_vm_list`]) and the load of this entry VM ([`Control::report_load`]).
//! [`Control::view`] is the state for operators.

mod runner;
mod state;
mod vm_list;

pub use state::{ControlView, MemberView};

use {
    crate::{
        configuration_log::{ConfigurationLog, Store},
        membership::{Introduction, LoadSummary},
        peer::{PeerError, PeerKey, PeerServer},
        timeline::Timeline,
        timer::now,
    },
    cactusspur_core::{Configuration, EntryId, VmList},
    error_stack::Report,
    ntex::time::Millis,
    runner::Runner,
    state::ControlState,
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::watch,
};

/// How often due heartbeats, polls and pulls are checked for.
const TICK_INTERVAL: Millis = Millis(100);

/// The settings of the control plane.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The VM's name.
    pub name: String,
    /// The failure domain's name.
    pub failure_domain: String,
    /// The address for other entry VMs.
    pub peers_address: SocketAddr,
    /// The address for operators.
    pub operators_address: SocketAddr,
    /// Addresses of other entry VMs that are contacted besides those on the list of VMs.
    pub seed_addresses: Vec<SocketAddr>,
    /// The key that all entry VMs share.
    pub shared_key: String,
    /// Identifies this run of the process: a random number from its start.
    pub incarnation: u64,
}

/// A handle of the running control plane that any thread may use.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    state: Arc<Mutex<ControlState>>,
}

impl ControlHandle {
    fn lock(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a list of VMs that the platform has just returned.
    pub fn apply_vm_list(&self, list: &VmList) {
        self.lock()
            .apply_vm_list(Some(Arc::new(list.clone())), now());
    }

    /// Sets the load that is reported to other entry VMs.
    pub fn report_load(&self, load: LoadSummary) {
        self.lock().load = load;
    }

    /// The loads of the other entry VMs that are alive.
    #[must_use]
    pub fn loads(&self) -> Vec<(EntryId, LoadSummary)> {
        let state = self.lock();
        let loads = state.membership.loads();
        loads.map(|(entry, load)| (entry, load.clone())).collect()
    }

    /// Announces in all further heartbeats that this entry VM is leaving.
    pub fn announce_leaving(&self) {
        self.lock().leaving = true;
    }

    /// The current state, for operators.
    #[must_use]
    pub fn view(&self) -> ControlView {
        self.lock().view(now())
    }
}

/// The running control plane. It stops when it is dropped.
#[derive(Debug)]
pub struct Control {
    handle: ControlHandle,
    configurations: watch::Receiver<Arc<Configuration>>,
    vms: watch::Receiver<Arc<VmList>>,
    server: PeerServer,
    _stop: watch::Sender<()>,
}

impl Control {
    /// Binds the peers' address and starts the control plane on this thread's runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or the shared key is too short.
    pub fn spawn<S>(
        settings: &ControlSettings,
        store: S,
        timeline: Arc<Timeline>,
    ) -> Result<Self, Report<PeerError>>
    where
        S: Store + Clone + 'static,
    {
        let key = PeerKey::derive(&settings.shared_key)?;
        let mut introduction = Introduction {
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
            peers_address: settings.peers_address,
            operators_address: settings.operators_address,
            incarnation: settings.incarnation,
            started_at_ms: now(),
        };
        let (active_configuration, configurations) = watch::channel(Arc::default());
        let (vm_list, vms) = watch::channel(Arc::default());
        let state = ControlState::new(
            introduction.clone(),
            &settings.seed_addresses,
            active_configuration,
            vm_list,
            timeline,
        );
        let state = Arc::new(Mutex::new(state));
        let handle = ControlHandle {
            state: Arc::clone(&state),
        };
        let server_handle = handle.clone();
        let server = PeerServer::bind(settings.peers_address, key.clone(), move |request| {
            server_handle.lock().answer(now(), request)
        })?;
        introduction.peers_address = server.address();
        handle
            .lock()
            .set_introduction(introduction, &settings.seed_addresses);
        let (stop, stopped) = watch::channel(());
        let runner = Rc::new(Runner::new(
            handle.clone(),
            ConfigurationLog::new(store),
            key,
        ));
        runner.spawn(TICK_INTERVAL, stopped);
        Ok(Self {
            handle,
            configurations,
            vms,
            server,
            _stop: stop,
        })
    }

    /// A receiver of the active configuration and its changes. The generation never decreases; 0
    /// means that there is no configuration yet.
    #[must_use]
    pub fn configurations(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configurations.clone()
    }

    /// A receiver of the newest list of VMs and its changes, from the platform or from another
    /// entry VM.
    #[must_use]
    pub fn vms(&self) -> watch::Receiver<Arc<VmList>> {
        self.vms.clone()
    }

    /// A handle for other threads.
    #[must_use]
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The peers' address that was bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// See [`ControlHandle::apply_vm_list`].
    pub fn apply_vm_list(&self, list: &VmList) {
        self.handle.apply_vm_list(list);
    }

    /// See [`ControlHandle::report_load`].
    pub fn report_load(&self, load: LoadSummary) {
        self.handle.report_load(load);
    }

    /// See [`ControlHandle::view`].
    #[must_use]
    pub fn view(&self) -> ControlView {
        self.handle.view()
    }
}
