//! The daemon's own settings file.

use std::net::SocketAddr;
use std::time::Duration;

use common::Name;

use crate::quantity::Span;
use crate::reader::{Faults, Node, Object, read};

common::data! {
    /// All that one daemon is told at start.
    pub struct Daemon {
        /// Its name among the members.
        pub member: Name,
        /// The cell that it serves.
        pub cell: Name,
        /// The failure domain that it runs in.
        pub domain: Name,
        /// Where it listens for other daemons; port 0 lets the system choose.
        pub peer_address: SocketAddr,
        /// Where it listens for callers; port 0 lets the system choose.
        pub http_address: SocketAddr,
        /// The platform's endpoints.
        pub platform: Platform,
        /// Bounds on what it takes in.
        pub bounds: Bounds,
        /// Budgets for what it sends.
        pub budgets: Budgets,
        /// Intervals and leases.
        pub timing: Timing,
        /// Number of partitions; the same on every daemon of a cell for ever.
        pub partitions: u32,
        /// Base URL of an OTLP collector for traces.
        pub otlp: Option<Name>,
    }

    /// Base URLs of the platform's services.
    #[derive(Default)]
    pub struct Platform {
        /// The transactional table.
        pub table: Name,
        /// The object store.
        pub objects: Name,
        /// The workers' leases and tasks.
        pub workers: Name,
        /// The executors of the services.
        pub executors: Name,
        /// The list of live and leaving VMs.
        pub fleet: Name,
    }

    /// Bounds on what a daemon takes in.
    pub struct Bounds {
        /// Largest body of a caller's request, in bytes.
        pub body: usize,
        /// Callers' requests in progress at once.
        pub open: usize,
        /// Patient requests kept in one partition.
        pub kept: usize,
        /// Quick requests waiting for a slot.
        pub waiting: usize,
        /// Longest wait on one connection.
        pub wait: Duration,
        /// Executor calls in progress at once.
        pub calls: usize,
    }

    /// Budgets for what a daemon sends, all per second.
    pub struct Budgets {
        /// Rows written to the table by the whole cell.
        pub table_writes: u32,
        /// Rows read from the table by the whole cell.
        pub table_reads: u32,
        /// Bytes of digests to all peers.
        pub digest_bytes: u32,
        /// Retries of calls to peers and workers.
        pub retries: u32,
    }

    /// Intervals and leases.
    pub struct Timing {
        /// Between renewals of the member row.
        pub renew: Duration,
        /// How long a member row holds after its last renewal.
        pub lease: Duration,
        /// Lease of a task on a worker.
        pub task_lease: Duration,
        /// Between renewals of the tasks' leases on one worker.
        pub task_renew: Duration,
        /// Oldest confirmation of the settings with which a daemon still decides.
        pub confirm: Duration,
        /// Longest graceful stop.
        pub stop: Duration,
    }
}

const DEFAULT_BOUNDS: Bounds = Bounds {
    body: 256 * 1024,
    open: 4096,
    kept: 100_000,
    waiting: 4096,
    wait: Duration::from_mins(1),
    calls: 256,
};

const DEFAULT_BUDGETS: Budgets =
    Budgets { table_writes: 270, table_reads: 900, digest_bytes: 12_000, retries: 50 };

const DEFAULT_TIMING: Timing = Timing {
    renew: Duration::from_secs(1),
    lease: Duration::from_millis(3500),
    task_lease: Duration::from_secs(15),
    task_renew: Duration::from_secs(1),
    confirm: Duration::from_secs(6),
    stop: Duration::from_secs(30),
};

/// Partitions of a cell where the file names no number.
pub const DEFAULT_PARTITIONS: u32 = 24;

impl Daemon {
    /// Reads a daemon's settings file.
    ///
    /// # Errors
    ///
    /// Every fault with its place.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        read(text, read_daemon)
    }
}

const KEYS: [&str; 11] = [
    "member",
    "cell",
    "domain",
    "peer_address",
    "http_address",
    "platform",
    "bounds",
    "budgets",
    "timing",
    "partitions",
    "otlp",
];

fn read_daemon(root: Node<'_>) -> Daemon {
    let object = root.object(&KEYS);
    Daemon {
        member: object.name("member"),
        cell: object.name("cell"),
        domain: object.name("domain"),
        peer_address: read_address(&object, "peer_address"),
        http_address: read_address(&object, "http_address"),
        platform: object.need("platform").map(read_platform).unwrap_or_default(),
        bounds: object.get("bounds").map_or(DEFAULT_BOUNDS, read_bounds),
        budgets: object.get("budgets").map_or(DEFAULT_BUDGETS, read_budgets),
        timing: object.get("timing").map_or(DEFAULT_TIMING, read_timing),
        partitions: object.whole_or("partitions", 1..=1024, u64::from(DEFAULT_PARTITIONS)) as u32,
        otlp: object.get("otlp").map(read_url),
    }
}

fn read_address(object: &Object<'_>, key: &str) -> SocketAddr {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    let Some(node) = object.need(key) else {
        return unset;
    };
    node.string().parse().unwrap_or_else(|_bad| {
        node.fault("expected an IP address and a port, such as 10.0.0.1:7100");
        unset
    })
}

fn read_url(node: Node<'_>) -> Name {
    let text = node.string();
    let rest = text.strip_prefix("http://").unwrap_or("");
    if rest.is_empty() {
        node.fault("expected a URL that starts with http://");
    }
    Name::new(text.trim_end_matches('/'))
}

fn read_platform(node: Node<'_>) -> Platform {
    let object = node.object(&["table", "objects", "workers", "executors", "fleet"]);
    let url = |key| object.need(key).map(read_url).unwrap_or_default();
    Platform {
        table: url("table"),
        objects: url("objects"),
        workers: url("workers"),
        executors: url("executors"),
        fleet: url("fleet"),
    }
}

fn read_bounds(node: Node<'_>) -> Bounds {
    let object = node.object(&["body", "open", "kept", "waiting", "wait", "calls"]);
    let default = DEFAULT_BOUNDS;
    let count = |key, most, default: usize| object.whole_or(key, 1..=most, default as u64) as usize;
    Bounds {
        body: count("body", 2 * 1024 * 1024, default.body),
        open: count("open", 100_000, default.open),
        kept: count("kept", 10_000_000, default.kept),
        waiting: count("waiting", 1_000_000, default.waiting),
        wait: span(&object, "wait", default.wait),
        calls: count("calls", 2048, default.calls),
    }
}

fn read_budgets(node: Node<'_>) -> Budgets {
    let object = node.object(&["table_writes", "table_reads", "digest_bytes", "retries"]);
    let rate = |key, default| object.whole_or(key, 1..=1_000_000, u64::from(default)) as u32;
    Budgets {
        table_writes: rate("table_writes", DEFAULT_BUDGETS.table_writes),
        table_reads: rate("table_reads", DEFAULT_BUDGETS.table_reads),
        digest_bytes: rate("digest_bytes", DEFAULT_BUDGETS.digest_bytes),
        retries: rate("retries", DEFAULT_BUDGETS.retries),
    }
}

fn read_timing(node: Node<'_>) -> Timing {
    let object = node.object(&["renew", "lease", "task_lease", "task_renew", "confirm", "stop"]);
    let default = DEFAULT_TIMING;
    let timing = Timing {
        renew: span(&object, "renew", default.renew),
        lease: span(&object, "lease", default.lease),
        task_lease: span(&object, "task_lease", default.task_lease),
        task_renew: span(&object, "task_renew", default.task_renew),
        confirm: span(&object, "confirm", default.confirm),
        stop: span(&object, "stop", default.stop),
    };
    if timing.lease < timing.renew * 2 {
        node.fault("`lease` must be at least twice `renew`");
    }
    if timing.task_lease < timing.task_renew * 3 {
        node.fault("`task_lease` must be at least three times `task_renew`");
    }
    timing
}

fn span(object: &Object<'_>, key: &str, default: Duration) -> Duration {
    let Some(node) = object.get(key) else {
        return default;
    };
    let length = node.parse::<Span>().0;
    if length.is_zero() {
        node.fault("must be longer than nothing");
    }
    length
}
