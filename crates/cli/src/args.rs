//! Commands and options.

#![expect(clippy::empty_structs_with_brackets, reason = "argh derives from braced structs only")]

use argh::FromArgs;

/// Drive a bronzerail cell: submit work, watch it, change inventory and rules.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} submit --customer toolroom --id probe-1 --kind wall-probe --payload 'ms=5'",
    example = "{command_name} wait toolroom study-7 --for 10m",
    example = "{command_name} rules apply rules.jsonc",
    note = "BRONZERAIL_SERVER names the daemon where --server is left out; any daemon will do.\nThe exit code tells what happened: 0 done, 2 malformed, 3 not found, 4 id taken,\n5 stale version, 6 impossible, 7 quota, 8 overloaded, 9 expired, 10 store down,\n11 unconfirmed, 12 no owner, 13 cancelled, 14 stopped, 15 failed, 16 unknown,\n17 internal, 20 no answer, 21 still going on."
)]
pub struct Args {
    /// address of a daemon, such as `http://10.0.0.1:8101`
    #[argh(option)]
    pub server: Option<String>,

    /// print JSON for programs instead of tables for people
    #[argh(switch)]
    pub json: bool,

    /// what to do
    #[argh(subcommand)]
    pub action: Action,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Action {
    /// Submit work.
    Submit(Submit),
    /// Show a request.
    Status(Status),
    /// Wait for a request.
    Wait(Wait),
    /// Stop a request.
    Cancel(Cancel),
    /// Explain a request.
    Explain(Explain),
    /// Show a request's hops.
    Trace(Trace),
    /// The inventory.
    Inventory(Inventory),
    /// The rules.
    Rules(Rules),
    /// Show the members.
    Members(Members),
    /// Show the workers.
    Workers(Workers),
    /// Show the queue.
    Queue(Queue),
    /// Watch the cell.
    Top(Top),
    /// A pool of bronzerail-platform.
    Pool(Pool),
    /// Draw a day from logs.
    Report(Report),
}

/// Submit work; asking again under the same id gives the same answer.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} --customer toolroom --id s-1 --kind filling-study --payload 'ms=2000' --wait 1m",
    example = "{command_name} --customer toolroom --id g-1 --kind packing-gang --tasks 4"
)]
pub struct Submit {
    /// the customer that is billed
    #[argh(option)]
    pub customer: String,

    /// your own id for the request
    #[argh(option)]
    pub id: String,

    /// the kind of work, as the rules name it
    #[argh(option)]
    pub kind: String,

    /// what the work is to do
    #[argh(option)]
    pub payload: Option<String>,

    /// a file that holds the payload
    #[argh(option)]
    pub payload_file: Option<String>,

    /// processors of one task
    #[argh(option)]
    pub cpu: Option<f64>,

    /// memory of one task, such as 4GB
    #[argh(option)]
    pub memory: Option<String>,

    /// accelerators of one task
    #[argh(option)]
    pub accelerators: Option<u64>,

    /// number of tasks, for gangs and services
    #[argh(option)]
    pub tasks: Option<u32>,

    /// start within this time or not at all, such as 30s
    #[argh(option)]
    pub within: Option<String>,

    /// never run it a second time
    #[argh(switch)]
    pub once: bool,

    /// wait so long for the result, such as 1m
    #[argh(option)]
    pub wait: Option<String>,
}

macro_rules! on_request {
    ($(#[$meta:meta])* $name:ident) => {
        #[derive(Debug, FromArgs)]
        $(#[$meta])*
        pub struct $name {
            /// the customer
            #[argh(positional)]
            pub customer: String,

            /// the request's id
            #[argh(positional)]
            pub id: String,
        }
    };
}

on_request! {
    /// Show where a request stands.
    #[argh(subcommand, name = "status")]
    Status
}

on_request! {
    /// Stop a request; says whether it ran.
    #[argh(subcommand, name = "cancel")]
    Cancel
}

on_request! {
    /// Say why a request waits, or why it runs where it does.
    #[argh(subcommand, name = "explain")]
    Explain
}

/// Show each hop of a request with times, or what collected logs tell of a job.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "{command_name} toolroom s-1",
    example = "{command_name} 09fb713d88796a49 --logs a.log --logs b.log"
)]
pub struct Trace {
    /// the customer; with --logs the job's id
    #[argh(positional)]
    pub customer: String,

    /// the request's id; not with --logs
    #[argh(positional)]
    pub id: Option<String>,

    /// a file of log lines of bronzerail-platform; may be given for each daemon
    #[argh(option)]
    pub logs: Vec<String>,
}

/// Print and draw what a cell of bronzerail-platform did, from its logs.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "{command_name} --logs a.log --logs b.log --out day.svg"
)]
pub struct Report {
    /// a file of log lines; may be given for each daemon
    #[argh(option)]
    pub logs: Vec<String>,

    /// where to put a picture (SVG)
    #[argh(option)]
    pub out: Option<String>,
}

/// Submit to and look at a pool of bronzerail-platform; --server is an operators' address.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool", example = "{command_name} explain 09fb713d88796a49")]
pub struct Pool {
    /// what to do
    #[argh(subcommand)]
    pub verb: PoolVerb,
}

/// What to do with a pool.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum PoolVerb {
    /// Submit a job.
    Submit(PoolSubmit),
    /// Show a job's state.
    Status(PoolStatus),
    /// Cancel a job.
    Cancel(PoolCancel),
    /// Say what a job's steps wait for.
    Explain(PoolExplain),
    /// Show the queues.
    Queues(PoolQueues),
    /// Show the workers.
    Workers(PoolWorkers),
    /// Show the daemons.
    Members(PoolMembers),
}

/// Submit a job; asking again under the same id is one job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit", example = "{command_name} 09fb713d88796a49 job.json --wait 1m")]
pub struct PoolSubmit {
    /// the job's id, 16 hexadecimal digits
    #[argh(positional)]
    pub id: String,

    /// the job as JSON: queue, payload, steps
    #[argh(positional)]
    pub file: String,

    /// wait so long for its end, such as 1m
    #[argh(option)]
    pub wait: Option<String>,
}

macro_rules! on_job {
    ($(#[$meta:meta])* $name:ident) => {
        #[derive(Debug, FromArgs)]
        $(#[$meta])*
        pub struct $name {
            /// the job's id
            #[argh(positional)]
            pub id: String,
        }
    };
}

on_job! {
    /// Show a job's state.
    #[argh(subcommand, name = "status")]
    PoolStatus
}

on_job! {
    /// Cancel a job.
    #[argh(subcommand, name = "cancel")]
    PoolCancel
}

on_job! {
    /// Say how far a job's steps are and what they wait for.
    #[argh(subcommand, name = "explain")]
    PoolExplain
}

/// Show the queues with their open jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "queues")]
pub struct PoolQueues {}

/// Show the workers with their room and use.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct PoolWorkers {}

/// Show the daemons and which one leads.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "members")]
pub struct PoolMembers {}

/// Wait for a request's answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wait", example = "{command_name} toolroom s-1 --for 10m")]
pub struct Wait {
    /// the customer
    #[argh(positional)]
    pub customer: String,

    /// the request's id
    #[argh(positional)]
    pub id: String,

    /// how long, such as 10m
    #[argh(option, long = "for")]
    pub length: Option<String>,
}

/// Get, check or change the inventory.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "inventory", example = "{command_name} apply inventory.jsonc")]
pub struct Inventory {
    /// what to do with it
    #[argh(subcommand)]
    pub verb: Verb,
}

/// Get, check or change the rules.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rules", example = "{command_name} apply rules.jsonc")]
pub struct Rules {
    /// what to do with them
    #[argh(subcommand)]
    pub verb: Verb,
}

/// What to do with a settings file.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Verb {
    /// Print it.
    Get(Get),
    /// Check a file.
    Check(Check),
    /// Put a file in force.
    Apply(Apply),
}

/// Print the file in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {}

/// Check a file without changing anything; shows every fault with its place.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    pub file: String,
}

/// Show the difference, then put a file in force everywhere.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    note = "Without --base the change is based on the version in force now. With it, the change is refused where somebody else changed the file since."
)]
pub struct Apply {
    /// the file
    #[argh(positional)]
    pub file: String,

    /// the version that the file was made from
    #[argh(option)]
    pub base: Option<u64>,

    /// who makes the change; the user's name where left out
    #[argh(option)]
    pub author: Option<String>,

    /// only show the difference
    #[argh(switch)]
    pub dry_run: bool,
}

/// Show the daemons of the cell.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "members")]
pub struct Members {}

/// Show the workers with their room and use.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct Workers {}

/// Show the open requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "queue")]
pub struct Queue {}

/// Watch the cell on the screen.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top")]
pub struct Top {
    /// between two looks, such as 2s
    #[argh(option)]
    pub every: Option<String>,

    /// number of looks; without it until interrupted
    #[argh(option)]
    pub count: Option<u32>,
}
