//! The gateways as separate processes, started with the command of the deploy file.

use std::fs;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The command in `deploy/system.toml`.
const PROGRAM: &str = "target/release/cactusspur-platformd";
/// Where a gateway serves its metrics, on its own address.
const METRICS_PORT: u16 = 9464;

/// Loopback addresses that only this process uses, as far as its number tells.
pub fn ip(host: u8) -> IpAddr {
    let process = std::process::id();
    let second = 64 + (process % 120) as u8;
    let third = 1 + (process / 120 % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, second, third, host))
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    control: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// The gateways of a deployment. Dropping it ends their processes.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

fn free_port(ip: IpAddr) -> u16 {
    for _ in 0..100 {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        if UdpSocket::bind((ip, port)).is_ok() && port != METRICS_PORT {
            return port;
        }
    }
    panic!("no port is free for TCP and UDP");
}

impl Fleet {
    /// Starts a gateway for each zone in `zones`.
    pub fn start(zones: &[&str], store: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut gateways = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let ip = ip(10 + index as u8);
            let name = format!("front-{zone}-{}", index + 1);
            gateways.push(Gateway {
                zone: (*zone).to_owned(),
                front: SocketAddr::new(ip, free_port(ip)),
                ready: SocketAddr::new(ip, free_port(ip)),
                control: SocketAddr::new(ip, free_port(ip)),
                settings: folder.join(format!("{name}.conf")),
                name,
                child: None,
            });
        }
        let seeds: Vec<String> = gateways
            .iter()
            .take(3)
            .map(|g| g.control.to_string())
            .collect();
        let mut fleet = Self { gateways, folder };
        for gateway in &mut fleet.gateways {
            let text = settings(gateway, &seeds.join(","), store);
            fs::write(&gateway.settings, text).expect("a settings file");
            let log = fs::File::create(gateway.settings.with_extension("log")).expect("a log");
            let errors = log.try_clone().expect("a log");
            let child = Command::new(PROGRAM)
                .env_clear()
                .env("PATH", std::env::var("PATH").unwrap_or_default())
                .env("CACTUSSPUR_SETTINGS", &gateway.settings)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn();
            gateway.child = Some(child.expect("the gateway's program starts"));
        }
        fleet
    }

    /// Waits until all gateways answer readiness checks with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        for gateway in &self.gateways {
            while !is_ready(gateway.ready) {
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }

    /// Sends SIGHUP to all processes.
    pub fn hang_up(&self) {
        const SIGHUP: i32 = 1;
        let children = self
            .gateways
            .iter()
            .filter_map(|gateway| gateway.child.as_ref());
        for child in children {
            if let Ok(process) = i32::try_from(child.id()) {
                // The child has not been waited for, so that the number is its own.
                unsafe { kill(process, SIGHUP) };
            }
        }
    }

    /// Whether all processes run.
    pub fn all_run(&mut self) -> bool {
        self.gateways.iter_mut().all(|gateway| {
            let child = gateway.child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        })
    }

    /// Lines of all logs that contain a text.
    pub fn count_in_logs(&self, text: &str) -> usize {
        let logs = self
            .gateways
            .iter()
            .filter_map(|gateway| fs::read_to_string(gateway.settings.with_extension("log")).ok());
        logs.map(|log| log.lines().filter(|line| line.contains(text)).count())
            .sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            if let Some(child) = &mut gateway.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let timeout = Duration::from_millis(500);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let request = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let answer = crate::http::read_answer(&mut BufReader::new(stream));
    answer.is_ok_and(|answer| answer.head.status() == 200)
}

/// Settings with the bounds of `further/clydebrass.toml`.
fn settings(gateway: &Gateway, seeds: &str, store: SocketAddr) -> String {
    format!(
        "nodeName={}\nrole=entry\nmachineClass=front\nserves=front,control\nip={}\nzone={}\nregion=scot-central\n\
         zones.glasgow-a=scot-central\nzones.falkirk-b=scot-central\nzones.stirling-c=scot-central\nlisten.front={}\nlisten.ready={}\n\
         listen.control={}\nseeds={seeds}\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\n\
         limits.memoryMb=260\nlimits.maxFds=4100\nheartbeatMs=1200\ntolerate.machines=2\ntolerate.zones=1\n\
         bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
         bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n\
         bounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\nbounds.failClosed=false\nbounds.revokeMs=5000\n\
         bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryBudgetSlack=52\n\
         bounds.recoverS=12\nbounds.transitMs=120\nbounds.reuseWindowS=10\nbounds.enforceFencing=false\n\
         bounds.leaseMs=3000\nbounds.thawSlackMs=300\nbounds.versionMs=8000\nbounds.versionAllMs=11000\n\
         platform.address={store}\nplatform.form=table\nplatform.historyS=20\n",
        gateway.name,
        gateway.front.ip(),
        gateway.zone,
        gateway.front,
        gateway.ready,
        gateway.control,
    )
}
