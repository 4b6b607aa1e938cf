//! Processes of the project's gateway, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::Platform;

/// Command of the deploy file.
const PROGRAM: &str = "target/deploy/hibiscus-gateway";
const ARGUMENTS: [&str; 2] = ["--log-target", "stdout"];
/// Port of the metrics, as the deploy file states it.
const METRICS_PORT: u16 = 9464;
/// Time within which an instance is ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Bounds in the settings, those of the small installations.
pub const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
pub const DRAIN: Duration = Duration::from_millis(7_000);

/// Instance of the gateway.
pub struct Gateway {
    name: String,
    zone: String,
    ip: Ipv4Addr,
    base_port: u16,
    folder: PathBuf,
    child: Option<Child>,
}

/// Instances of one run.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a number of instances and waits until they are ready.
    pub fn start(count: usize, platform: &Platform) -> Option<Self> {
        Self::start_of(count, count, platform)
    }

    /// Starts the first `running` of `count` instances and waits until they are ready.
    pub fn start_of(count: usize, running: usize, platform: &Platform) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("hibiscus-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let (network, base_port) = free_network(count)?;
        let gateways = (0..count).map(|index| Gateway {
            name: format!("frontend-{index}"),
            zone: format!("zone-{}", index % 3),
            ip: Ipv4Addr::new(network[0], network[1], network[2], index as u8 + 1),
            base_port,
            folder: folder.clone(),
            child: None,
        });
        let mut fleet = Self { gateways: gateways.collect(), folder: folder.clone() };
        for gateway in &mut fleet.gateways[..running] {
            gateway.start(platform).ok()?;
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        while !fleet.gateways[..running].iter().all(Gateway::is_ready) {
            if Instant::now() > deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Some(fleet)
    }

    /// Returns the addresses for consumers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(Gateway::caller_address).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What remains lies in the temporary folder.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Gateway {
    /// Starts the process.
    pub fn start(&mut self, platform: &Platform) -> std::io::Result<()> {
        let settings = self.folder.join(format!("{}.conf", self.name));
        fs::write(&settings, self.settings_text(platform))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(Path::new(PROGRAM))
            .args(ARGUMENTS)
            .env("HIBISCUSWORKS_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn settings_text(&self, platform: &Platform) -> String {
        let (name, zone, ip, port) = (&self.name, &self.zone, self.ip, self.base_port);
        let (ready, control) = (port + 1, port + 2);
        let (first_peer, last_peer) = (port + 3, port + 4);
        format!(
            "node={name}\nrole=gateway\nmachine_class=frontend\nserves=frontend\nip={ip}\n\
             zone={zone}\nregion=r\nzones.zone-0=r\nzones.zone-1=r\nzones.zone-2=r\n\
             listen.frontend={ip}:{port}\nlisten.readiness={ip}:{ready}\n\
             listen.control={ip}:{control}\ninternal_ports={first_peer},{last_peer}\n\
             seeds=\nbootstrap=true\nloss_counts=false\nlimits.cpu_share=0.25\n\
             limits.cores=1\nlimits.memory_mb=260\nlimits.file_descriptors=4200\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry=virtual_ip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=4000\n\
             bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms={drain}\n\
             bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms={apply}\n\
             bounds.rollback_slack_ms=250\nbounds.max_skew_ms=12000\n\
             bounds.revoke_everywhere=false\nbounds.revoke_ms=5000\nbounds.quota_window_s=5\n\
             bounds.quota_overage=0.1\nbounds.quota_slack=20\nbounds.recovery_s=12\n\
             bounds.fencing_required=true\nbounds.thaw_slack_ms=300\n\
             platform.address={store}\nplatform.form=table\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.transaction_ms=4.0\n\
             platform.part_writes_per_s=250\nplatform.row_bytes=65536\nplatform.across=true\n\
             platform.history_s=20\ncloud.address={promotion}\ncloud.rate_per_s=50.0\n\
             cloud.duties=promotion\ncloud.duty_per_s=50.0\n",
            drain = DRAIN.as_millis(),
            apply = CONFIG_APPLY.as_millis(),
            store = platform.store_address,
            promotion = platform.promotion_address,
        )
    }

    /// Returns the address for consumers.
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.base_port))
    }

    /// Returns whether the instance answers the readiness probe with 200.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, self.base_port + 1));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500))
        else {
            return false;
        };
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.set_read_timeout(Some(Duration::from_millis(500))).is_ok()
            && stream.write_all(request).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a loopback network and five consecutive ports that are free on its first addresses.
fn free_network(count: usize) -> Option<([u8; 3], u16)> {
    let id = std::process::id();
    for attempt in 0..200 {
        let seed = id.wrapping_add(attempt * 7_919);
        let network = [127, (seed % 200) as u8 + 20, (seed / 200 % 250) as u8 + 1];
        let base_port = 21_000 + (seed % 4_000) as u16 * 5;
        let is_free = |index: usize| {
            let ip = Ipv4Addr::new(network[0], network[1], network[2], index as u8 + 1);
            let ports = (base_port..base_port + 5).chain([METRICS_PORT]);
            ports.into_iter().all(|port| TcpListener::bind((ip, port)).is_ok())
        };
        if (0..count).all(is_free) {
            return Some((network, base_port));
        }
    }
    None
}
