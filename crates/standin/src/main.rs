//! The stand-in's program.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use settings::Inventory;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand in for the platform on one HTTP port, for tests and trials.
#[derive(Debug, FromArgs)]
struct Args {
    /// the inventory whose workers and executors are played
    #[argh(positional)]
    inventory: String,

    /// where to listen; port 0 lets the system choose
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
