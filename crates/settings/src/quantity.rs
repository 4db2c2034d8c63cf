//! Quantities with units: processors, memory, accelerators and durations.

use std::str::FromStr;
use std::time::Duration;

use crate::reader::Node;

/// Number of `Resources::cpu` units per processor.
pub const MILLIS_PER_CPU: f64 = 1000.0;

/// Maximum number of processors in one size.
const MAX_CPUS: f64 = 10_000.0;

common::record! {
    /// Amounts of processors, memory and accelerators.
    #[derive(Copy, Default, Eq, Hash)]
    #[serde(deny_unknown_fields)]
    pub struct Resources {
        /// Processors, in thousandths of one.
        pub cpu: u64,
        /// Memory, in MiB.
        pub memory: u64,
        /// Number of accelerators.
        #[serde(default)]
        pub accelerators: u64,
    }
}

impl Resources {
    /// Whether this size fits into `capacity` for every resource.
    pub fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu <= capacity.cpu
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }

    /// Adds two sizes resource by resource.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Subtracts `other` resource by resource, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Name of the first resource that exceeds `capacity`; `None` if this size fits.
    pub fn first_exceeded(&self, capacity: &Self) -> Option<&'static str> {
        if self.cpu > capacity.cpu {
            Some("processors")
        } else if self.memory > capacity.memory {
            Some("memory")
        } else if self.accelerators > capacity.accelerators {
            Some("accelerators")
        } else {
            None
        }
    }
}

/// An amount of memory, written as `64GB` or `512MiB`; all units are powers of 1024 bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Memory {
    /// Amount in MiB.
    pub mib: u64,
}

impl FromStr for Memory {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split_unit(text);
        let number: u64 = number.parse().map_err(|_error| "expected a number and a unit")?;
        let mib_per_unit = match unit {
            "MB" | "MiB" => 1,
            "GB" | "GiB" => 1024,
            "TB" | "TiB" => 1024 * 1024,
            _ => return Err("the unit must be MB, GB or TB"),
        };
        let mib = number.checked_mul(mib_per_unit).ok_or("the amount of memory is too large")?;
        Ok(Self { mib })
    }
}

/// A duration, written as `250ms`, `30s`, `15m`, `2h` or `7d`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DurationText(pub Duration);

impl FromStr for DurationText {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split_unit(text);
        let number: u64 = number.parse().map_err(|_error| "expected a number and a unit")?;
        let millis_per_unit = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            "d" => 86_400_000,
            _ => return Err("the unit must be ms, s, m, h or d"),
        };
        let millis = number.checked_mul(millis_per_unit).ok_or("the duration is too long")?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

/// Splits a text after its leading digits.
fn split_unit(text: &str) -> (&str, &str) {
    let unit_start = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    text.split_at(unit_start)
}

/// Keys from which [`read_size`] reads.
pub(crate) const SIZE_KEYS: [&str; 3] = ["cpu", "memory", "accelerators"];

/// Reads `cpu`, `memory` and the optional `accelerators` of an object.
pub(crate) fn read_size(object: &crate::reader::Object<'_>) -> Resources {
    let cpus = object.require("cpu").map_or(0.0, |node| node.read_number(&(0.0..=MAX_CPUS)));
    let memory: Memory = object.require("memory").map(Node::parse).unwrap_or_default();
    Resources {
        cpu: (cpus * MILLIS_PER_CPU).round() as u64,
        memory: memory.mib,
        accelerators: object.integer_or("accelerators", 0..=1024, 0),
    }
}
