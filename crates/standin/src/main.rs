//! Command line of the stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use settings::Inventory;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serve a simulated platform on one HTTP port, for tests and trials.
#[derive(Debug, FromArgs)]
struct Args {
    /// inventory file with the workers and executors to simulate
    #[argh(positional)]
    inventory: String,

    /// address to listen on; the system chooses a free port if the port is 0
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match serve(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(&args.inventory)?;
    let inventory = Inventory::parse(&text)?;
    let address = standin::server::start(args.listen, &inventory)?;
    println!("listening on {address}");
    loop {
        std::thread::park();
    }
}
