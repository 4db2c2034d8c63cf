//! The rules file: kinds of work, customers, time windows and clock changes.

use std::collections::BTreeMap;
use std::str::FromStr;

use common::Name;
use jiff::Timestamp;
use jiff::civil::Time;
use jiff::tz::Offset;

use crate::clock::{Clock, OffsetChange};
use crate::quantity::{Resources, SIZE_KEYS, read_size};
use crate::reader::{Node, Object, ParseErrors, parse_jsonc};
use crate::window::{DayOfWeek, TimeOfDay, Window, next_occurrence};

common::key! {
    /// How a kind of work is executed.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Mode {
        /// Run by an executor, with the reply on the caller's connection.
        #[default]
        Quick,
        /// Durable, with exactly one task.
        Study,
        /// Durable; either all its tasks start or none.
        Gang,
        /// Durable; runs until it is cancelled.
        Service,
    }

    /// Priority class of a kind of work; lower values start first.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Starts before all other classes.
        Urgent,
        /// Starts after urgent work; the default.
        #[default]
        Normal,
        /// Starts after all other classes.
        Patient,
    }
}

impl Mode {
    /// The value in settings files and replies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quick => "quick",
            Self::Study => "study",
            Self::Gang => "gang",
            Self::Service => "service",
        }
    }
}

impl Class {
    /// The value in settings files and replies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Patient => "patient",
        }
    }
}

impl FromStr for Mode {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "quick" => Ok(Self::Quick),
            "study" => Ok(Self::Study),
            "gang" => Ok(Self::Gang),
            "service" => Ok(Self::Service),
            _ => Err("expected quick, study, gang or service"),
        }
    }
}

impl FromStr for Class {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "patient" => Ok(Self::Patient),
            _ => Err("expected urgent, normal or patient"),
        }
    }
}

common::data! {
    /// Rules that the operators set for one cell.
    pub struct Rules {
        /// Local clock of the cell's time zone.
        pub clock: Clock,
        /// Kinds of work, by name.
        pub kinds: BTreeMap<Name, WorkKind>,
        /// Customers, by name.
        pub customers: BTreeMap<Name, Customer>,
        /// Time windows, by name.
        pub windows: BTreeMap<Name, Window>,
    }

    /// Rules for one kind of work.
    #[derive(Default)]
    pub struct WorkKind {
        /// How its requests are executed.
        pub mode: Mode,
        /// Its priority class.
        pub class: Class,
        /// The service whose executors run it; set for quick work only.
        pub service: Option<Name>,
        /// Whether a task may safely run more than once.
        pub is_repeatable: bool,
        /// Whether its tasks can be checkpointed and resumed.
        pub can_checkpoint: bool,
        /// Task size for requests that specify none; zero for quick work.
        pub size: Resources,
        /// Time window in which its tasks may start; `None` if at any time.
        pub window: Option<Name>,
        /// Local time of day at which it is due; `None` if it has no deadline.
        pub due_time: Option<Time>,
        /// Maximum number of attempts per task, for repeatable work.
        pub attempts: u32,
    }

    /// Scheduling weight and limits of one customer.
    pub struct Customer {
        /// Weight of its share of contended capacity, relative to other customers.
        pub weight: u32,
        /// Limit on the total size of its running tasks; `None` if unlimited.
        pub quota: Option<Resources>,
        /// Maximum number of open requests.
        pub max_open_requests: u32,
        /// Maximum number of submitted requests per second.
        pub max_requests_per_s: u32,
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            clock: Clock::utc(),
            kinds: BTreeMap::new(),
            customers: BTreeMap::new(),
            windows: BTreeMap::new(),
        }
    }
}

impl Rules {
    /// Parses a rules file.
    ///
    /// # Errors
    ///
    /// All errors in the text, with their positions.
    pub fn parse(text: &str) -> Result<Self, ParseErrors> {
        parse_jsonc(text, read_rules)
    }

    /// Whether tasks of a kind may start now; always true without a window.
    pub fn is_window_open(&self, kind: &WorkKind, now: Timestamp) -> bool {
        self.window(kind).is_none_or(|window| window.is_open(&self.clock, now))
    }

    /// When a request that arrived at an instant is due; `None` if the kind has no due time.
    pub fn due_at(&self, kind: &WorkKind, arrived: Timestamp) -> Option<Timestamp> {
        kind.due_time.map(|time| next_occurrence(&self.clock, arrived, time))
    }

    /// The window in which tasks of a kind may start; `None` if unrestricted.
    pub fn window(&self, kind: &WorkKind) -> Option<&Window> {
        kind.window.as_ref().and_then(|name| self.windows.get(name))
    }
}

fn read_rules(root: Node<'_>) -> Rules {
    let object = root.read_object(&["zone", "clock_changes", "windows", "customers", "kinds"]);
    let changes: Vec<_> =
        object.array_or_empty("clock_changes").into_iter().map(read_change).collect();
    let mut rules = Rules { clock: read_clock(&object, &changes), ..Rules::default() };
    for node in object.array_or_empty("windows") {
        let (name, window) = read_window(node);
        insert_unique(node, &mut rules.windows, name, window);
    }
    for node in object.array_or_empty("customers") {
        let (name, customer) = read_customer(node);
        insert_unique(node, &mut rules.customers, name, customer);
    }
    for node in object.array_or_empty("kinds") {
        let (name, kind) = read_kind(node, &rules.windows);
        insert_unique(node, &mut rules.kinds, name, kind);
    }
    rules
}

/// Inserts a named item; a name that is already present is an error.
fn insert_unique<T>(node: Node<'_>, map: &mut BTreeMap<Name, T>, name: Name, value: T) {
    if map.contains_key(&name) {
        node.add_error(format!("duplicate name `{name}`"));
    }
    map.insert(name, value);
}

fn read_clock(object: &Object<'_>, changes: &[OffsetChange]) -> Clock {
    let Some(node) = object.require("zone") else {
        return Clock::utc();
    };
    Clock::new(node.read_string(), changes).unwrap_or_else(|error| {
        node.add_error(error);
        Clock::utc()
    })
}

fn read_change(node: Node<'_>) -> OffsetChange {
    let object = node.read_object(&["zone", "at", "offset"]);
    let zone = object.require("zone").map_or("", Node::read_string);
    let effective_from =
        object.require("at").and_then(|node| ok_or_add_error(node, node.read_string().parse()));
    let offset = object.require("offset").and_then(read_offset);
    OffsetChange {
        zone: Name::new(zone),
        effective_from: effective_from.unwrap_or(Timestamp::UNIX_EPOCH),
        offset: offset.unwrap_or(Offset::UTC),
    }
}

/// Converts a result to an option and reports its error at the node.
fn ok_or_add_error<T, E: std::fmt::Display>(node: Node<'_>, result: Result<T, E>) -> Option<T> {
    result.map_err(|error| node.add_error(error.to_string())).ok()
}

fn read_offset(node: Node<'_>) -> Option<Offset> {
    let text = node.read_string();
    let parsed = parse_offset(text);
    if parsed.is_none() {
        node.add_error(format!("invalid UTC offset `{text}`: expected one such as +02:00"));
    }
    parsed
}

/// Parses a UTC offset written as a sign, hours (0 to 15), a colon and minutes (0 to 59).
fn parse_offset(text: &str) -> Option<Offset> {
    let (sign, rest) = match text.split_at_checked(1)? {
        ("+", rest) => (1, rest),
        ("-", rest) => (-1, rest),
        _ => return None,
    };
    let (hours, minutes) = rest.split_once(':')?;
    let hours: i32 = hours.parse().ok().filter(|hours| (0..=15).contains(hours))?;
    let minutes: i32 = minutes.parse().ok().filter(|minutes| (0..60).contains(minutes))?;
    Offset::from_seconds(sign * (hours * 3600 + minutes * 60)).ok()
}

fn read_window(node: Node<'_>) -> (Name, Window) {
    let object = node.read_object(&["name", "from", "until", "days"]);
    let from: TimeOfDay = object.require("from").map(Node::parse).unwrap_or_default();
    let until: TimeOfDay = object.require("until").map(Node::parse).unwrap_or_default();
    let days =
        object.array_or_empty("days").into_iter().map(|node| node.parse::<DayOfWeek>().0).collect();
    if from == until {
        node.add_error("`from` and `until` must differ");
    }
    (object.require_name("name"), Window { from: from.0, until: until.0, days })
}

fn read_customer(node: Node<'_>) -> (Name, Customer) {
    let object = node.read_object(&["name", "weight", "quota", "open", "rate"]);
    let quota = object.get("quota").map(|node| read_size(&node.read_object(&SIZE_KEYS)));
    let customer = Customer {
        weight: object.integer_or("weight", 1..=1000, 1) as u32,
        quota,
        max_open_requests: object.integer_or("open", 1..=1_000_000, 10_000) as u32,
        max_requests_per_s: object.integer_or("rate", 1..=1_000_000, 1_000) as u32,
    };
    (object.require_name("name"), customer)
}

/// Keys of an entry of `kinds`.
const KIND_KEYS: [&str; 12] = [
    "name",
    "mode",
    "class",
    "service",
    "repeatable",
    "checkpoint",
    "window",
    "due",
    "attempts",
    "cpu",
    "memory",
    "accelerators",
];

fn read_kind(node: Node<'_>, windows: &BTreeMap<Name, Window>) -> (Name, WorkKind) {
    let object = node.read_object(&KIND_KEYS);
    let mode: Mode = object.require("mode").map(Node::parse).unwrap_or_default();
    let kind = WorkKind {
        mode,
        class: object.get("class").map(Node::parse).unwrap_or_default(),
        service: object.get("service").map(Node::read_name),
        is_repeatable: object.get("repeatable").is_none_or(Node::read_bool),
        can_checkpoint: object.get("checkpoint").is_some_and(Node::read_bool),
        size: if mode == Mode::Quick { Resources::default() } else { read_size(&object) },
        window: object.get("window").map(Node::read_name),
        due_time: object.get("due").map(|node| node.parse::<TimeOfDay>().0),
        attempts: object.integer_or("attempts", 1..=100, 3) as u32,
    };
    check_kind(&object, &kind, windows);
    (object.require_name("name"), kind)
}

/// Checks the rules that relate several keys of a kind to each other.
fn check_kind(object: &Object<'_>, kind: &WorkKind, windows: &BTreeMap<Name, Window>) {
    let node = object.node();
    if let Some(name) = kind.window.as_ref().filter(|name| !windows.contains_key(*name)) {
        node.add_error(format!("unknown window `{name}`"));
    }
    match (kind.mode, &kind.service) {
        (Mode::Quick, None) => node.add_error("quick work needs a `service`"),
        (Mode::Quick, Some(_)) | (_, None) => {}
        (_, Some(_)) => node.add_error("only quick work may have a `service`"),
    }
    if !kind.is_repeatable && object.get("attempts").is_some() {
        node.add_error("work that is not repeatable has one attempt: remove `attempts`");
    }
}
