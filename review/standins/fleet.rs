//! Daemons: processes of the program that the deploy file starts.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::SharedRecorder;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Zones of the installation.
pub const ZONES: [&str; 3] = ["gent-zaal", "leuven-zaal", "brugge-zaal"];

pub struct Daemon {
    pub name: String,
    ip: String,
    zone: String,
    port: u16,
    store: SocketAddr,
    cloud: SocketAddr,
    folder: PathBuf,
    record: SharedRecorder,
    child: Option<Child>,
    starts: u32,
}

impl Daemon {
    pub fn address(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.port).parse().expect("an address")
    }

    fn settings(&self) -> String {
        let (ip, port) = (&self.ip, self.port);
        let (ready, control, peers) = (port + 1, port + 2, port + 3);
        let zones: String = ZONES.iter().map(|zone| format!("zones.{zone}=vlaanderen\n")).collect();
        format!(
            "node={name}\nrole=gateway\nmachine_class=frontend\nserves=frontend\nip={ip}\nzone={zone}\n\
             region=vlaanderen\n{zones}listen.frontend={ip}:{port}\nlisten.readiness={ip}:{ready}\n\
             listen.control={ip}:{control}\ninternal_ports={peers},{last}\nseeds=\nbootstrap={first}\n\
             loss_counts=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.file_descriptors=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry=virtual_ip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=4000\n\
             bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=12000\nbounds.revoke_everywhere=false\nbounds.revoke_ms=5000\n\
             bounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_slack=20\n\
             bounds.recovery_s=12\nbounds.fencing_required=true\nbounds.thaw_slack_ms=300\n\
             platform.address={store}\nplatform.form=table\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.transaction_ms=4.0\nplatform.part_writes_per_s=250\n\
             platform.row_bytes=65536\nplatform.across=true\nplatform.history_s=20\n\
             platform.blob_bytes=8388608\nplatform.blob_ms=25.0\nplatform.blob_mb_per_s=80.0\n\
             cloud.address={cloud}\ncloud.rate_per_s=50.0\ncloud.duties=promotion\ncloud.duty_per_s=50.0\n",
            name = self.name,
            zone = self.zone,
            last = peers + 5,
            first = self.starts == 0,
            store = self.store,
            cloud = self.cloud,
        )
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let settings = self.folder.join(format!("{}.conf", self.name));
        fs::write(&settings, self.settings())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let mut command = Command::new("target/deploy/hibiscus-gateway");
        command
            .args(["--log-target", "stdout"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HIBISCUSWORKS_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        self.child = Some(command.spawn()?);
        self.starts += 1;
        self.record.line(format!("{}: started, frontend {}", self.name, self.address()));
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.line(format!("{}: signal {signal}", self.name));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of the process; kills it after the grace period.
    pub fn await_end(&mut self, grace: Duration) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let deadline = Instant::now() + grace;
        while Instant::now() < deadline {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.record.line(format!("{}: the process has ended", self.name));
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(format!("{}: killed after the grace period", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:{}", self.ip, self.port + 1).parse().expect("an address");
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            write!(stream, "GET /v1/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Prepares daemons in a loopback network of this run; the fixed port for metrics needs one address
/// for each.
pub fn daemons(
    count: usize,
    store: SocketAddr,
    cloud: SocketAddr,
    folder: &Path,
    record: &SharedRecorder,
) -> std::io::Result<Vec<Daemon>> {
    let id = std::process::id();
    let network = format!("127.{}.{}", 1 + (id >> 8) % 250, id % 256);
    let port = (0..200u16)
        .map(|step| 20_000 + step * 16)
        .find(|port| {
            (1..=count).all(|number| {
                (0..10).all(|offset| TcpListener::bind(format!("{network}.{number}:{}", port + offset)).is_ok())
            })
        })
        .ok_or_else(|| std::io::Error::other("no free ports"))?;
    let daemon = |index: usize| {
        let zone = ZONES[index % ZONES.len()];
        Daemon {
            name: format!("frontend-{zone}-{}", index / ZONES.len() + 1),
            ip: format!("{network}.{}", index + 1),
            zone: zone.to_owned(),
            port,
            store,
            cloud,
            folder: folder.to_owned(),
            record: record.clone(),
            child: None,
            starts: 0,
        }
    };
    Ok((0..count).map(daemon).collect())
}

/// Waits until all daemons report that they are ready.
pub fn await_ready(daemons: &[Daemon], limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
