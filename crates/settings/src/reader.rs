//! Reads JSON with comments and collects every fault with its place.

use std::cell::RefCell;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use common::Name;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

common::data! {
    /// One mistake in a file.
    pub struct Fault {
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
        /// What is wrong.
        pub text: String,
    }

    /// Every mistake in a file, in the order of the file.
    pub struct Faults(pub Vec<Fault>);
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.text)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let gap = if index == 0 { "" } else { "\n" };
            write!(f, "{gap}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl Faults {
    /// One line for each fault, with the file's path first.
    pub fn in_file(&self, path: &str) -> String {
        let lines: Vec<String> = self.0.iter().map(|fault| format!("{path}:{fault}")).collect();
        lines.join("\n")
    }
}

/// The faults found so far in one text.
#[derive(Debug)]
struct Log<'t> {
    text: &'t str,
    faults: RefCell<Vec<(usize, String)>>,
}

impl Log<'_> {
    fn add(&self, offset: usize, text: String) {
        self.faults.borrow_mut().push((offset, text));
    }

    fn finish(self) -> Faults {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|(offset, _)| *offset);
        let place = |(offset, text)| {
            let (line, column) = position(self.text, offset);
            Fault { line, column, text }
        };
        Faults(faults.into_iter().map(place).collect())
    }
}

fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |at| at + 1);
    (line, before[start..].chars().count() + 1)
}

const STRICT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses a text and reads it; gives all faults where there are any.
pub(crate) fn read<T>(text: &str, take: impl FnOnce(Node<'_>) -> T) -> Result<T, Faults> {
    let log = Log { text, faults: RefCell::default() };
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &STRICT) {
        Ok(parsed) => parsed,
        Err(error) => {
            log.add(error.range().start, error.kind().to_string());
            return Err(log.finish());
        }
    };
    let Some(root) = parsed.value else {
        log.add(0, "the file holds no value".to_owned());
        return Err(log.finish());
    };
    let value = take(Node { value: &root, log: &log });
    let faults = log.finish();
    if faults.0.is_empty() { Ok(value) } else { Err(faults) }
}

/// A value in the file, with the log that takes its faults.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Node<'a> {
    value: &'a Value<'a>,
    log: &'a Log<'a>,
}

impl<'a> Node<'a> {
    /// Notes a fault at this value.
    pub fn fault(&self, text: impl Into<String>) {
        self.log.add(self.value.start(), text.into());
    }

    /// Reads an object; unknown and doubled keys are faults.
    pub fn object(self, known: &[&str]) -> Object<'a> {
        let found = self.value.as_object();
        if found.is_none() {
            self.fault("expected an object");
        }
        let properties = found.map_or(&[][..], |object| &object.properties);
        let mut fields: Vec<(&str, Node<'a>)> = Vec::with_capacity(properties.len());
        for property in properties {
            let key = property.name.as_str();
            if !known.contains(&key) {
                let text = format!("unknown key `{key}`; known are {}", known.join(", "));
                self.log.add(property.start(), text);
            } else if fields.iter().any(|(name, _)| *name == key) {
                self.log.add(property.start(), format!("key `{key}` stands twice"));
            }
            fields.push((key, Node { value: &property.value, log: self.log }));
        }
        Object { node: self, fields }
    }

    /// Reads an array.
    pub fn array(self) -> Vec<Node<'a>> {
        let Some(array) = self.value.as_array() else {
            self.fault("expected an array");
            return Vec::new();
        };
        array.elements.iter().map(|value| Node { value, log: self.log }).collect()
    }

    /// Reads a string.
    pub fn string(self) -> &'a str {
        let Some(text) = self.value.as_string_lit() else {
            self.fault("expected a string");
            return "";
        };
        &text.value
    }

    /// Reads a name: letters, digits, `-`, `_` and `.`, at most 64 of them.
    pub fn name(self) -> Name {
        let text = self.string();
        if !is_name(text) {
            self.fault(format!("`{text}` is no name: 1 to 64 letters, digits, '-', '_' or '.'"));
        }
        Name::new(text)
    }

    /// Reads a truth value.
    pub fn boolean(self) -> bool {
        let Some(value) = self.value.as_boolean_lit() else {
            self.fault("expected true or false");
            return false;
        };
        value.value
    }

    /// Reads a number within a range.
    pub fn number(self, range: &RangeInclusive<f64>) -> f64 {
        let parsed = self.value.as_number_lit().and_then(|number| number.value.parse().ok());
        let Some(number) = parsed else {
            self.fault("expected a number");
            return *range.start();
        };
        if !range.contains(&number) {
            let text = format!("{number} is not within {} to {}", range.start(), range.end());
            self.fault(text);
        }
        number
    }

    /// Reads a whole number within a range.
    pub fn whole(self, range: RangeInclusive<u64>) -> u64 {
        let floats = *range.start() as f64..=*range.end() as f64;
        let number = self.number(&floats);
        if number.fract() != 0.0 {
            self.fault(format!("{number} is not a whole number"));
        }
        number as u64
    }

    /// Reads a string that a small type parses.
    pub fn parse<T>(self) -> T
    where
        T: FromStr + Default,
        T::Err: fmt::Display,
    {
        let text = self.string();
        text.parse().unwrap_or_else(|error| {
            self.fault(format!("`{text}`: {error}"));
            T::default()
        })
    }
}

/// The fields of one object.
#[derive(Debug)]
pub(crate) struct Object<'a> {
    node: Node<'a>,
    fields: Vec<(&'a str, Node<'a>)>,
}

impl<'a> Object<'a> {
    /// The object's own value, as a place for faults.
    pub fn node(&self) -> Node<'a> {
        self.node
    }

    /// A field that may be left out.
    pub fn get(&self, key: &str) -> Option<Node<'a>> {
        self.fields.iter().find(|(name, _)| *name == key).map(|(_, node)| *node)
    }

    /// A field that must stand there; its absence is a fault.
    pub fn need(&self, key: &str) -> Option<Node<'a>> {
        let found = self.get(key);
        if found.is_none() {
            self.node.fault(format!("`{key}` is missing"));
        }
        found
    }

    /// A name that must stand there.
    pub fn name(&self, key: &str) -> Name {
        self.need(key).map(Node::name).unwrap_or_default()
    }

    /// A whole number that must stand there.
    pub fn whole(&self, key: &str, range: RangeInclusive<u64>) -> u64 {
        let low = *range.start();
        self.need(key).map_or(low, |node| node.whole(range))
    }

    /// A whole number with a default.
    pub fn whole_or(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.get(key).map_or(default, |node| node.whole(range))
    }

    /// An array that may be left out.
    pub fn list(&self, key: &str) -> Vec<Node<'a>> {
        self.get(key).map(Node::array).unwrap_or_default()
    }
}

/// Whether a text can name a machine, customer or request.
pub(crate) fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&text.len()) && text.chars().all(fits)
}
