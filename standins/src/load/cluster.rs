//! A whole cluster as processes on loopback: stand-ins, and entry VMs where a policy needs them.

use {
    crate::{
        load::{
            call::open_client,
            engine_shape::{ENGINES, EngineShape},
            process::{Process, Signal, beside},
            scenario::{Action, Target},
            workload::{Workload, lasting_grant},
        },
        log::LogEntry,
    },
    cactusspur_core::{Configuration, CreditGrant, Generation, MicroCredits, TimeMs, Vm, VmRole},
    derive_more::{Add, AddAssign, Display, Error, Sum},
    error_stack::{Report, ResultExt},
    ntex::client::Client,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        fs,
        net::TcpListener,
        path::{Path, PathBuf},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const LOOPBACK: &str = "127.0.0.1";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_INTERVAL: Duration = Duration::from_millis(50);
const SHARED_KEY: &str = "load-tool-shared-key-load-tool-shared-key";
const CONFIGURATION_ROW: &str = "configuration%2Fhead";
const LASTING_MS: u64 = 86_400_000;
const ANSWER_TOKENS: u64 = 512;
const SERVICE_TIME_MS: u64 = 5;

/// A cluster can't be brought up or changed.
#[derive(Debug, Display, Error)]
#[display("cluster: {what}")]
pub struct ClusterError {
    what: &'static str,
}

const fn failed(what: &'static str) -> ClusterError {
    ClusterError { what }
}

/// A stand-in that runs.
#[derive(Debug)]
struct Server {
    _process: Process,
    address: String,
    domain: usize,
    role: VmRole,
    name: String,
}

/// An entry VM's process.
#[derive(Debug)]
struct Entry {
    process: Process,
    callers: String,
    operators: String,
    peers: String,
    settings: PathBuf,
    domain: usize,
    name: String,
}

/// What the engines have done in all.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Display, Sum, Serialize, Deserialize,
)]
#[display(
    "{attempts} attempts, {finished} finished, {cancelled} cancelled, {computed_tokens} prompt \
     tokens computed"
)]
#[serde(default)]
pub struct EngineTotals {
    /// Attempts that they took on.
    pub attempts: u64,
    /// Those that came to their end.
    pub finished: u64,
    /// Those that were cancelled.
    pub cancelled: u64,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
    /// Those that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens that were computed.
    pub computed_tokens: u64,
    /// Answer tokens that were computed.
    pub answer_tokens: u64,
}

/// What a cluster is made from.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Whose.
    pub workload: Workload,
    /// Entry VMs, spread over the failure domains.
    pub entry_vms: usize,
    /// How much of all customers' credits lapses, and when after the start; none for nothing.
    pub lapsing: Option<(MicroCredits, Duration)>,
}

/// The name of the grant that lapses.
pub const LAPSING_GRANT: &str = "lapsing";

/// A cluster that runs. Its processes end with it.
#[derive(Debug)]
pub struct Cluster {
    client: Client,
    workload: Workload,
    platform: Server,
    engines: Vec<Server>,
    services: Vec<Server>,
    entries: Vec<Entry>,
    daemon: PathBuf,
    directory: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.directory).ok();
    }
}

impl Cluster {
    /// Brings a cluster up and waits until it can serve.
    ///
    /// # Errors
    /// When a process can't be started, or the cluster is not ready in time.
    pub async fn spawn(plan: &ClusterPlan) -> Result<Self, Report<ClusterError>> {
        let daemon = beside("cactusspurd").change_context(failed("daemon"))?;
        Self::spawn_with(plan, daemon).await
    }

    /// As [`Cluster::spawn`], with a daemon of another build.
    ///
    /// # Errors
    /// As there.
    pub async fn spawn_with(
        plan: &ClusterPlan,
        daemon: PathBuf,
    ) -> Result<Self, Report<ClusterError>> {
        let client = open_client().await.change_context(failed("client"))?;
        let workload = plan.workload;
        let domains = workload.domains().len();
        let platform = stand_in("platform", VmRole::Engine, 0, &["platform".to_owned()])?;
        let mut engines = Vec::new();
        for at in 0..ENGINES {
            let arguments = engine_arguments(workload, &platform.address);
            let name = format!("engine-{at}");
            engines.push(stand_in(&name, VmRole::Engine, at % domains, &arguments)?);
        }
        let mut services = Vec::new();
        for at in 0..workload.service_count() {
            let role = VmRole::Service {
                name: workload.service().to_owned(),
            };
            let name = format!("service-{at}");
            services.push(stand_in(&name, role, at % domains, &service_arguments())?);
        }
        let directory = settings_directory()?;
        let mut cluster = Self {
            client,
            workload,
            platform,
            engines,
            services,
            entries: Vec::new(),
            daemon,
            directory,
        };
        cluster.start_entries(plan.entry_vms)?;
        cluster.declare(plan).await?;
        cluster.ready().await?;
        Ok(cluster)
    }

    /// The client that it is reached with.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Where callers reach its entry VMs.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<String> {
        addresses(&self.entries, |entry| &entry.callers)
    }

    /// Where operators reach its entry VMs.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<String> {
        addresses(&self.entries, |entry| &entry.operators)
    }

    /// Where its platform is.
    #[must_use]
    pub fn platform_address(&self) -> &str {
        &self.platform.address
    }

    /// The process of an entry VM.
    pub fn entry_process(&mut self, entry: usize) -> Option<&mut Process> {
        self.entries.get_mut(entry).map(|entry| &mut entry.process)
    }

    /// Starts an entry VM's process again, on the same addresses, and kills the one before.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn restart_entry(&mut self, entry: usize) -> Result<(), Report<ClusterError>> {
        let Some(entry) = self.entries.get_mut(entry) else {
            return Err(Report::new(failed("no such entry VM")));
        };
        entry.process.kill();
        entry.process = start_daemon(&self.daemon, &entry.settings)?;
        Ok(())
    }

    /// What the engines have run, in no order.
    pub async fn engine_log(&self) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        for engine in &self.engines {
            let log = self.get(&engine.address, "/standin/log").await;
            let log = log.and_then(|log| serde_json::from_value(log["entries"].clone()).ok());
            entries.extend(log.unwrap_or_else(Vec::new));
        }
        entries
    }

    /// The attempts that its plain services have run with an idempotency key.
    pub async fn runs_of(&self, key: &str) -> usize {
        let mut runs = 0;
        for service in &self.services {
            let log = self.get(&service.address, "/standin/log").await;
            let entries = log.and_then(|log| log["entries"].as_array().cloned());
            let with_key = |entry: &&Value| entry["key"] == key;
            runs += entries.unwrap_or_default().iter().filter(with_key).count();
        }
        runs
    }

    /// Waits until each entry VM has a generation in force.
    ///
    /// # Errors
    /// When one hasn't in time.
    pub async fn in_force(&self, generation: Generation) -> Result<(), Report<ClusterError>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            while self.generation_of(entry).await < Some(generation.0) {
                if Instant::now() >= deadline {
                    return Err(Report::new(failed("configuration not in force in time")));
                }
                tokio::time::sleep(READY_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn generation_of(&self, entry: &Entry) -> Option<u64> {
        let status = self.get(&entry.operators, "/status").await?;
        status["generation"].as_u64()
    }

    /// Its engines' addresses.
    #[must_use]
    pub fn engine_addresses(&self) -> Vec<String> {
        addresses(&self.engines, |server| &server.address)
    }

    /// Its plain services' addresses.
    #[must_use]
    pub fn service_addresses(&self) -> Vec<String> {
        addresses(&self.services, |server| &server.address)
    }

    fn start_entries(&mut self, count: usize) -> Result<(), Report<ClusterError>> {
        let domains = self.workload.domains();
        for at in 0..count {
            let domain = at % domains.len();
            let name = format!("entry-{at}");
            let settings = self.directory.join(format!("{name}.yaml"));
            let (callers, operators, peers) = (free_port()?, free_port()?, free_port()?);
            let seeds: Vec<&String> = self.entries.iter().map(|entry| &entry.peers).collect();
            let content = json!({
                "name": name,
                "failure_domain": domains[domain],
                "callers_address": callers,
                "operators_address": operators,
                "peers_address": peers,
                "platform_address": self.platform.address,
                "seed_addresses": seeds,
                "shared_key": SHARED_KEY,
            });
            let text = serde_norway::to_string(&content).change_context(failed("settings"))?;
            fs::write(&settings, text).change_context(failed("settings"))?;
            self.entries.push(Entry {
                process: start_daemon(&self.daemon, &settings)?,
                callers,
                operators,
                peers,
                settings,
                domain,
                name,
            });
        }
        Ok(())
    }

    async fn declare(&self, plan: &ClusterPlan) -> Result<(), Report<ClusterError>> {
        let now_ms = now_ms();
        let mut grants = vec![lasting_grant(TimeMs(now_ms.0 + LASTING_MS))];
        if let Some((amount, after)) = plan.lapsing {
            let after_ms = u64::try_from(after.as_millis()).unwrap_or_default();
            grants.push(CreditGrant {
                name: LAPSING_GRANT.to_owned(),
                amount_microcredits: amount,
                lapses_at_ms: TimeMs(now_ms.0 + after_ms),
            });
        }
        let configuration = Configuration {
            generation: Generation(1),
            change_id: "load".to_owned(),
            accepted_at_ms: now_ms,
            declarations: self.workload.declarations(&grants),
        };
        let row = json!({"expected": null, "value": configuration});
        self.put(&format!("/table/rows/{CONFIGURATION_ROW}"), &row)
            .await?;
        self.put("/standin/vms", &json!(self.vms())).await
    }

    fn vms(&self) -> Vec<Vm> {
        let domains = self.workload.domains();
        let workers = self.engines.iter().chain(&self.services).map(|server| Vm {
            name: server.name.clone(),
            address: server.address.clone(),
            failure_domain: domains[server.domain].to_owned(),
            role: server.role.clone(),
            leaving: false,
        });
        let entries = self.entries.iter().map(|entry| Vm {
            name: entry.name.clone(),
            address: entry.peers.clone(),
            failure_domain: domains[entry.domain].to_owned(),
            role: VmRole::Entry,
            leaving: false,
        });
        workers.chain(entries).collect()
    }

    async fn put(&self, path: &str, body: &Value) -> Result<(), Report<ClusterError>> {
        let url = format!("http://{}{path}", self.platform.address);
        let sent = self.client.put(url).send_json(body).await;
        match sent {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) => {
                Err(Report::new(failed("platform")).attach(response.status().to_string()))
            }
            Err(error) => Err(Report::new(failed("platform")).attach(error.to_string())),
        }
    }

    async fn get(&self, address: &str, path: &str) -> Option<Value> {
        let url = format!("http://{address}{path}");
        let response = self.client.get(url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Waits until each entry VM has its configuration and a load report of each engine.
    async fn ready(&self) -> Result<(), Report<ClusterError>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            while !self.is_ready(entry).await {
                if Instant::now() >= deadline {
                    return Err(Report::new(failed("not ready in time")));
                }
                tokio::time::sleep(READY_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, entry: &Entry) -> bool {
        let Some(status) = self.get(&entry.operators, "/status").await else {
            return false;
        };
        let workers = status["workers"].as_array();
        let known = workers.map_or(0, |workers| {
            workers
                .iter()
                .filter(|worker| worker["queued_tokens"].is_u64())
                .count()
        });
        status["generation"].as_u64() == Some(1) && known >= self.engines.len()
    }

    /// What its engines have done.
    pub async fn engine_totals(&self) -> EngineTotals {
        let mut totals = Vec::new();
        for engine in &self.engines {
            let stats = self.get(&engine.address, "/standin/stats").await;
            totals.push(
                stats
                    .and_then(|stats| serde_json::from_value(stats).ok())
                    .unwrap_or_default(),
            );
        }
        totals.into_iter().sum()
    }

    /// The microcredits that have been drawn of the grant that lapses, by all customers.
    pub async fn lapsing_drawn(&self) -> Option<u64> {
        let path = "/table/rows?prefix=ledger%2F&limit=1000";
        let rows = self.get(&self.platform.address, path).await?;
        let drawn = rows["rows"]
            .as_array()?
            .iter()
            .filter(|row| {
                row["key"]
                    .as_str()
                    .is_some_and(|key| key.ends_with(LAPSING_GRANT))
            })
            .filter_map(|row| find_number(&row["value"], "drawn_microcredits"))
            .sum();
        Some(drawn)
    }

    /// Does what a step of a scenario asks for.
    ///
    /// # Errors
    /// When a process can't be started or spoken to.
    pub async fn act(&mut self, action: &Action) -> Result<(), Report<ClusterError>> {
        match action {
            Action::Faults { target, change } => self.break_servers(*target, change).await,
            Action::RestartEntries => self.restart_entries(),
            Action::PauseEntries => self.signal_entries(Signal::Stop),
            Action::ContinueEntries => self.signal_entries(Signal::Continue),
        }
    }

    async fn break_servers(
        &self,
        target: Target,
        change: &Value,
    ) -> Result<(), Report<ClusterError>> {
        let servers: Vec<&Server> = match target {
            Target::FirstEngine => self.engines.iter().take(1).collect(),
            Target::Engines => self.engines.iter().collect(),
            Target::Platform => vec![&self.platform],
            Target::FirstDomain => {
                let workers = self.engines.iter().chain(&self.services);
                workers.filter(|server| server.domain == 0).collect()
            }
        };
        for server in servers {
            let url = format!("http://{}/standin/faults", server.address);
            let sent = self.client.post(url).send_json(change).await;
            if !sent.is_ok_and(|response| response.status().is_success()) {
                return Err(Report::new(failed("faults")).attach(server.name.clone()));
            }
        }
        Ok(())
    }

    fn restart_entries(&mut self) -> Result<(), Report<ClusterError>> {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        for entry in &mut self.entries {
            entry.process = start_daemon(&self.daemon, &entry.settings)?;
        }
        Ok(())
    }

    fn signal_entries(&self, signal: Signal) -> Result<(), Report<ClusterError>> {
        for entry in self.entries.iter().filter(|entry| entry.domain == 0) {
            entry
                .process
                .signal(signal)
                .change_context(failed("signal"))?;
        }
        Ok(())
    }
}

fn addresses<T, F>(rows: &[T], address: F) -> Vec<String>
where
    F: Fn(&T) -> &String,
{
    rows.iter().map(|row| address(row).clone()).collect()
}

fn find_number(value: &Value, field: &str) -> Option<u64> {
    match value {
        Value::Object(fields) => fields
            .get(field)
            .and_then(Value::as_u64)
            .or_else(|| fields.values().find_map(|inner| find_number(inner, field))),
        _ => None,
    }
}

fn engine_arguments(workload: Workload, platform: &str) -> Vec<String> {
    let shape = EngineShape::of(workload);
    let model = workload.model();
    vec![
        "engine".to_owned(),
        format!("--models={}@{}", model.name, model.weights_version),
        format!("--slots={}", shape.slots),
        format!("--prefill-rate={}", shape.prefill_rate),
        format!("--import-rate={}", shape.import_rate),
        format!("--decode-interval-ms={}", shape.decode_interval_ms),
        format!("--cache-pieces={}", shape.cache_pieces),
        format!("--answer-tokens={ANSWER_TOKENS}"),
        format!(
            "--price-microcredits={}",
            crate::load::measure::PRICE_MICROCREDITS
        ),
        format!("--platform={platform}"),
    ]
}

fn service_arguments() -> Vec<String> {
    vec![
        "plain".to_owned(),
        format!("--service-time-ms={SERVICE_TIME_MS}"),
    ]
}

fn stand_in(
    name: &str,
    role: VmRole,
    domain: usize,
    arguments: &[String],
) -> Result<Server, Report<ClusterError>> {
    let path = beside("standin").change_context(failed("stand-in"))?;
    let process = Process::spawn(&path, arguments).change_context(failed("stand-in"))?;
    let address = process
        .said("listening")
        .ok_or_else(|| Report::new(failed("stand-in without an address")))?
        .to_owned();
    Ok(Server {
        _process: process,
        address,
        domain,
        role,
        name: name.to_owned(),
    })
}

fn start_daemon(path: &Path, settings: &Path) -> Result<Process, Report<ClusterError>> {
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    Process::spawn(path, &arguments).change_context(failed("daemon"))
}

/// An address that was free a moment ago. A daemon that is started again needs the same one.
fn free_port() -> Result<String, Report<ClusterError>> {
    let listener = TcpListener::bind((LOOPBACK, 0)).change_context(failed("no free port"))?;
    let address = listener
        .local_addr()
        .change_context(failed("no free port"))?;
    Ok(address.to_string())
}

fn settings_directory() -> Result<PathBuf, Report<ClusterError>> {
    let name = format!("cactusspur-load-{}-{}", std::process::id(), now_ms().0);
    let directory = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory).change_context(failed("settings"))?;
    Ok(directory)
}

fn now_ms() -> TimeMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    TimeMs(u64::try_from(millis).unwrap_or(u64::MAX))
}
