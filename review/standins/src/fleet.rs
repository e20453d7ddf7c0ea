//! Gateways as processes, with the command of the deploy file.

use {
    crate::{
        http::{Answer, Channel, exchange, request},
        record::Record,
    },
    std::{
        fs::{self, File},
        io::Write,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// The command of `deploy/system.toml`, from the repository's root.
const PROGRAM: &str = "target/release/cactusspur-platformd";

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
}

pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
    record: Arc<Record>,
}

/// Appends a process to the file by which `run.sh` ends what is left.
fn note_process(pid: u32) {
    if let Some(path) = std::env::var_os("PROCESSES")
        && let Ok(mut file) = File::options().create(true).append(true).open(path)
    {
        let _ = writeln!(file, "{pid}");
    }
}

/// Free ports, each of them another one as long as all are held.
#[derive(Default)]
struct Ports {
    held: Vec<TcpListener>,
}

impl Ports {
    fn free(&mut self, ip: IpAddr) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        self.held.push(listener);
        address
    }
}

impl Fleet {
    /// Writes the settings of the gateways `(name, zone)`, with the figures of the sheet of hbt-rings.
    pub fn prepare(members: &[(&str, &str)], store: SocketAddr, record: &Arc<Record>) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{process}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let octet = |value: u32| u8::try_from(value % 250 + 1).unwrap_or(1);
        let base = (octet(process / 250), octet(process));
        let ips: Vec<IpAddr> = (0..members.len())
            .map(|index| {
                let last = u8::try_from(index + 10).unwrap_or(10);
                IpAddr::V4(Ipv4Addr::new(127, base.0, base.1, last))
            })
            .collect();
        let mut ports = Ports::default();
        let controls: Vec<SocketAddr> = ips.iter().map(|ip| ports.free(*ip)).collect();
        let seeds: Vec<String> = controls.iter().take(3).map(ToString::to_string).collect();
        let gateways = members.iter().enumerate().map(|(index, (name, zone))| {
            let ip = ips[index];
            let (front, ready) = (ports.free(ip), ports.free(ip));
            let settings = folder.join(format!("{name}.conf"));
            let text = format!(
                "nodeName={name}\nrole=entry\nmachineClass=front\nserves=front,control\nip={ip}\n\
                 zone={zone}\nregion=nvale\nzones.nvale-a=nvale\nzones.nvale-b=nvale\nzones.nvale-c=nvale\n\
                 listen.front={front}\nlisten.ready={ready}\nlisten.control={}\ninternalPorts=7340,7355\n\
                 seeds={}\nbootstrap=true\nfaultCounted=false\nlimits.cpuShare=0.25\nlimits.cores=1\n\
                 limits.memoryMb=110\nlimits.maxFds=4200\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n\
                 discovery=platform\nentry=virtual_ip\nheartbeatMs=1200\n\
                 contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform\n\
                 tolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0\nbounds.seedLagS=3\nbounds.addrReuseS=2\n\
                 bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n\
                 bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\n\
                 bounds.failClosed=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
                 bounds.retryBudgetSlack=52\nbounds.recoverS=12\nbounds.transitMs=120\nbounds.reuseWindowS=10\n\
                 bounds.enforceFencing=false\nbounds.leaseMs=3000\nbounds.thawSlackMs=300\nbounds.versionMs=10000\n\
                 bounds.versionAllMs=14000\nplatform.address={store}\nplatform.form=table\nplatform.writesPerS=400\n\
                 platform.readsPerS=2000\nplatform.txMs=5.0\nplatform.partWritesS=200\nplatform.rowBytes=65536\n\
                 platform.across=false\nplatform.historyS=20\nplatform.blobBytes=8388608\nplatform.blobMs=25.0\n\
                 platform.blobMbS=80.0\n",
                controls[index],
                seeds.join(","),
            );
            fs::write(&settings, text).expect("a settings file");
            Gateway {
                name: (*name).to_owned(),
                front,
                ready,
                settings,
                log: folder.join(format!("{name}.log")),
                child: None,
                starts: 0,
            }
        });
        let gateways = gateways.collect();
        drop(ports);
        Self {
            gateways,
            folder,
            record: Arc::clone(record),
        }
    }

    pub fn start(&mut self, index: usize) -> Result<(), String> {
        let gateway = &mut self.gateways[index];
        gateway.starts += 1;
        let log = gateway
            .log
            .with_extension(format!("{}.log", gateway.starts));
        let file = File::create(log).map_err(|error| error.to_string())?;
        let errors = file.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("CACTUSSPUR_SETTINGS", &gateway.settings)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.log(&format!("gateway {} starts", gateway.name));
        note_process(child.id());
        gateway.child = Some(child);
        Ok(())
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        for index in 0..self.gateways.len() {
            self.start(index)?;
        }
        for gateway in &self.gateways {
            gateway.wait_until_ready(Duration::from_secs(15))?;
        }
        Ok(())
    }

    pub fn index(&self, name: &str) -> usize {
        let found = self
            .gateways
            .iter()
            .position(|gateway| gateway.name == name);
        found.expect("a gateway of this name")
    }

    /// Ends a process at once.
    pub fn kill(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        if let Some(mut child) = gateway.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .log(&format!("gateway {} is killed", gateway.name));
        }
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, index: usize, signal: &str) {
        let gateway = &self.gateways[index];
        if let Some(child) = &gateway.child {
            let line = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &line]).status();
            self.record
                .log(&format!("gateway {} gets SIG{signal}", gateway.name));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.gateways.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.ready) else {
            return false;
        };
        let bytes = request("GET", "/v1/readiness", &[("Host", "ready")], b"");
        exchange(&mut channel, &bytes, Duration::from_secs(1), &mut |_| ()).status() == 200
    }

    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        let log = self.log.with_extension(format!("{}.log", self.starts));
        let text = fs::read_to_string(log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(5).collect();
        Err(format!(
            "{} isn't ready; its last lines: {lines:?}",
            self.name
        ))
    }

    /// Sends a request on a new channel.
    pub fn call(&self, bytes: &[u8], limit: Duration) -> Answer {
        match Channel::open(self.front) {
            Ok(mut channel) => exchange(&mut channel, bytes, limit, &mut |_| ()),
            Err(error) => Answer {
                message: None,
                error: Some(error.to_string()),
                took: Duration::ZERO,
            },
        }
    }
}
