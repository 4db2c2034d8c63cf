//! The settings file of one daemon.

use std::net::SocketAddr;
use std::time::Duration;

use common::Name;

use crate::quantity::DurationText;
use crate::reader::{Node, Object, ParseErrors, parse_jsonc};

common::data! {
    /// Settings that a daemon reads at startup.
    pub struct Daemon {
        /// Member name of the daemon.
        pub member: Name,
        /// Name of the cell that it serves.
        pub cell: Name,
        /// Failure domain that it runs in.
        pub domain: Name,
        /// Listen address for other daemons; port 0 selects a free port.
        pub peer_address: SocketAddr,
        /// Listen address for callers; port 0 selects a free port.
        pub http_address: SocketAddr,
        /// Base URLs of the platform's services.
        pub platform: PlatformUrls,
        /// Limits on what it accepts from callers.
        pub bounds: Limits,
        /// Rate limits on what it sends.
        pub budgets: RateLimits,
        /// Renewal intervals, lease durations and timeouts.
        pub timing: Timing,
        /// Number of partitions; fixed for the cell and equal on all its daemons.
        pub partition_count: u32,
        /// Base URL of the OTLP collector; `None` if traces are not exported.
        pub otlp_url: Option<Name>,
    }

    /// Base URLs of the platform's services.
    #[derive(Default)]
    pub struct PlatformUrls {
        /// URL of the transactional table.
        pub table: Name,
        /// URL of the object store.
        pub objects: Name,
        /// URL of the workers' task API.
        pub workers: Name,
        /// URL of the services' executors.
        pub executors: Name,
        /// URL of the list of live and leaving VMs.
        pub fleet: Name,
    }

    /// Limits on what a daemon accepts.
    pub struct Limits {
        /// Maximum body size of a caller's request, in bytes.
        pub max_body_bytes: usize,
        /// Maximum number of callers' requests in progress.
        pub max_open_requests: usize,
        /// Maximum number of requests kept in one partition.
        pub max_kept_requests: usize,
        /// Maximum number of quick requests waiting for a slot.
        pub max_waiting_quick: usize,
        /// Maximum time that a caller's request may wait for its result.
        pub max_wait: Duration,
        /// Maximum number of executor calls in progress.
        pub max_executor_calls: usize,
    }

    /// Rate limits on what a daemon sends, all per second.
    pub struct RateLimits {
        /// Table rows written per second by the whole cell.
        pub table_writes_per_s: u32,
        /// Table rows read per second by the whole cell.
        pub table_reads_per_s: u32,
        /// Bytes of digests sent per second to all peers.
        pub digest_bytes_per_s: u32,
        /// Retried calls per second to peers and workers.
        pub retries_per_s: u32,
    }

    /// Renewal intervals, lease durations and timeouts.
    pub struct Timing {
        /// Interval between renewals of the member row.
        pub member_renew_interval: Duration,
        /// Lease duration of a member row; at least twice `member_renew_interval`.
        pub member_lease: Duration,
        /// Lease duration of a task on a worker; at least three times `task_renew_interval`.
        pub task_lease: Duration,
        /// Interval between renewals of the task leases on one worker.
        pub task_renew_interval: Duration,
        /// Maximum age of the last settings confirmation; a daemon makes no decisions beyond it.
        pub max_confirmation_age: Duration,
        /// Timeout of a graceful stop.
        pub stop_timeout: Duration,
    }
}

const DEFAULT_LIMITS: Limits = Limits {
    max_body_bytes: 256 * 1024,
    max_open_requests: 4096,
    max_kept_requests: 100_000,
    max_waiting_quick: 4096,
    max_wait: Duration::from_mins(1),
    max_executor_calls: 256,
};

const DEFAULT_RATE_LIMITS: RateLimits = RateLimits {
    table_writes_per_s: 270,
    table_reads_per_s: 900,
    digest_bytes_per_s: 12_000,
    retries_per_s: 50,
};

const DEFAULT_TIMING: Timing = Timing {
    member_renew_interval: Duration::from_secs(1),
    member_lease: Duration::from_millis(3500),
    task_lease: Duration::from_secs(15),
    task_renew_interval: Duration::from_secs(1),
    max_confirmation_age: Duration::from_secs(6),
    stop_timeout: Duration::from_secs(30),
};

/// Default number of partitions of a cell.
pub const DEFAULT_PARTITIONS: u32 = 24;

impl Daemon {
    /// Parses a daemon's settings file.
    ///
    /// # Errors
    ///
    /// All errors in the text, with their positions.
    pub fn parse(text: &str) -> Result<Self, ParseErrors> {
        parse_jsonc(text, read_daemon)
    }
}

/// Keys at the top level of the file.
const DAEMON_KEYS: [&str; 11] = [
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
    let object = root.read_object(&DAEMON_KEYS);
    Daemon {
        member: object.require_name("member"),
        cell: object.require_name("cell"),
        domain: object.require_name("domain"),
        peer_address: read_address(&object, "peer_address"),
        http_address: read_address(&object, "http_address"),
        platform: object.require("platform").map(read_platform).unwrap_or_default(),
        bounds: object.get("bounds").map_or(DEFAULT_LIMITS, read_limits),
        budgets: object.get("budgets").map_or(DEFAULT_RATE_LIMITS, read_rate_limits),
        timing: object.get("timing").map_or(DEFAULT_TIMING, read_timing),
        partition_count: object.integer_or("partitions", 1..=1024, u64::from(DEFAULT_PARTITIONS))
            as u32,
        otlp_url: object.get("otlp").map(read_url),
    }
}

fn read_address(object: &Object<'_>, key: &str) -> SocketAddr {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let Some(node) = object.require(key) else {
        return unspecified;
    };
    node.read_string().parse().unwrap_or_else(|_error| {
        node.add_error("expected an IP address and a port, such as 10.0.0.1:7100");
        unspecified
    })
}

/// Reads an `http://` URL and removes trailing slashes.
fn read_url(node: Node<'_>) -> Name {
    let text = node.read_string();
    let authority = text.strip_prefix("http://").unwrap_or("");
    if authority.is_empty() {
        node.add_error("expected a URL that starts with http://");
    }
    Name::new(text.trim_end_matches('/'))
}

fn read_platform(node: Node<'_>) -> PlatformUrls {
    let object = node.read_object(&["table", "objects", "workers", "executors", "fleet"]);
    let url = |key| object.require(key).map(read_url).unwrap_or_default();
    PlatformUrls {
        table: url("table"),
        objects: url("objects"),
        workers: url("workers"),
        executors: url("executors"),
        fleet: url("fleet"),
    }
}

fn read_limits(node: Node<'_>) -> Limits {
    let object = node.read_object(&["body", "open", "kept", "waiting", "wait", "calls"]);
    let default = DEFAULT_LIMITS;
    let count = |key, max, default: usize| object.integer_or(key, 1..=max, default as u64) as usize;
    Limits {
        max_body_bytes: count("body", 2 * 1024 * 1024, default.max_body_bytes),
        max_open_requests: count("open", 100_000, default.max_open_requests),
        max_kept_requests: count("kept", 10_000_000, default.max_kept_requests),
        max_waiting_quick: count("waiting", 1_000_000, default.max_waiting_quick),
        max_wait: duration_or(&object, "wait", default.max_wait),
        max_executor_calls: count("calls", 2048, default.max_executor_calls),
    }
}

fn read_rate_limits(node: Node<'_>) -> RateLimits {
    let object = node.read_object(&["table_writes", "table_reads", "digest_bytes", "retries"]);
    let rate = |key, default| object.integer_or(key, 1..=1_000_000, u64::from(default)) as u32;
    RateLimits {
        table_writes_per_s: rate("table_writes", DEFAULT_RATE_LIMITS.table_writes_per_s),
        table_reads_per_s: rate("table_reads", DEFAULT_RATE_LIMITS.table_reads_per_s),
        digest_bytes_per_s: rate("digest_bytes", DEFAULT_RATE_LIMITS.digest_bytes_per_s),
        retries_per_s: rate("retries", DEFAULT_RATE_LIMITS.retries_per_s),
    }
}

fn read_timing(node: Node<'_>) -> Timing {
    let object =
        node.read_object(&["renew", "lease", "task_lease", "task_renew", "confirm", "stop"]);
    let default = DEFAULT_TIMING;
    let timing = Timing {
        member_renew_interval: duration_or(&object, "renew", default.member_renew_interval),
        member_lease: duration_or(&object, "lease", default.member_lease),
        task_lease: duration_or(&object, "task_lease", default.task_lease),
        task_renew_interval: duration_or(&object, "task_renew", default.task_renew_interval),
        max_confirmation_age: duration_or(&object, "confirm", default.max_confirmation_age),
        stop_timeout: duration_or(&object, "stop", default.stop_timeout),
    };
    if timing.member_lease < timing.member_renew_interval * 2 {
        node.add_error("`lease` must be at least twice `renew`");
    }
    if timing.task_lease < timing.task_renew_interval * 3 {
        node.add_error("`task_lease` must be at least three times `task_renew`");
    }
    timing
}

/// Reads an optional duration, which must be longer than zero.
fn duration_or(object: &Object<'_>, key: &str, default: Duration) -> Duration {
    let Some(node) = object.get(key) else {
        return default;
    };
    let duration = node.parse::<DurationText>().0;
    if duration.is_zero() {
        node.add_error("must be longer than zero");
    }
    duration
}
