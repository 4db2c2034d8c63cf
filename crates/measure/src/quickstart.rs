//! Quickstart: a cell of real processes, every kind of work, one daemon stopped under load.

use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::time::{Duration, Instant};

use argh::FromArgs;
use comfy_table::{Table, presets};
use measure::bench::{Result, TestCell};
use measure::load::{Audit, Load, Outcome, RequestTemplate};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Run a small cell on loopback and submit work to it.
#[derive(Debug, FromArgs)]
struct Args {
    /// folder of the example to run
    #[argh(positional)]
    example: PathBuf,

    /// folder with the programs
    #[argh(option)]
    bin: PathBuf,
}

/// Number of daemons in the cell.
const DAEMONS: usize = 3;

/// Time under load before and after the stop of a daemon.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// A load and its name in the report.
struct NamedLoad {
    name: &'static str,
    load: Load,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("quickstart: a guarantee was broken or a request has no result");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command of the command-line tool and prints it.
fn run_tool(args: &Args, url: &str, words: &[&str]) -> Result<()> {
    println!("$ bronzerail {}", words.join(" "));
    let status =
        Command::new(args.bin.join("bronzerail")).args(["--server", url]).args(words).status()?;
    if status.success() { Ok(()) } else { Err(format!("bronzerail: {status}").into()) }
}

fn template(
    kind: &str,
    customer: &str,
    payload: &str,
    tasks: u32,
    is_once: bool,
) -> RequestTemplate {
    RequestTemplate {
        kind: kind.to_owned(),
        customer: customer.to_owned(),
        payload: payload.to_owned(),
        tasks,
        wait_ms: 30_000,
        is_once,
    }
}

fn start_loads(args: &Args, urls: &[String]) -> Vec<NamedLoad> {
    let is_wa = args.example.ends_with("wa");
    let customer = if is_wa { "calendar-society" } else { "trim-supplier" };
    let kinds = if is_wa {
        ["concordance-check", "almanac-rebuild", "reconcile", "feast-gang"]
    } else {
        ["wall-probe", "filling-study", "billed-study", "packing-gang"]
    };
    let start = |name, callers, rate, index: usize, payload: &str, tasks, is_once| {
        let template = template(kinds[index], customer, payload, tasks, is_once);
        NamedLoad { name, load: Load::start(urls, callers, rate, name, &template) }
    };
    vec![
        start("quick", 8, 200.0, 0, "ms=10", 1, false),
        start("study", 16, 4.0, 1, "ms=1500", 1, false),
        start("billed", 8, 2.0, 2, "once ms=1000", 1, true),
        start("gang", 4, 0.5, 3, "ms=1000", 4, false),
    ]
}

fn run(args: &Args) -> Result<bool> {
    let began = Instant::now();
    println!("starting a stand-in of the platform and {DAEMONS} daemons");
    let mut bench = TestCell::start(&args.bin, &args.example, DAEMONS)?;
    let url = bench.daemons[0].url.clone();
    let file = |name: &str| args.example.join(name).display().to_string();
    run_tool(args, &url, &["inventory", "check", &file("inventory.jsonc")])?;
    for (what, name) in [("inventory", "inventory.jsonc"), ("rules", "rules.jsonc")] {
        let answer = bench
            .caller(0)
            .put(&format!("/v1/settings/{what}?base=0"), &std::fs::read_to_string(file(name))?)?;
        println!("{what} version {} in force on {}", answer["version"], answer["in_force"]);
    }
    bench.wait_for_service()?;
    run_tool(args, &url, &["members"])?;
    let customer = if args.example.ends_with("wa") { "calendar-society" } else { "trim-supplier" };
    let service = if args.example.ends_with("wa") { "registry" } else { "press-monitor" };
    let submit = ["submit", "--customer", customer, "--id", "service-1", "--kind", service];
    run_tool(args, &url, &[&submit[..], &["--tasks", "4", "--payload", "forever"]].concat())?;

    let urls: Vec<String> = bench.daemons.iter().map(|daemon| daemon.url.clone()).collect();
    let loads = start_loads(args, &urls);
    std::thread::sleep(LOAD_TIME);
    println!("stopping {} gracefully under load", bench.daemons[2].name);
    let exit_code = bench.stop(2);
    println!(
        "it exited with code {}",
        exit_code.map_or("none".to_owned(), |code| code.to_string())
    );
    std::thread::sleep(LOAD_TIME);

    let outcomes: Vec<(&str, Vec<Outcome>)> =
        loads.into_iter().map(|named| (named.name, named.load.finish())).collect();
    run_tool(args, &url, &["explain", customer, "service-1"])?;
    run_tool(args, &url, &["cancel", customer, "service-1"])?;
    let is_clean = report(&bench, &outcomes)?;
    println!("ended after {:.0} s", began.elapsed().as_secs_f64());
    Ok(is_clean && exit_code == Some(0))
}

/// Prints the outcomes; returns whether all guarantees held and every request is done.
fn report(bench: &TestCell, outcomes: &[(&str, Vec<Outcome>)]) -> Result<bool> {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["WORK", "ASKED", "DONE", "REFUSED", "NO RESULT", "MEDIAN", "WORST"]);
    for (name, outcomes) in outcomes {
        let mut elapsed: Vec<Duration> = outcomes.iter().map(|outcome| outcome.elapsed).collect();
        elapsed.sort_unstable();
        let quantile = |share: f64| elapsed.get(((elapsed.len() as f64 - 1.0) * share) as usize);
        let format_ms = |time: Option<&Duration>| {
            time.map_or(String::new(), |time| format!("{:.0} ms", time.as_secs_f64() * 1e3))
        };
        let done = outcomes.iter().filter(|outcome| outcome.is_done()).count();
        let refused = outcomes.iter().filter(|outcome| outcome.reported_ran() == "not run").count();
        table.add_row([
            (*name).to_owned(),
            outcomes.len().to_string(),
            done.to_string(),
            refused.to_string(),
            (outcomes.len() - done - refused).to_string(),
            format_ms(quantile(0.5)),
            format_ms(quantile(1.0)),
        ]);
    }
    println!("{table}");
    let counts = bench.platform().get("/counts")?;
    let ran = bench.platform().get("/ran")?;
    let all: Vec<Outcome> = outcomes.iter().flat_map(|(_, outcomes)| outcomes.clone()).collect();
    let audit = Audit::check(&all, &counts, &ran);
    println!(
        "{} requests: {} lost, {} doubled, {} reported as not run although they ran, \
         {} over capacity, {} with another request's answer",
        audit.requests,
        audit.lost,
        audit.doubled,
        audit.false_not_run,
        audit.over_capacity,
        audit.wrong_answer
    );
    let unfinished = all.iter().filter(|outcome| !outcome.is_done()).count();
    Ok(audit.is_clean() && unfinished == 0)
}
