//! Process of an instance under test.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::document::DOCUMENT_BOUND;
use crate::planned_stop::GRACE_PERIOD;
use crate::run::EVACUATION_BOUND;

/// Configuration of an instance: its addresses and its availability zone.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Number of the instance, from one; the last octet of its IP address.
    pub number: u8,
    /// First three octets of its IP address; concurrent runs use different ones.
    pub network: [u8; 3],
    /// Availability zone.
    pub zone: String,
    /// Address at which this instance reaches the platform's services.
    pub store: SocketAddr,
    /// First of three consecutive ports: callers, readiness and other instances.
    pub base_port: u16,
    /// Kinds of load that the instance is prepared for, as in the setting `contracts`.
    pub contracts: String,
}

impl InstanceConfig {
    /// Returns the address on which the instance serves callers.
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip(), self.base_port))
    }

    /// Returns the name under which the instance registers.
    pub(crate) fn name(&self) -> String {
        format!("instance-{}", self.number)
    }

    fn ip(&self) -> [u8; 4] {
        let [first, second, third] = self.network;
        [first, second, third, self.number]
    }

    fn settings_text(&self, first_start: bool) -> String {
        let ip = std::net::Ipv4Addr::from(self.ip());
        let (callers, ready, peers) = (self.base_port, self.base_port + 1, self.base_port + 2);
        format!(
            "node={name}\nzone={zone}\nip={ip}\nlisten.frontend={ip}:{callers}\n\
             listen.readiness={ip}:{ready}\ninternal_ports={peers},{peers}\n\
             bootstrap={first_start}\nplatform.address={store}\ncloud.address={store}\n\
             bounds.grace_s={grace}\nbounds.drain_ms=5000\nbounds.config_apply_ms={document_bound}\nbounds.quota_window_s=5\n\
             bounds.quota_overage=0.1\nbounds.quota_slack=20\n\
             bounds.evacuation_ms={evacuation_bound}\ncontracts=base,{contracts}\n",
            contracts = self.contracts,
            name = self.name(),
            zone = self.zone,
            store = self.store,
            grace = GRACE_PERIOD.as_secs(),
            document_bound = DOCUMENT_BOUND.as_millis(),
            evacuation_bound = EVACUATION_BOUND.as_millis(),
        )
    }
}

/// Process of an instance.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Configuration of the instance.
    pub config: InstanceConfig,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    start_count: u32,
}

impl InstanceProcess {
    /// Creates a stopped instance; its log and settings file are written to `folder`.
    pub fn new(config: InstanceConfig, program: &Path, folder: &Path) -> Self {
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Self { config, program, folder, child: None, start_count: 0 }
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let name = self.config.name();
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, self.config.settings_text(self.start_count == 0))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&settings)
            .arg("--log-target")
            .arg("stdout")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.start_count += 1;
        Ok(())
    }

    /// Sends a signal to the process; does nothing if it is not running.
    pub fn send_signal(&self, signal: Signal) -> std::io::Result<()> {
        let id = self.child.as_ref().and_then(Child::id);
        let id = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        match id {
            Some(id) => Ok(kill_process(id, signal)?),
            None => Ok(()),
        }
    }

    /// Waits until the process has exited.
    pub async fn wait_for_exit(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The exit status of a process that was sent a signal is irrelevant.
            let _ = child.wait().await;
        }
    }

    /// Returns whether the process has exited without being stopped by the run.
    pub fn has_exited_unexpectedly(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}
