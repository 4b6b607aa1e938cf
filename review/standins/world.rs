//! Small installation: store, promotion service, databases and daemons.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, thread};

use crate::fleet::{Daemon, ZONES, await_ready, daemons};
use crate::json::Json;
use crate::member::{Service, ServiceSettings};
use crate::record::SharedRecorder;
use crate::store::Store;

/// Call of `POST /promotion` that was answered.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub service: String,
    pub holder: String,
    pub token: u64,
    pub status: u16,
}

/// Reaction to an accepted promotion: service and named member.
pub type PromotionHook = Box<dyn Fn(&Arc<Service>, &str) + Send + Sync>;

pub struct World {
    pub store: Arc<Store>,
    pub services: Vec<Arc<Service>>,
    pub daemons: Vec<Daemon>,
    pub promotions: Arc<Mutex<Vec<Promotion>>>,
    pub record: SharedRecorder,
    cloud_down: Arc<Mutex<bool>>,
    folder: PathBuf,
}

impl World {
    /// Starts everything and waits until all daemons are ready.
    pub fn start(
        services: Vec<ServiceSettings>,
        daemon_count: usize,
        record: &SharedRecorder,
        hook: Option<PromotionHook>,
    ) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("hibiscus-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(failed)?;
        let (store, rows_address, cloud_address) = Store::start(record.clone()).map_err(failed)?;
        let mut started = Vec::new();
        for settings in services {
            let service =
                Service::start(settings, &ZONES, store.clone(), record.clone()).map_err(failed)?;
            started.push(service);
        }
        let promotions = Arc::new(Mutex::new(Vec::new()));
        let cloud_down = Arc::new(Mutex::new(false));
        let (groups, accepted, is_down) = (started.clone(), promotions.clone(), cloud_down.clone());
        store.set_promotion_handler(Box::new(move |service, id, holder, token| {
            if *is_down.lock().unwrap() {
                return None;
            }
            let status = answer_promotion(&groups, &accepted, (service, id), token, &hook);
            accepted.lock().unwrap().push(Promotion {
                service: service.to_owned(),
                holder: holder.to_owned(),
                token,
                status,
            });
            Some(status)
        }));
        let mut daemons =
            daemons(daemon_count, rows_address, cloud_address, &folder, record).map_err(failed)?;
        let world_config = config(1, &started, &["key-1", "key-2"]);
        store.put("op", "config", Some(&world_config));
        for daemon in &mut daemons {
            daemon.start().map_err(failed)?;
        }
        let world = Self {
            store,
            services: started,
            daemons,
            promotions,
            record: record.clone(),
            cloud_down,
            folder,
        };
        match await_ready(&world.daemons, Duration::from_secs(15)) {
            true => Ok(world),
            false => Err(format!("not all daemons became ready; logs in {}", world.folder.display())),
        }
    }

    /// Publishes a manifest as the operator does; returns the time of the ack in milliseconds.
    pub fn publish(&self, version: u64, keys: &[&str]) -> Option<u128> {
        let row = self.store.put("op", "config", Some(&config(version, &self.services, keys)))?;
        let at = self.record.now_ms();
        self.record.line(format!("operator: manifest version={version} keys={keys:?} acked, row version {row}"));
        Some(at)
    }

    /// Takes the promotion service down, or brings it back.
    pub fn set_cloud_down(&self, is_down: bool) {
        *self.cloud_down.lock().unwrap() = is_down;
        self.record.line(format!("platform: the promotion service is down: {is_down}"));
    }

    /// Returns holder and number in the row of the promotion lease.
    pub fn lease(&self) -> Option<(String, u64)> {
        let lease = Json::parse(&self.store.text("hibiscus-leases", "promotion")?)?;
        Some((lease.text("holder"), lease.number("token")?))
    }

    pub fn index_of(&self, daemon: &str) -> Option<usize> {
        self.daemons.iter().position(|known| known.name == daemon)
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.daemons[index].address()
    }

    pub fn wait_for(&self, what: &str, limit: Duration, condition: impl Fn(&Self) -> bool) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if condition(self) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("not seen in {} ms: {what}", limit.as_millis()))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Answers a promotion as PROTOCOL.md tells: 409 for a number lower than one seen for the same subject.
fn answer_promotion(
    services: &[Arc<Service>],
    earlier: &Mutex<Vec<Promotion>>,
    (name, id): (&str, &str),
    token: u64,
    hook: &Option<PromotionHook>,
) -> u16 {
    let Some(service) = services.iter().find(|service| service.settings.name == name) else {
        return 404;
    };
    let seen = earlier.lock().unwrap().iter().filter(|call| call.service == name).map(|call| call.token).max();
    if seen.is_some_and(|seen| token < seen) || !service.has_member(id) {
        return 409;
    }
    if service.primary() != id {
        service.promote_later(id);
        if let Some(hook) = hook {
            hook(service, id);
        }
    }
    200
}

/// Manifest with three routes to each service; figures as those of the installation `vdbv-pool`.
fn config(version: u64, services: &[Arc<Service>], keys: &[&str]) -> String {
    let mut routes = Vec::new();
    let mut entries = Vec::new();
    for service in services {
        let settings = &service.settings;
        let name = &settings.name;
        for (kind, timeout, target, staleness, priority) in [
            ("primary", 1_500, 150, 0, 1),
            ("bounded_staleness", 5_000, 500, 1_500, 2),
            ("read_your_writes", 1_500, 250, 2_500, 2),
        ] {
            routes.push(format!(
                "{{\"name\":\"r-{name}-{kind}\",\"host\":\"{name}-{kind}\",\"prefix\":\"/\",\"kind\":\"{kind}\",\
                 \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":{priority},\
                 \"service\":\"{name}\",\"max_attempts\":2,\"max_staleness_ms\":{staleness},\"public\":false}}"
            ));
        }
        entries.push(format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":{},\"protocol\":\"h1\",\
             \"tls\":false,\"sync_replicas\":{}}}",
            settings.max_connections, settings.sync_replicas
        ));
    }
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"transaction_idle_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"gent-dans\",\"api_keys\":[{}],\"priority\":1,\"rate_per_s\":1000,\"burst\":1000}}]}}",
        routes.join(","),
        entries.join(","),
        keys.join(",")
    )
}
