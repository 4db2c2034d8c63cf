//! Command line of one simulated worker of the users' platform.
//!
//! It prints its events as JSON lines and exits when its standard input closes, so that it
//! doesn't outlive the program that started it.

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use standin::platform::Worker;
use standin::platform::event::{Event, Observer};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Interval at which ends of runs are noticed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Serve one simulated worker, print its events, and exit when standard input closes.
#[derive(Debug, FromArgs)]
struct Args {
    /// instance id of the worker
    #[argh(option)]
    id: String,

    /// processor capacity, in thousandths of a core
    #[argh(option)]
    cpu: u32,

    /// address to listen on; the system chooses a free port if the port is 0
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

/// Prints each event as a line of JSON.
#[derive(Debug)]
struct Printer;

impl Observer for Printer {
    fn record(&self, event: Event) {
        let written =
            serde_json::to_string(&event).map_err(std::io::Error::other).and_then(|line| {
                let mut output = std::io::stdout().lock();
                writeln!(output, "{line}")?;
                output.flush()
            });
        if let Err(error) = written {
            // Without its record, the worker must not answer the call that caused the event.
            eprintln!("standin-worker: cannot write an event of {}: {error}", event.worker);
            std::process::exit(1);
        }
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-worker: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves the worker until standard input closes.
fn run(args: Args) -> std::io::Result<()> {
    let worker = Arc::new(Worker::new(args.id, args.cpu).observed_by(Arc::new(Printer)));
    worker.serve(args.listen)?;
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(TICK_INTERVAL);
            worker.tick();
        }
    });
    std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink())?;
    Ok(())
}
