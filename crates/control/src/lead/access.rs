//! Who may do what: callers' keys, workspaces and the jobs that belong to them.

use std::time::Duration;

use common::Name;
use scheduler::{Queue, Rules};

use crate::answer::{CallerRequest, Credential, Operation};
use crate::event::log_event;
use crate::meter::Counter;
use crate::node::Context;

/// Most lines per period that are logged for each reason.
const MAX_LINES: u32 = 5;

/// Period to which the number of lines applies.
const LINES_PERIOD: Duration = Duration::from_secs(1);

/// What an authorized request may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Access {
    /// All jobs.
    All,
    /// Jobs of this workspace and jobs of none; an empty name stands for no workspace.
    Workspace(Name),
}

impl Access {
    /// Whether a job of a workspace may be used; an empty name stands for no workspace.
    ///
    /// Jobs of no workspace may be used by all: their callers had no key to show, and may have one
    /// since, as workspaces were introduced.
    pub fn allows(&self, workspace: &str) -> bool {
        match self {
            Self::All => true,
            Self::Workspace(own) => workspace.is_empty() || **own == *workspace,
        }
    }

    /// Workspace of a job that is submitted; empty for none.
    pub fn workspace(&self) -> &str {
        match self {
            Self::All => "",
            Self::Workspace(own) => own,
        }
    }
}

common::key! {
    /// Why a request is not authorized.
    pub(super) enum Denial {
        /// It has no key, or one that cannot be read.
        NoKey,
        /// No workspace has its key.
        UnknownKey,
        /// The job belongs to another workspace.
        OtherWorkspace,
        /// An operator named a workspace that the rules do not have.
        UnknownWorkspace,
    }
}

impl Denial {
    /// All reasons.
    const ALL: [Self; 4] =
        [Self::NoKey, Self::UnknownKey, Self::OtherWorkspace, Self::UnknownWorkspace];

    /// Whether it concerns the request's key, and not what the request names.
    pub fn is_of_key(self) -> bool {
        matches!(self, Self::NoKey | Self::UnknownKey)
    }

    /// Reason in the log.
    fn reason(self) -> &'static str {
        match self {
            Self::NoKey => "no key",
            Self::UnknownKey => "unknown key",
            Self::OtherWorkspace => "other workspace",
            Self::UnknownWorkspace => "unknown workspace",
        }
    }

    /// Label of the counter.
    fn label(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::OtherWorkspace => "other_workspace",
            Self::UnknownWorkspace => "unknown_workspace",
        }
    }
}

/// Decides what a request may use, by one version of the rules.
///
/// `queue` is the queue that the request addresses; `None` if there is none.
pub(super) fn authorize(
    rules: &Rules,
    queue: Option<&Queue>,
    call: &CallerRequest,
) -> Result<Access, Denial> {
    let workspaces = &rules.workspaces;
    let digest = match &call.credential {
        Credential::Operator => return authorize_operator(rules, &call.op),
        Credential::Missing => None,
        Credential::Key(digest) => Some(digest),
    };
    if workspaces.is_empty() {
        return Ok(Access::All);
    }
    let denial = if digest.is_some() { Denial::UnknownKey } else { Denial::NoKey };
    if matches!(call.op, Operation::View(_)) {
        return Err(denial);
    }
    if let Some(workspace) = digest.and_then(|digest| workspaces.find_by_key(digest)) {
        return Ok(Access::Workspace(workspace.name.clone()));
    }
    let is_public = queue.is_some_and(|queue| queue.is_public);
    if is_public { Ok(Access::Workspace(Name::default())) } else { Err(denial) }
}

/// Operators may use all jobs; what they submit belongs to the workspace that they name.
fn authorize_operator(rules: &Rules, op: &Operation) -> Result<Access, Denial> {
    match op {
        Operation::Submit(job) if !job.workspace.is_empty() => {
            let workspace = rules.workspaces.get(&job.workspace).ok_or(Denial::UnknownWorkspace)?;
            Ok(Access::Workspace(workspace.name.clone()))
        }
        Operation::Submit(_) if !rules.workspaces.is_empty() => {
            Ok(Access::Workspace(Name::default()))
        }
        _ => Ok(Access::All),
    }
}

/// HTTP method of the request that led to an operation.
fn method(op: &Operation) -> &'static str {
    match op {
        Operation::Submit(_) => "POST",
        Operation::Cancel(_) => "DELETE",
        Operation::GetState(_) | Operation::CountPending | Operation::View(_) => "GET",
        // A submission with an invalid body, or a request whose path ends in no job's id.
        Operation::CheckAccess => "invalid",
    }
}

/// A request that was denied, for the log.
#[derive(Debug)]
pub(super) struct DeniedRequest {
    method: &'static str,
    /// Queue, or the path if there is none.
    route: Name,
    version: u64,
}

impl DeniedRequest {
    /// Describes a request that is decided by a version of the rules.
    pub fn new(rules: &Rules, queue: Option<&Queue>, call: &CallerRequest) -> Self {
        let route = match queue {
            Some(queue) => queue.name.clone(),
            None => Name::from(call.target.to_string().as_str()),
        };
        Self { method: method(&call.op), route, version: rules.version }
    }
}

/// Lines logged for one reason.
#[derive(Debug, Clone, Copy, Default)]
struct Lines {
    period_start: Duration,
    logged: u32,
    /// Lines left out since the last one.
    left_out: u64,
}

/// Counts and logs denied requests, a few lines for each reason and period.
#[derive(Debug, Default)]
pub(super) struct Denials {
    lines: [Lines; Denial::ALL.len()],
}

impl Denials {
    /// Records a denied request.
    pub fn record(&mut self, ctx: &Context, denial: Denial, request: &DeniedRequest) {
        ctx.meter.add(Counter::Denied, denial.label(), 1);
        let lines = &mut self.lines[denial as usize];
        if ctx.now >= lines.period_start + LINES_PERIOD {
            (lines.period_start, lines.logged) = (ctx.now, 0);
        }
        if lines.logged >= MAX_LINES {
            lines.left_out += 1;
            return;
        }
        lines.logged += 1;
        let left_out = std::mem::take(&mut lines.left_out);
        log_event!(ctx, AccessDenied, "method" => request.method, "route" => %request.route,
            "rules" => request.version, "reason" => denial.reason(), "left_out" => left_out);
    }
}
