//! Stand-in for the users' platform, in its own protocol: store, workers, advice service.
//!
//! It simulates what the adapter's tests and the quickstart need: conditional transactions
//! with versions, change feeds, workers with leases, fencing tokens and lists of ended
//! runs, and an advice service that issues tickets. The spec of a task sets how long it runs.

pub mod event;
mod fault;
mod http;
pub mod job;
mod store;
mod view;
mod worker;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::json;

pub use fault::Fault;
pub use store::Store;
pub use view::{View, serve_view};
pub use worker::{Counts, Worker};

/// Name of the service that the simulated workers belong to.
const SERVICE: &str = "service";

/// Host and path prefix of the queue without advice.
pub const PLAIN: (&str, &str) = ("plain.example", "/plain/");

/// Host and path prefix of the queue whose starts need a ticket.
pub const ADVISED: (&str, &str) = ("advised.example", "/advised/");

/// Held while free ports are found and while a process is started.
///
/// A new process keeps the sockets of its parent open until it executes its program, so that a
/// port that was found free by another thread would still be in use for a moment.
static FORK: Mutex<()> = Mutex::new(());

/// Starts a process.
///
/// # Errors
///
/// The I/O error if it cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _fork = FORK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Finds free ports on 127.0.0.HOST: for callers, readiness check and peers.
///
/// Processes that are started meanwhile by [`spawn`] do not hold them.
///
/// # Errors
///
/// The I/O error if no port can be bound.
pub fn free_ports(host: u8) -> std::io::Result<[u16; 3]> {
    let _fork = FORK.lock().unwrap_or_else(PoisonError::into_inner);
    let address = Ipv4Addr::new(127, 0, 0, host);
    let listeners = [
        TcpListener::bind((address, 0))?,
        TcpListener::bind((address, 0))?,
        TcpListener::bind((address, 0))?,
    ];
    let mut ports = [0; 3];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr()?.port();
    }
    Ok(ports)
}

/// A running stand-in for the users' platform.
#[derive(Debug)]
pub struct Platform {
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address of the advice service.
    pub advice_address: SocketAddr,
    /// Store that holds configuration, servers and daemon state.
    pub store: Arc<Store>,
    /// Workers that the stand-in serves.
    pub workers: Vec<Arc<Worker>>,
    /// Address of each worker.
    addresses: Vec<SocketAddr>,
}

/// Entry of a worker in the store.
fn entry(worker: &Worker, address: SocketAddr, cpu: u32) -> serde_json::Value {
    json!({
        "service": SERVICE, "address": address.to_string(), "zone": "zone-a",
        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        "capacity": {"cpu": cpu, "mem_mb": 64_000, "gpus": 0},
        "labels": ["a", "r1"], "sequence": 1, "born": worker.started_unix_ms(),
    })
}

impl Platform {
    /// Starts a store, an advice service and workers of `cpu` thousandths of a core.
    ///
    /// # Errors
    ///
    /// The I/O error if no port can be bound.
    pub fn start(workers: usize, cpu: u32) -> std::io::Result<Self> {
        let store = Arc::new(Store::default());
        store.put("op", "config", &config(1, &[]));
        let store_address = serve_view(&store, Arc::new(view::Plain))?;
        let advice_address = http::serve(advise)?;
        let mut started = Vec::new();
        for number in 0..workers {
            let worker = Arc::new(Worker::new(format!("i-{number}"), cpu));
            let address = worker.serve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            store.put("servers", worker.id(), &entry(&worker, address, cpu));
            started.push((worker, address));
        }
        let (workers, addresses) = started.into_iter().unzip();
        Ok(Self { store_address, advice_address, store, workers, addresses })
    }

    /// Changes the capacity of a worker and of its entry, in thousandths of a core.
    pub fn set_cpu(&self, worker: usize, cpu: u32) {
        let (worker, address) = (&self.workers[worker], self.addresses[worker]);
        worker.set_cpu(cpu);
        self.store.put("servers", worker.id(), &entry(worker, address, cpu));
    }

    /// Writes a version of the configuration in which workspaces have keys; calls need none if there
    /// are no workspaces.
    pub fn set_workspaces(&self, version: u64, workspaces: &[Workspace<'_>]) {
        self.store.put("op", "config", &config(version, workspaces));
    }

    /// Text of the settings file for a daemon on 127.0.0.HOST.
    pub fn settings(&self, name: &str, host: u8, ports: [u16; 3]) -> String {
        let ip = IpAddr::from(Ipv4Addr::new(127, 0, 0, host));
        let [callers, readiness, peers] = ports;
        format!(
            r#"node_name = "{name}"
ip = "{ip}"
zone = "zone-a"
internal_ports = [{peers}, {peers}]
hint = "{advice}"
[listen_addrs]
frontend = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
[bounds]
max_hold_ms = 10000
stop_timeout_ms = 400
status_s = 120
grace_s = 6
[platform]
address = "{store}"
txn_latency_ms = 8.0
row_bytes = 65536
"#,
            advice = self.advice_address,
            store = self.store_address,
        )
    }

    /// Sum of the counters of all workers.
    pub fn counts(&self) -> Counts {
        let mut sum = Counts::default();
        for worker in &self.workers {
            sum.add(&worker.counts());
        }
        sum
    }
}

/// Name of a workspace, and its keys.
pub type Workspace<'a> = (&'a str, &'a [&'a str]);

/// Entries of workspaces in a configuration, of equal weight and without limits.
pub fn tenants(workspaces: &[Workspace<'_>]) -> serde_json::Value {
    let tenant = |(name, keys): &Workspace<'_>| {
        json!({"name": name, "api_keys": keys, "priority": 0, "weight": 1,
            "max_count": {"cpu": 0, "mem_mb": 0, "gpus": 0}})
    };
    workspaces.iter().map(tenant).collect()
}

/// Configuration with one queue without advice and one with advice.
fn config(version: u64, workspaces: &[Workspace<'_>]) -> serde_json::Value {
    let hint = json!({"decision_ms": 7.0, "period_ms": 0.1, "validity_ms": 1500});
    let route = |name: &str, (host, prefix): (&str, &str), hint: serde_json::Value| {
        json!({
            "name": name, "host": host, "path_prefix": prefix, "type": "non_idempotent",
            "timeout_ms": 3000, "target_runtime_ms": 250, "priority": 0, "service": SERVICE,
            "max_attempts": 2, "stretch": 1.5, "hint": hint,
        })
    };
    let plain = route("plain", PLAIN, serde_json::Value::Null);
    json!({
        "version": version, "routes": [plain, route("advised", ADVISED, hint)], "services": [],
        "tenants": tenants(workspaces),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}

/// Allows every worker, with a ticket that contains the step.
fn advise(request: &http::Request) -> http::Reply {
    let step = request.body["step"].as_str().unwrap_or_default();
    let workers = request.body["workers"].as_array().cloned().unwrap_or_default();
    let allowed: Vec<_> =
        workers.iter().map(|worker| json!([worker, format!("ticket {step}")])).collect();
    (200, json!({"allowed": allowed, "validity_ms": 1500}))
}
