//! Subcommands and options of the command line; doc comments on them are the help text.

#![expect(clippy::empty_structs_with_brackets, reason = "argh derives from braced structs only")]

use argh::FromArgs;

/// Operate a bronzerail cell: submit and watch requests, change inventory and rules.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} submit --customer toolroom --id probe-1 --kind wall-probe --payload 'ms=5'",
    example = "{command_name} wait toolroom study-7 --for 10m",
    example = "{command_name} rules apply rules.jsonc",
    note = "BRONZERAIL_SERVER sets the address if --server is not given; any daemon of the cell works.\nExit codes: 0 done, 2 malformed, 3 not found, 4 id taken,\n5 stale version, 6 impossible, 7 quota, 8 overloaded, 9 expired, 10 store down,\n11 unconfirmed, 12 no owner, 13 cancelled, 14 stopped, 15 failed, 16 unknown,\n17 internal, 20 no answer, 21 still open."
)]
pub struct Args {
    /// address of a daemon, such as `http://10.0.0.1:8101`
    #[argh(option)]
    pub server: Option<String>,

    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,

    /// the command to run
    #[argh(subcommand)]
    pub action: Action,
}

/// Subcommands of the tool.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Action {
    /// Submit a request.
    Submit(Submit),
    /// Show the state of a request.
    Status(Status),
    /// Wait until a request ends.
    Wait(Wait),
    /// Cancel a request.
    Cancel(Cancel),
    /// Explain why a request waits or where it runs.
    Explain(Explain),
    /// Show the hops of a request or the log of a job.
    Trace(Trace),
    /// Read or change the inventory.
    Inventory(Inventory),
    /// Read or change the rules.
    Rules(Rules),
    /// Show the daemons of the cell.
    Members(Members),
    /// Show the workers of the cell.
    Workers(Workers),
    /// Show the open requests.
    Queue(Queue),
    /// Show the state of the cell repeatedly.
    Top(Top),
    /// Operate a pool of bronzerail-platform.
    Pool(Pool),
    /// Summarize a cell from its logs.
    Report(Report),
}

/// Submit a request; submitting it again under the same id returns the same answer.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} --customer toolroom --id s-1 --kind filling-study --payload 'ms=2000' --wait 1m",
    example = "{command_name} --customer toolroom --id g-1 --kind packing-gang --tasks 4"
)]
pub struct Submit {
    /// customer that is billed
    #[argh(option)]
    pub customer: String,

    /// id of the request, chosen by the caller
    #[argh(option)]
    pub id: String,

    /// kind of work, as named in the rules
    #[argh(option)]
    pub kind: String,

    /// payload passed to the work
    #[argh(option)]
    pub payload: Option<String>,

    /// file that holds the payload
    #[argh(option)]
    pub payload_file: Option<String>,

    /// processors per task
    #[argh(option)]
    pub cpu: Option<f64>,

    /// memory per task, such as 4GB
    #[argh(option)]
    pub memory: Option<String>,

    /// accelerators per task
    #[argh(option)]
    pub accelerators: Option<u64>,

    /// number of tasks, for gangs and services
    #[argh(option)]
    pub tasks: Option<u32>,

    /// fail unless started within this time, such as 30s
    #[argh(option)]
    pub within: Option<String>,

    /// never run the work a second time
    #[argh(switch)]
    pub once: bool,

    /// time to wait for the result, such as 1m
    #[argh(option)]
    pub wait: Option<String>,
}

/// Declares a command that takes the customer and id of a request.
macro_rules! request_command {
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

request_command! {
    /// Show the state of a request.
    #[argh(subcommand, name = "status")]
    Status
}

request_command! {
    /// Cancel a request; prints whether it ran.
    #[argh(subcommand, name = "cancel")]
    Cancel
}

request_command! {
    /// Explain why a request waits, or why it runs where it does.
    #[argh(subcommand, name = "explain")]
    Explain
}

/// Show each hop of a request with times, or a job's lines from collected logs.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "{command_name} toolroom s-1",
    example = "{command_name} 09fb713d88796a49 --logs a.log --logs b.log"
)]
pub struct Trace {
    /// the customer; with --logs, the job's id
    #[argh(positional)]
    pub customer: String,

    /// the request's id; not with --logs
    #[argh(positional)]
    pub id: Option<String>,

    /// log file of a bronzerail-platform daemon; may be repeated
    #[argh(option)]
    pub logs: Vec<String>,
}

/// Summarize what a cell of bronzerail-platform did, from its logs.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "{command_name} --logs a.log --logs b.log --out day.svg"
)]
pub struct Report {
    /// log file of a daemon; may be repeated
    #[argh(option)]
    pub logs: Vec<String>,

    /// path of a chart to write (SVG)
    #[argh(option)]
    pub out: Option<String>,
}

/// Submit jobs to a pool of bronzerail-platform and inspect it; --server takes an operators' address.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool", example = "{command_name} explain 09fb713d88796a49")]
pub struct Pool {
    /// the pool command to run
    #[argh(subcommand)]
    pub verb: PoolVerb,
}

/// Subcommands of `pool`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum PoolVerb {
    /// Submit a job.
    Submit(PoolSubmit),
    /// Show a job's state.
    Status(PoolStatus),
    /// Cancel a job.
    Cancel(PoolCancel),
    /// Explain what a job's steps wait for.
    Explain(PoolExplain),
    /// Show the queues.
    Queues(PoolQueues),
    /// Show the workers.
    Workers(PoolWorkers),
    /// Show the daemons.
    Members(PoolMembers),
    /// Check a configuration before it comes into force.
    CheckConfig(PoolCheckConfig),
    /// Show the workspaces.
    Workspaces(PoolWorkspaces),
    /// Show the learned run times and worker speeds.
    Estimates(PoolEstimates),
}

/// Check a configuration row without a network; prints all errors, warnings and differences.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check-config",
    example = "{command_name} draft.json --against current.json",
    note = "Exit codes: 0 no errors or warnings, 1 errors, 2 warnings only. Keys are shown as the first digits of their SHA-256."
)]
pub struct PoolCheckConfig {
    /// JSON file of the configuration to check
    #[argh(positional)]
    pub new: String,

    /// JSON file of the configuration in force
    #[argh(option)]
    pub against: Option<String>,

    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
}

/// Submit a job; submitting it again under the same id creates no second job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit", example = "{command_name} 09fb713d88796a49 job.json --wait 1m")]
pub struct PoolSubmit {
    /// the job's id, 16 hexadecimal digits
    #[argh(positional)]
    pub id: String,

    /// JSON file of the job: queue, payload, steps, workspace
    #[argh(positional)]
    pub file: String,

    /// workspace that the job belongs to, instead of the one in the file
    #[argh(option)]
    pub workspace: Option<String>,

    /// time to wait for the job to end, such as 1m
    #[argh(option)]
    pub wait: Option<String>,
}

/// Declares a command that takes the id of a job.
macro_rules! job_command {
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

job_command! {
    /// Show a job's state.
    #[argh(subcommand, name = "status")]
    PoolStatus
}

job_command! {
    /// Cancel a job.
    #[argh(subcommand, name = "cancel")]
    PoolCancel
}

job_command! {
    /// Show the progress of a job's steps and what they wait for.
    #[argh(subcommand, name = "explain")]
    PoolExplain
}

/// Show the queues with their numbers of open jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "queues")]
pub struct PoolQueues {}

/// Show the workers with their capacity and usage.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct PoolWorkers {}

/// Show the daemons and which one is the leader.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "members")]
pub struct PoolMembers {}

/// Show the workspaces with their weights, limits, usage and waiting jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workspaces")]
pub struct PoolWorkspaces {}

/// Show what the leader has learned: run times by kind of step, and speeds of workers.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "estimates",
    note = "SOURCE is what predictions rely on: the client's estimate, the estimate corrected by a learned ratio, or the history of run times. Errors are means, as a share of the run time. A queue without a workspace and a size is the fallback for kinds with few runs. Each leader learns anew."
)]
pub struct PoolEstimates {}

/// Wait until a request ends and print its result.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wait", example = "{command_name} toolroom s-1 --for 10m")]
pub struct Wait {
    /// the customer
    #[argh(positional)]
    pub customer: String,

    /// the request's id
    #[argh(positional)]
    pub id: String,

    /// longest time to wait, such as 10m; one hour by default
    #[argh(option, long = "for")]
    pub timeout: Option<String>,
}

/// Print, check or change the inventory.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "inventory", example = "{command_name} apply inventory.jsonc")]
pub struct Inventory {
    /// the inventory command to run
    #[argh(subcommand)]
    pub verb: SettingsVerb,
}

/// Print, check or change the rules.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rules", example = "{command_name} apply rules.jsonc")]
pub struct Rules {
    /// the rules command to run
    #[argh(subcommand)]
    pub verb: SettingsVerb,
}

/// Subcommands of `inventory` and `rules`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum SettingsVerb {
    /// Print the file in force.
    Get(Get),
    /// Check a file.
    Check(Check),
    /// Apply a file.
    Apply(Apply),
}

/// Print the file in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {}

/// Check a file without applying it; prints every error with its line and column.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// path of the file
    #[argh(positional)]
    pub file: String,
}

/// Show the difference, then apply a file on all daemons.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    note = "Without --base the change is based on the version in force now. With it, the change is refused if the file has changed since that version."
)]
pub struct Apply {
    /// path of the file
    #[argh(positional)]
    pub file: String,

    /// version that the change is based on
    #[argh(option)]
    pub base: Option<u64>,

    /// author of the change; $USER by default
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

/// Show the workers with their capacity and usage.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct Workers {}

/// Show the open requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "queue")]
pub struct Queue {}

/// Show the state of the cell on the screen, repeatedly.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top")]
pub struct Top {
    /// time between refreshes, such as 2s; 2s by default
    #[argh(option)]
    pub every: Option<String>,

    /// number of refreshes; unlimited by default
    #[argh(option)]
    pub count: Option<u32>,
}
