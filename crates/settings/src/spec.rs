//! What a caller submits.

use std::time::Duration;

use common::Name;

use crate::quantity::Size;
use crate::reader::is_name;
use crate::rules::{Kind, Mode, Rules};

/// Most tasks in one request.
pub const MAX_TASKS: u32 = 1024;

/// Longest time a caller may give a request, in milliseconds.
pub const MAX_WITHIN_MS: u64 = 365 * 86_400_000;

common::record! {
    /// One request of a caller, as JSON.
    #[serde(deny_unknown_fields)]
    pub struct Spec {
        /// The customer that it is billed to.
        pub customer: Name,
        /// The caller's id for it, unique within the customer.
        pub id: Name,
        /// The kind of work, as the rules name it.
        pub kind: Name,
        /// What the work is to do; passed on as it is.
        #[serde(default)]
        pub payload: String,
        /// The size of each task; the kind's where left out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub size: Option<Size>,
        /// Number of tasks, for gangs and services.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub tasks: Option<u32>,
        /// Start it within so many milliseconds, or not at all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub within_ms: Option<u64>,
        /// Whether a second attempt is harmless; the kind's answer where left out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub repeatable: Option<bool>,
    }
}

impl Spec {
    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// A text that says what is wrong and where.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let spec: Self = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        for (key, name) in [("customer", &self.customer), ("id", &self.id), ("kind", &self.kind)] {
            if !is_name(name) {
                return Err(format!("`{key}` is no name: 1 to 64 letters, digits, '-', '_', '.'"));
            }
        }
        if self.tasks.is_some_and(|tasks| !(1..=MAX_TASKS).contains(&tasks)) {
            return Err(format!("`tasks` must be 1 to {MAX_TASKS}"));
        }
        if self.within_ms.is_some_and(|within| within > MAX_WITHIN_MS) {
            return Err(format!("`within_ms` must be at most {MAX_WITHIN_MS}"));
        }
        Ok(())
    }

    /// The kind's rules, or what speaks against the request under these rules.
    ///
    /// # Errors
    ///
    /// A text that names the rule.
    pub fn kind<'r>(&self, rules: &'r Rules) -> Result<&'r Kind, String> {
        let kind = rules.kinds.get(&self.kind);
        let kind = kind.ok_or_else(|| format!("no kind of work `{}` in the rules", self.kind))?;
        if !rules.customers.contains_key(&self.customer) {
            return Err(format!("no customer `{}` in the rules", self.customer));
        }
        let many = matches!(kind.mode, Mode::Gang | Mode::Service);
        if self.tasks.is_some_and(|tasks| tasks > 1) && !many {
            return Err(format!("work of kind `{}` has one task", self.kind));
        }
        if kind.mode == Mode::Quick && self.size.is_some() {
            return Err("quick work takes a slot; leave `size` out".to_owned());
        }
        Ok(kind)
    }

    /// Whether a second attempt is harmless, under the kind's rules.
    pub fn is_repeatable(&self, kind: &Kind) -> bool {
        self.repeatable.unwrap_or(kind.is_repeatable) && kind.is_repeatable
    }

    /// The size of each task, under the kind's rules.
    pub fn size(&self, kind: &Kind) -> Size {
        self.size.unwrap_or(kind.size)
    }

    /// Number of tasks.
    pub fn tasks(&self) -> u32 {
        self.tasks.unwrap_or(1)
    }

    /// The time within which it is to start.
    pub fn within(&self) -> Option<Duration> {
        self.within_ms.map(Duration::from_millis)
    }
}
