//! What an entry VM does together with the others: membership and the spread of the
//! configuration, over peers' messages and the platform.
//!
//! [`Control::spawn`] starts it on the runtime of the thread that calls it. The configuration
//! comes out of [`Control::configurations`]; the list of VMs and the own load go in with
//! [`Control::apply_vm_list`] and [`Control::report_load`]; operators see [`Control::view`].

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
    state::State,
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::watch,
};

/// How often it is looked whether something is due.
const TICK: Millis = Millis(100);

/// What the control needs from the settings.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The VM's name.
    pub name: String,
    /// The failure domain's name.
    pub failure_domain: String,
    /// Where other entry VMs connect to.
    pub peers_address: SocketAddr,
    /// Where operators connect to.
    pub operators_address: SocketAddr,
    /// Peers' addresses to start from, besides the list of VMs.
    pub seed_addresses: Vec<SocketAddr>,
    /// The key that all entry VMs share.
    pub shared_key: String,
    /// The life of the process, drawn at random at its start.
    pub incarnation: u64,
}

/// A handle of the running control that any thread may use.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    state: Arc<Mutex<State>>,
}

impl ControlHandle {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the platform's list of VMs in.
    pub fn apply_vm_list(&self, list: &VmList) {
        self.lock()
            .apply_vm_list(Some(Arc::new(list.clone())), now());
    }

    /// Sets what other entry VMs are told of this one's load.
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

    /// Tells other entry VMs from now on that this one is leaving.
    pub fn announce_leaving(&self) {
        self.lock().leaving = true;
    }

    /// The state, for operators.
    #[must_use]
    pub fn view(&self) -> ControlView {
        self.lock().view(now())
    }
}

/// The running control. It stops when it is dropped.
#[derive(Debug)]
pub struct Control {
    handle: ControlHandle,
    configurations: watch::Receiver<Arc<Configuration>>,
    vms: watch::Receiver<Arc<VmList>>,
    server: PeerServer,
    _stop: watch::Sender<()>,
}

impl Control {
    /// Binds the peers' address and starts, on this thread's runtime.
    ///
    /// # Errors
    ///
    /// When the address can't be bound or the shared key is too short.
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
        let (force, configurations) = watch::channel(Arc::default());
        let (vms_out, vms) = watch::channel(Arc::default());
        let state = State::open(
            introduction.clone(),
            &settings.seed_addresses,
            force,
            vms_out,
            timeline,
        );
        let state = Arc::new(Mutex::new(state));
        let handle = ControlHandle {
            state: Arc::clone(&state),
        };
        let answering = handle.clone();
        let server = PeerServer::bind(settings.peers_address, key.clone(), move |ask| {
            answering.lock().answer(now(), ask)
        })?;
        introduction.peers_address = server.address();
        handle
            .lock()
            .introduce(introduction, &settings.seed_addresses);
        let (stop, stopped) = watch::channel(());
        let runner = Rc::new(Runner::open(
            handle.clone(),
            ConfigurationLog::new(store),
            key,
        ));
        runner.spawn(TICK, stopped);
        Ok(Self {
            handle,
            configurations,
            vms,
            server,
            _stop: stop,
        })
    }

    /// The configuration in force, each time that it changes. Its generation never falls; 0 is
    /// none yet.
    #[must_use]
    pub fn configurations(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configurations.clone()
    }

    /// The newest list of VMs, each time that it changes, whether the platform or another entry
    /// VM gave it.
    #[must_use]
    pub fn vms(&self) -> watch::Receiver<Arc<VmList>> {
        self.vms.clone()
    }

    /// A handle for other threads.
    #[must_use]
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The peers' address that it is bound to.
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
