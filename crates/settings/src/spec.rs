//! The JSON body of a submitted request and its checks against the rules.

use std::time::Duration;

use common::Name;

use crate::quantity::Resources;
use crate::reader::is_valid_name;
use crate::rules::{Mode, Rules, WorkKind};

/// Maximum number of tasks in one request.
pub const MAX_TASKS_PER_REQUEST: u32 = 1024;

/// Maximum start deadline of a request, in milliseconds: 365 days.
pub const MAX_WITHIN_MS: u64 = 365 * 86_400_000;

common::record! {
    /// A caller's request, in its JSON form.
    #[serde(deny_unknown_fields)]
    pub struct RequestSpec {
        /// Customer that the request is billed to.
        pub customer: Name,
        /// Request id chosen by the caller, unique per customer.
        pub id: Name,
        /// Name of a kind of work in the rules.
        pub kind: Name,
        /// Input of the work, passed on unchanged.
        #[serde(default)]
        pub payload: String,
        /// Size of each task; the kind's size if `None`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub size: Option<Resources>,
        /// Number of tasks; 1 if `None`, above 1 only for gangs and services.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub tasks: Option<u32>,
        /// Start deadline, in milliseconds after admission; `None` if unbounded.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub within_ms: Option<u64>,
        /// Whether tasks may safely run more than once; the kind's setting if `None`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub repeatable: Option<bool>,
    }
}

impl RequestSpec {
    /// Parses and validates a request's body.
    ///
    /// # Errors
    ///
    /// A message that describes the first JSON error or the first invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let spec: Self = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        spec.validate()?;
        Ok(spec)
    }

    fn validate(&self) -> Result<(), String> {
        for (key, name) in [("customer", &self.customer), ("id", &self.id), ("kind", &self.kind)] {
            if !is_valid_name(name) {
                return Err(format!(
                    "invalid `{key}`: expected 1 to 64 letters, digits, '-', '_' or '.'"
                ));
            }
        }
        if self.tasks.is_some_and(|tasks| !(1..=MAX_TASKS_PER_REQUEST).contains(&tasks)) {
            return Err(format!("`tasks` must be 1 to {MAX_TASKS_PER_REQUEST}"));
        }
        if self.within_ms.is_some_and(|within| within > MAX_WITHIN_MS) {
            return Err(format!("`within_ms` must be at most {MAX_WITHIN_MS}"));
        }
        Ok(())
    }

    /// Looks up the request's kind and checks the request against the rules.
    ///
    /// # Errors
    ///
    /// A message that names the rule that the request violates.
    pub fn resolve_kind<'r>(&self, rules: &'r Rules) -> Result<&'r WorkKind, String> {
        let kind = rules.kinds.get(&self.kind);
        let kind =
            kind.ok_or_else(|| format!("unknown kind of work `{}`: not in the rules", self.kind))?;
        if !rules.customers.contains_key(&self.customer) {
            return Err(format!("unknown customer `{}`: not in the rules", self.customer));
        }
        let allows_many_tasks = matches!(kind.mode, Mode::Gang | Mode::Service);
        if self.tasks.is_some_and(|tasks| tasks > 1) && !allows_many_tasks {
            return Err(format!("work of kind `{}` must have one task", self.kind));
        }
        if kind.mode == Mode::Quick && self.size.is_some() {
            return Err("quick work occupies one slot: remove `size`".to_owned());
        }
        Ok(kind)
    }

    /// Whether tasks may safely run more than once, by the request and its kind.
    pub fn is_repeatable(&self, kind: &WorkKind) -> bool {
        self.repeatable.unwrap_or(kind.is_repeatable) && kind.is_repeatable
    }

    /// Size of each task, with the kind's size as default.
    pub fn task_size(&self, kind: &WorkKind) -> Resources {
        self.size.unwrap_or(kind.size)
    }

    /// Number of tasks, 1 by default.
    pub fn task_count(&self) -> u32 {
        self.tasks.unwrap_or(1)
    }

    /// Start deadline, counted from admission; `None` if unbounded.
    pub fn start_within(&self) -> Option<Duration> {
        self.within_ms.map(Duration::from_millis)
    }
}
