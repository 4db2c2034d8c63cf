//! Which work matters and when: kinds of work, customers, windows, clock changes.

use std::collections::BTreeMap;
use std::str::FromStr;

use common::Name;
use jiff::Timestamp;
use jiff::civil::Time;
use jiff::tz::Offset;

use crate::clock::{Change, Clock};
use crate::quantity::{SIZE_KEYS, Size, read_size};
use crate::reader::{Faults, Node, Object, read};
use crate::window::{Day, TimeOfDay, Window, next_time};

common::key! {
    /// How a kind of work is carried.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Mode {
        /// Answered on the caller's connection by an executor.
        #[default]
        Quick,
        /// Durable, one task.
        Study,
        /// Durable, all tasks start or none.
        Gang,
        /// Durable, runs until cancelled.
        Service,
    }

    /// How much a kind of work matters; the lower goes first.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Starts ahead of everything else.
        Urgent,
        /// The usual.
        #[default]
        Normal,
        /// Yields to the others.
        Patient,
    }
}

impl Mode {
    /// The word in files and answers.
    pub fn word(self) -> &'static str {
        match self {
            Self::Quick => "quick",
            Self::Study => "study",
            Self::Gang => "gang",
            Self::Service => "service",
        }
    }
}

impl Class {
    /// The word in files and answers.
    pub fn word(self) -> &'static str {
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
    /// The operators' rules for one cell.
    pub struct Rules {
        /// The cell's local clock.
        pub clock: Clock,
        /// Kinds of work by name.
        pub kinds: BTreeMap<Name, Kind>,
        /// Customers by name.
        pub customers: BTreeMap<Name, Customer>,
        /// Windows by name.
        pub windows: BTreeMap<Name, Window>,
    }

    /// One kind of work.
    #[derive(Default)]
    pub struct Kind {
        /// How it is carried.
        pub mode: Mode,
        /// How much it matters.
        pub class: Class,
        /// The service that answers it, for quick work.
        pub service: Option<Name>,
        /// Whether a second attempt is harmless.
        pub is_repeatable: bool,
        /// Whether a task can be checkpointed and resumed.
        pub can_checkpoint: bool,
        /// The size of a task that declares none.
        pub size: Size,
        /// The window in which its tasks may start.
        pub window: Option<Name>,
        /// The local time of day by which it is to be done.
        pub due: Option<Time>,
        /// Attempts in all, for repeatable work.
        pub attempts: u32,
    }

    /// One customer, a team of the paying party.
    pub struct Customer {
        /// Its share of contended room, against the others'.
        pub weight: u32,
        /// What its running tasks may hold in all.
        pub quota: Option<Size>,
        /// Requests that it may have open at once.
        pub open: u32,
        /// Requests that it may submit in a second.
        pub rate: u32,
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
    /// Reads a rules file.
    ///
    /// # Errors
    ///
    /// Every fault with its place.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        read(text, read_rules)
    }

    /// Whether a kind's window is open, or it has none.
    pub fn is_open(&self, kind: &Kind, now: Timestamp) -> bool {
        self.window_of(kind).is_none_or(|window| window.is_open(&self.clock, now))
    }

    /// When work of a kind that came at an instant is due, by the local clock.
    pub fn due(&self, kind: &Kind, came: Timestamp) -> Option<Timestamp> {
        kind.due.map(|time| next_time(&self.clock, came, time))
    }

    /// The window that bounds a kind's starts.
    pub fn window_of(&self, kind: &Kind) -> Option<&Window> {
        kind.window.as_ref().and_then(|name| self.windows.get(name))
    }
}

fn read_rules(root: Node<'_>) -> Rules {
    let object = root.object(&["zone", "clock_changes", "windows", "customers", "kinds"]);
    let changes: Vec<_> = object.list("clock_changes").into_iter().map(read_change).collect();
    let mut rules = Rules { clock: read_clock(&object, &changes), ..Rules::default() };
    for node in object.list("windows") {
        let (name, window) = read_window(node);
        insert(node, &mut rules.windows, name, window);
    }
    for node in object.list("customers") {
        let (name, customer) = read_customer(node);
        insert(node, &mut rules.customers, name, customer);
    }
    for node in object.list("kinds") {
        let (name, kind) = read_kind(node, &rules.windows);
        insert(node, &mut rules.kinds, name, kind);
    }
    rules
}

fn insert<T>(node: Node<'_>, map: &mut BTreeMap<Name, T>, name: Name, value: T) {
    if map.contains_key(&name) {
        node.fault(format!("the name `{name}` stands twice"));
    }
    map.insert(name, value);
}

fn read_clock(object: &Object<'_>, changes: &[Change]) -> Clock {
    let Some(node) = object.need("zone") else {
        return Clock::utc();
    };
    Clock::new(node.string(), changes).unwrap_or_else(|error| {
        node.fault(error);
        Clock::utc()
    })
}

fn read_change(node: Node<'_>) -> Change {
    let object = node.object(&["zone", "at", "offset"]);
    let zone = object.need("zone").map_or("", Node::string);
    let at = object.need("at").and_then(|node| or_fault(node, node.string().parse()));
    let offset = object.need("offset").and_then(read_offset);
    Change {
        zone: Name::new(zone),
        at: at.unwrap_or(Timestamp::UNIX_EPOCH),
        offset: offset.unwrap_or(Offset::UTC),
    }
}

fn or_fault<T, E: std::fmt::Display>(node: Node<'_>, result: Result<T, E>) -> Option<T> {
    result.map_err(|error| node.fault(error.to_string())).ok()
}

fn read_offset(node: Node<'_>) -> Option<Offset> {
    let text = node.string();
    let parsed = parse_offset(text);
    if parsed.is_none() {
        node.fault(format!("`{text}` is no offset such as +02:00"));
    }
    parsed
}

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
    let object = node.object(&["name", "from", "until", "days"]);
    let from: TimeOfDay = object.need("from").map(Node::parse).unwrap_or_default();
    let until: TimeOfDay = object.need("until").map(Node::parse).unwrap_or_default();
    let days = object.list("days").into_iter().map(|node| node.parse::<Day>().0).collect();
    if from == until {
        node.fault("the window has no length");
    }
    (object.name("name"), Window { from: from.0, until: until.0, days })
}

fn read_customer(node: Node<'_>) -> (Name, Customer) {
    let object = node.object(&["name", "weight", "quota", "open", "rate"]);
    let quota = object.get("quota").map(|node| read_size(&node.object(&SIZE_KEYS)));
    let customer = Customer {
        weight: object.whole_or("weight", 1..=1000, 1) as u32,
        quota,
        open: object.whole_or("open", 1..=1_000_000, 10_000) as u32,
        rate: object.whole_or("rate", 1..=1_000_000, 1_000) as u32,
    };
    (object.name("name"), customer)
}

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

fn read_kind(node: Node<'_>, windows: &BTreeMap<Name, Window>) -> (Name, Kind) {
    let object = node.object(&KIND_KEYS);
    let mode: Mode = object.need("mode").map(Node::parse).unwrap_or_default();
    let kind = Kind {
        mode,
        class: object.get("class").map(Node::parse).unwrap_or_default(),
        service: object.get("service").map(Node::name),
        is_repeatable: object.get("repeatable").is_none_or(Node::boolean),
        can_checkpoint: object.get("checkpoint").is_some_and(Node::boolean),
        size: if mode == Mode::Quick { Size::default() } else { read_size(&object) },
        window: object.get("window").map(Node::name),
        due: object.get("due").map(|node| node.parse::<TimeOfDay>().0),
        attempts: object.whole_or("attempts", 1..=100, 3) as u32,
    };
    check_kind(&object, &kind, windows);
    (object.name("name"), kind)
}

fn check_kind(object: &Object<'_>, kind: &Kind, windows: &BTreeMap<Name, Window>) {
    let node = object.node();
    if let Some(name) = kind.window.as_ref().filter(|name| !windows.contains_key(*name)) {
        node.fault(format!("no window `{name}`"));
    }
    match (kind.mode, &kind.service) {
        (Mode::Quick, None) => node.fault("quick work needs a `service`"),
        (Mode::Quick, Some(_)) | (_, None) => {}
        (_, Some(_)) => node.fault("only quick work names a `service`"),
    }
    if !kind.is_repeatable && object.get("attempts").is_some() {
        node.fault("work that is not repeatable has one attempt; leave `attempts` out");
    }
}
