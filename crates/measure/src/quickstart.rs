//! The quickstart's run: a cell, real work of every kind, one daemon stopped under load.

use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::time::{Duration, Instant};

use argh::FromArgs;
use comfy_table::{Table, presets};
use measure::bench::{Bench, Result};
use measure::load::{Load, Order, Told, Verdict};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Run a small cell on loopback and put work through it.
#[derive(Debug, FromArgs)]
struct Args {
    /// the example to run
    #[argh(positional)]
    example: PathBuf,

    /// the folder with the programs
    #[argh(option)]
    bin: PathBuf,
}

const DAEMONS: usize = 3;

/// How long work comes in before and after the stop.
const PHASE: Duration = Duration::from_secs(5);

struct Part {
    name: &'static str,
    load: Load,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("quickstart: a promise broke");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

fn tool(args: &Args, url: &str, words: &[&str]) -> Result<()> {
    println!("$ bronzerail {}", words.join(" "));
    let status =
        Command::new(args.bin.join("bronzerail")).args(["--server", url]).args(words).status()?;
    if status.success() { Ok(()) } else { Err(format!("bronzerail: {status}").into()) }
}

fn order(kind: &str, customer: &str, payload: &str, tasks: u32, is_once: bool) -> Order {
    Order {
        kind: kind.to_owned(),
        customer: customer.to_owned(),
        payload: payload.to_owned(),
        tasks,
        wait_ms: 30_000,
        is_once,
    }
}

fn parts(args: &Args, urls: &[String]) -> Vec<Part> {
    let is_wa = args.example.ends_with("wa");
    let customer = if is_wa { "calendar-society" } else { "trim-supplier" };
    let kinds = if is_wa {
        ["concordance-check", "almanac-rebuild", "reconcile", "feast-gang"]
    } else {
        ["wall-probe", "filling-study", "billed-study", "packing-gang"]
    };
    let start = |name, callers, rate, index: usize, payload: &str, tasks, is_once| {
        let order = order(kinds[index], customer, payload, tasks, is_once);
        Part { name, load: Load::start(urls, callers, rate, name, &order) }
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
    let mut bench = Bench::start(&args.bin, &args.example, DAEMONS)?;
    let url = bench.daemons[0].url.clone();
    let file = |name: &str| args.example.join(name).display().to_string();
    tool(args, &url, &["inventory", "check", &file("inventory.jsonc")])?;
    for (what, name) in [("inventory", "inventory.jsonc"), ("rules", "rules.jsonc")] {
        let answer = bench
            .caller(0)
            .put(&format!("/v1/settings/{what}?base=0"), &std::fs::read_to_string(file(name))?)?;
        println!("{what} version {} in force on {}", answer["version"], answer["in_force"]);
    }
    bench.wait_for_service()?;
    tool(args, &url, &["members"])?;
    let customer = if args.example.ends_with("wa") { "calendar-society" } else { "trim-supplier" };
    let service = if args.example.ends_with("wa") { "registry" } else { "press-monitor" };
    let submit = ["submit", "--customer", customer, "--id", "service-1", "--kind", service];
    tool(args, &url, &[&submit[..], &["--tasks", "4", "--payload", "forever"]].concat())?;

    let urls: Vec<String> = bench.daemons.iter().map(|daemon| daemon.url.clone()).collect();
    let parts = parts(args, &urls);
    std::thread::sleep(PHASE);
    println!("stopping {} gracefully under load", bench.daemons[2].name);
    let exit = bench.stop(2);
    println!("it ended with exit code {}", exit.map_or("none".to_owned(), |code| code.to_string()));
    std::thread::sleep(PHASE);

    let told: Vec<(&str, Vec<Told>)> =
        parts.into_iter().map(|part| (part.name, part.load.finish())).collect();
    tool(args, &url, &["explain", customer, "service-1"])?;
    tool(args, &url, &["cancel", customer, "service-1"])?;
    let is_clean = report(&bench, &told)?;
    println!("ended after {:.0} s", began.elapsed().as_secs_f64());
    Ok(is_clean && exit == Some(0))
}

/// Prints what happened; false where a promise broke.
fn report(bench: &Bench, told: &[(&str, Vec<Told>)]) -> Result<bool> {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["WORK", "ASKED", "DONE", "REFUSED", "NO RESULT", "MEDIAN", "WORST"]);
    for (name, told) in told {
        let mut took: Vec<Duration> = told.iter().map(|one| one.took).collect();
        took.sort_unstable();
        let at = |share: f64| took.get(((took.len() as f64 - 1.0) * share) as usize);
        let show = |time: Option<&Duration>| {
            time.map_or(String::new(), |time| format!("{:.0} ms", time.as_secs_f64() * 1e3))
        };
        let done = told.iter().filter(|one| one.is_done()).count();
        let refused = told.iter().filter(|one| one.ran() == "not run").count();
        table.add_row([
            (*name).to_owned(),
            told.len().to_string(),
            done.to_string(),
            refused.to_string(),
            (told.len() - done - refused).to_string(),
            show(at(0.5)),
            show(at(1.0)),
        ]);
    }
    println!("{table}");
    let counts = bench.platform().get("/counts")?;
    let ran = bench.platform().get("/ran")?;
    let all: Vec<Told> = told.iter().flat_map(|(_, told)| told.clone()).collect();
    let verdict = Verdict::judge(&all, &counts, &ran);
    println!(
        "{} requests: {} lost, {} doubled, {} told falsely that they did not run, \
         {} over capacity, {} with another's answer",
        verdict.requests,
        verdict.lost,
        verdict.doubled,
        verdict.false_not_run,
        verdict.over_capacity,
        verdict.wrong_answer
    );
    let undone = all.iter().filter(|one| !one.is_done()).count();
    Ok(verdict.is_clean() && undone == 0)
}
