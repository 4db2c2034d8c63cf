//! Startup, event loop, stop signals and exit code of the daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use border::http;
use settings::ParseErrors;
use slog::{Level, Logger};
use snafu::{ResultExt, Snafu};
use stakker::{Stakker, StopCause, actor_new, call, fwd_do, ret_do, ret_some_do};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

use crate::args::Args;
use crate::event::{Event, emit};
use crate::front::Server;
use crate::logger::{self, Format};
use crate::mesh::Tcp;
use crate::node::{Interfaces, Node, Setup};
use crate::telemetry::Metrics;

/// How the daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The graceful shutdown completed, or the checked settings are valid.
    Clean,
    /// The daemon failed while running, or its graceful shutdown timed out.
    Failed,
    /// The settings or the command line are invalid.
    Usage,
}

impl Exit {
    /// Exit code of the process: 0, 1 or 2.
    pub fn code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::Failed => 1,
            Self::Usage => 2,
        }
    }
}

/// Reason why the daemon cannot start or keep running.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the settings file.
        path: String,
        /// Error reported by the operating system.
        source: std::io::Error,
    },
    /// The settings file is invalid.
    #[snafu(display("{}", source.with_path(path)))]
    Settings {
        /// Path of the settings file.
        path: String,
        /// Errors found in the file, with their positions.
        source: ParseErrors,
    },
    /// A command-line option has an invalid value.
    #[snafu(display("--{option}: {text}"))]
    Option {
        /// Name of the option, without the dashes.
        option: &'static str,
        /// Values that the option accepts.
        text: String,
    },
    /// A call to the operating system failed, such as binding an address.
    #[snafu(display("{operation}: {source}"))]
    System {
        /// Resource or operation that failed.
        operation: &'static str,
        /// Error reported by the operating system.
        source: std::io::Error,
    },
    /// Metrics or traces cannot be set up.
    #[snafu(display("telemetry: {text}"))]
    Telemetry {
        /// Message of the exporter.
        text: String,
    },
}

impl Error {
    /// How the daemon ends because of this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Read { .. } | Self::Settings { .. } | Self::Option { .. } => Exit::Usage,
            Self::System { .. } | Self::Telemetry { .. } => Exit::Failed,
        }
    }
}

/// Longest time that one poll waits for I/O.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of I/O events returned by one poll.
const MAX_EVENTS_PER_POLL: usize = 1024;

/// Runs the daemon until it stops; with `--check`, only checks the settings file.
///
/// # Errors
///
/// [`Error`] if the daemon cannot start, or if polling for I/O fails.
pub fn run(args: &Args) -> Result<Exit, Error> {
    let text =
        std::fs::read_to_string(&args.settings).context(ReadSnafu { path: &args.settings })?;
    let config = settings::Daemon::parse(&text).context(SettingsSnafu { path: &args.settings })?;
    let format: Format = args.log.parse().map_err(|text: &str| option_error("log", text))?;
    let level = parse_level(&args.level)?;
    if args.check {
        return Ok(Exit::Clean);
    }
    let log = logger::start(format, level, &config.member);
    let otlp = config.otlp_url.as_deref();
    let metrics = Metrics::start(&config.member, otlp).map_err(|text| Error::Telemetry { text })?;
    serve(config, &log, metrics)
}

fn option_error(option: &'static str, text: &str) -> Error {
    Error::Option { option, text: text.to_owned() }
}

fn parse_level(text: &str) -> Result<Level, Error> {
    match text {
        "error" => Ok(Level::Error),
        "warning" => Ok(Level::Warning),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        _ => Err(option_error("level", "expected error, warning, info or debug")),
    }
}

/// Incarnation for this start, in Unix microseconds: higher than the last one unless the
/// clock was set back.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

/// Starts the interfaces and the node, then runs the event loop until the node stops.
fn serve(mut config: settings::Daemon, log: &Logger, metrics: Metrics) -> Result<Exit, Error> {
    let poll = Poll::new().context(SystemSnafu { operation: "poll" })?;
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let mio = MioPoll::new(s, poll, Events::with_capacity(MAX_EVENTS_PER_POLL), 10);
    let mio = mio.context(SystemSnafu { operation: "poll" })?;
    let incarnation = new_incarnation();

    // The actor exists before the interfaces that send to it, and is initialised after them.
    let node = actor_new!(s, Node, ret_do!(|_| ()));
    let to = node.clone();
    let inputs = fwd_do!(move |input| call!([to], handle_mesh_input(input)));
    let tcp = Tcp::start(s, &mio, &config, incarnation, inputs);
    let tcp = tcp.context(SystemSnafu { operation: "peer address" })?;
    let to = node.clone();
    let requests = fwd_do!(move |(token, request)| call!([to], handle_request(token, request)));
    let server = Server::start(s, config.http_address, config.bounds.clone(), &metrics, requests);
    let server = server.context(SystemSnafu { operation: "http address" })?;
    config.peer_address = tcp.address();
    config.http_address = server.address();
    let detail = format!("http {} peers {}", config.http_address, config.peer_address);
    emit(log, Event::Started, detail);

    let flush = tcp.flusher();
    let platform = &config.platform;
    let interfaces = Interfaces {
        table: Box::new(http::Table::new(s, platform.table.clone())),
        objects: Box::new(http::Objects::new(s, platform.objects.clone())),
        workers: Box::new(http::Workers::new(s, platform.workers.clone())),
        executors: Box::new(http::Executors::new(
            s,
            platform.executors.clone(),
            config.bounds.max_executor_calls,
        )),
        vms: Box::new(http::Fleet::new(s, platform.fleet.clone())),
        mesh: Box::new(tcp),
        http: Box::new(server),
    };
    let metrics_to_flush = metrics.clone();
    let setup = Setup { config, incarnation, seed: incarnation, log: log.clone(), metrics };
    call!([node], <Node>::init(setup, interfaces));

    let stop_requested = register_stop_signals()?;
    let mut is_stopping = false;
    let mut idle_pending = s.run(Instant::now(), false);
    let mut io_pending = false;
    while s.not_shutdown() {
        if stop_requested.load(Ordering::Relaxed) && !is_stopping {
            is_stopping = true;
            let deferrer = s.deferrer();
            let done = ret_some_do!(move |is_clean: bool| {
                let cause = if is_clean { StopCause::Stopped } else { StopCause::Dropped };
                deferrer.defer(move |s| s.shutdown(cause));
            });
            call!([node], stop(done));
        }
        flush();
        let wait = s.next_wait_max(Instant::now(), MAX_POLL_WAIT, idle_pending || io_pending);
        let (activity, io) = mio.poll(wait).context(SystemSnafu { operation: "poll" })?;
        io_pending = io;
        s.set_systime(Some(SystemTime::now()));
        idle_pending = s.run(Instant::now(), !activity);
        if node.is_zombie() {
            return Ok(Exit::Failed);
        }
    }
    metrics_to_flush.flush();
    let is_clean = matches!(s.shutdown_reason(), Some(StopCause::Stopped));
    Ok(if is_clean { Exit::Clean } else { Exit::Failed })
}

/// Flag that SIGTERM and SIGINT set; a second signal ends the process immediately.
fn register_stop_signals() -> Result<Arc<AtomicBool>, Error> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        let context = SystemSnafu { operation: "signals" };
        let flag = Arc::clone(&stop_requested);
        signal_hook::flag::register_conditional_shutdown(signal, 1, Arc::clone(&flag))
            .context(context)?;
        signal_hook::flag::register(signal, flag).context(context)?;
    }
    Ok(stop_requested)
}
