//! Amounts with units: processors, memory, accelerators, durations.

use std::str::FromStr;
use std::time::Duration;

use crate::reader::Node;

/// Thousandths of a processor in one processor.
pub const MILLIS_PER_CPU: f64 = 1000.0;

const MAX_CPUS: f64 = 10_000.0;

common::record! {
    /// An amount of each resource.
    #[derive(Copy, Default, Eq, Hash)]
    #[serde(deny_unknown_fields)]
    pub struct Size {
        /// Processors, in thousandths.
        pub cpu: u64,
        /// Memory, in MiB.
        pub memory: u64,
        /// Accelerators, whole.
        #[serde(default)]
        pub accelerators: u64,
    }
}

impl Size {
    /// Whether an amount of this size fits into `room` in every dimension.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// The sum of two amounts.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left of this amount, never below zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The first dimension in which this amount does not fit into `room`.
    pub fn excess(&self, room: &Self) -> Option<&'static str> {
        if self.cpu > room.cpu {
            Some("processors")
        } else if self.memory > room.memory {
            Some("memory")
        } else if self.accelerators > room.accelerators {
            Some("accelerators")
        } else {
            None
        }
    }
}

/// An amount of memory, such as `64GB` or `512MiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Memory {
    /// The amount, in MiB.
    pub mib: u64,
}

impl FromStr for Memory {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split_unit(text);
        let number: u64 = number.parse().map_err(|_bad| "expected a number and a unit")?;
        let scale = match unit {
            "MB" | "MiB" => 1,
            "GB" | "GiB" => 1024,
            "TB" | "TiB" => 1024 * 1024,
            _ => return Err("the unit must be MB, GB or TB"),
        };
        let mib = number.checked_mul(scale).ok_or("too much memory")?;
        Ok(Self { mib })
    }
}

/// A length of time, such as `250ms`, `30s`, `15m`, `2h` or `7d`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split_unit(text);
        let number: u64 = number.parse().map_err(|_bad| "expected a number and a unit")?;
        let millis = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            "d" => 86_400_000,
            _ => return Err("the unit must be ms, s, m, h or d"),
        };
        let total = number.checked_mul(millis).ok_or("too long")?;
        Ok(Self(Duration::from_millis(total)))
    }
}

fn split_unit(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    text.split_at(end)
}

/// Keys of an object that holds a size.
pub(crate) const SIZE_KEYS: [&str; 3] = ["cpu", "memory", "accelerators"];

/// Reads `cpu`, `memory` and `accelerators` of an object.
pub(crate) fn read_size(object: &crate::reader::Object<'_>) -> Size {
    let cpus = object.need("cpu").map_or(0.0, |node| node.number(&(0.0..=MAX_CPUS)));
    let memory: Memory = object.need("memory").map(Node::parse).unwrap_or_default();
    Size {
        cpu: (cpus * MILLIS_PER_CPU).round() as u64,
        memory: memory.mib,
        accelerators: object.whole_or("accelerators", 0..=1024, 0),
    }
}
