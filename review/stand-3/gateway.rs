//! Processes of the system, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::sleep_ms;

/// Identifiers of the processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends what a run that takes too long has started.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for process in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
        }
        eprintln!("not run: the run took too long");
        std::process::exit(2);
    });
}

/// Addresses of a run, on a loopback network of its own.
#[derive(Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    pub fn new() -> Self {
        let id = std::process::id();
        let salt = crate::group::unix_ms();
        Self(16 + (id % 200) as u8, (salt % 250) as u8)
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, self.1, host), port))
    }
}

pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    readiness: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    child: Child,
}

pub struct GatewaySettings<'a> {
    pub network: Network,
    pub host: u8,
    pub zone: &'a str,
    pub first_start: bool,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

impl GatewaySettings<'_> {
    fn text(&self) -> String {
        let ip = self.network.address(self.host, 0).ip();
        format!(
            "node=frontend-{host}\nrole=gateway\nmachine_class=frontend\nserves=frontend\nip={ip}\n\
             zone={zone}\nregion=coast\nzones.zone-a=coast\nzones.zone-b=coast\nzones.zone-c=coast\n\
             listen.frontend={ip}:8465\nlisten.readiness={ip}:8460\nlisten.control={ip}:8462\n\
             internal_ports=7560,7575\nseeds={ip}:8462\nbootstrap={first}\nloss_counts=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.file_descriptors=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=4000\n\
             bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=12000\nbounds.revoke_everywhere=false\nbounds.revoke_ms=5000\n\
             bounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_slack=20\n\
             bounds.recovery_s=12\nbounds.fencing_required=true\nbounds.thaw_slack_ms=300\n\
             platform.address={store}\nplatform.form=table\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.transaction_ms=4.0\n\
             platform.part_writes_per_s=250\nplatform.row_bytes=65536\nplatform.across=true\n\
             platform.history_s=20\ncloud.address={cloud}\ncloud.rate_per_s=50.0\n\
             cloud.duties=promotion\ncloud.duty_per_s=50.0\n",
            host = self.host,
            zone = self.zone,
            first = self.first_start,
            store = self.store,
            cloud = self.cloud,
        )
    }
}

impl Gateway {
    pub fn start(
        program: &Path,
        folder: &Path,
        settings: &GatewaySettings<'_>,
    ) -> std::io::Result<Self> {
        let name = format!("frontend-{}", settings.host);
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings.text())?;
        let child = spawn(program, folder, &name)?;
        let port = |port| settings.network.address(settings.host, port);
        Ok(Self {
            name,
            address: port(8465),
            readiness: port(8460),
            program: program.to_owned(),
            folder: folder.to_owned(),
            child,
        })
    }

    /// Starts the process again after it was killed, as the platform does; the system as a whole
    /// does not start for the first time.
    pub fn restart(&mut self) -> std::io::Result<()> {
        let path = self.folder.join(format!("{}.conf", self.name));
        let text = fs::read_to_string(&path)?.replace("bootstrap=true", "bootstrap=false");
        fs::write(&path, text)?;
        self.child = spawn(&self.program, &self.folder, &self.name)?;
        Ok(())
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let process = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().unwrap().retain(|known| *known != process);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let limit = Duration::from_millis(500);
            let mut stream = TcpStream::connect_timeout(&self.readiness, limit)?;
            stream.set_read_timeout(Some(limit))?;
            stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer)?;
            Ok(answer.ends_with(b"200"))
        };
        ask().unwrap_or(false)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, folder: &Path, name: &str) -> std::io::Result<Child> {
    let path = folder.join(format!("{name}.log"));
    let log = File::options().create(true).append(true).open(path)?;
    let child = Command::new(program)
        .args(["--log-target", "stdout"])
        .env("HIBISCUSWORKS_CONFIG", folder.join(format!("{name}.conf")))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    PROCESSES.lock().unwrap().push(child.id());
    Ok(child)
}

/// Waits until all processes are ready.
pub fn wait_until_ready(gateways: &[Gateway]) -> Result<(), String> {
    let started_at = Instant::now();
    while !gateways.iter().all(Gateway::is_ready) {
        if started_at.elapsed() > Duration::from_secs(15) {
            return Err("the instances do not get ready".to_owned());
        }
        sleep_ms(50);
    }
    Ok(())
}
