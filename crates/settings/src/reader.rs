//! Reads JSON with comments and collects every error with its line and column.
//!
//! A value that cannot be read is reported and replaced by a placeholder, so that reading
//! goes on and finds the remaining errors.

use std::cell::RefCell;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use common::Name;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

common::data! {
    /// An error in a settings file, with its position.
    pub struct ParseError {
        /// Line number, starting at 1.
        pub line: usize,
        /// Column in characters, starting at 1.
        pub column: usize,
        /// Message that describes the error.
        pub text: String,
    }

    /// All errors in a settings file, ordered by position.
    pub struct ParseErrors(pub Vec<ParseError>);
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.text)
    }
}

impl fmt::Display for ParseErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ParseErrors {}

impl ParseErrors {
    /// Formats one line per error, each prefixed with the file's path.
    pub fn with_path(&self, path: &str) -> String {
        let lines: Vec<String> = self.0.iter().map(|error| format!("{path}:{error}")).collect();
        lines.join("\n")
    }
}

/// Errors found so far in one text, by byte offset.
#[derive(Debug)]
struct Diagnostics<'t> {
    text: &'t str,
    errors: RefCell<Vec<(usize, String)>>,
}

impl Diagnostics<'_> {
    /// Adds an error at a byte offset.
    fn add(&self, offset: usize, text: String) {
        self.errors.borrow_mut().push((offset, text));
    }

    /// Returns the errors ordered by position.
    fn into_sorted(self) -> ParseErrors {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|(offset, _)| *offset);
        let locate = |(offset, text)| {
            let (line, column) = line_and_column(self.text, offset);
            ParseError { line, column, text }
        };
        ParseErrors(errors.into_iter().map(locate).collect())
    }
}

/// Converts a byte offset to a line and column, both starting at 1.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    (line, before[line_start..].chars().count() + 1)
}

/// Strict JSON plus comments and trailing commas.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
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

/// Parses a JSONC text and converts its root value.
///
/// # Errors
///
/// All errors, or just the first if the text is not valid JSONC.
pub(crate) fn parse_jsonc<T>(
    text: &str,
    read_root: impl FnOnce(Node<'_>) -> T,
) -> Result<T, ParseErrors> {
    let diagnostics = Diagnostics { text, errors: RefCell::default() };
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS) {
        Ok(parsed) => parsed,
        Err(error) => {
            diagnostics.add(error.range().start, error.kind().to_string());
            return Err(diagnostics.into_sorted());
        }
    };
    let Some(root) = parsed.value else {
        diagnostics.add(0, "the file contains no JSON value".to_owned());
        return Err(diagnostics.into_sorted());
    };
    let value = read_root(Node { value: &root, diagnostics: &diagnostics });
    let errors = diagnostics.into_sorted();
    if errors.0.is_empty() { Ok(value) } else { Err(errors) }
}

/// A JSON value and the error list of its file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Node<'a> {
    value: &'a Value<'a>,
    diagnostics: &'a Diagnostics<'a>,
}

impl<'a> Node<'a> {
    /// Adds an error at this value's position.
    pub fn add_error(&self, text: impl Into<String>) {
        self.diagnostics.add(self.value.start(), text.into());
    }

    /// Reads an object; unknown and duplicate keys are errors.
    pub fn read_object(self, known_keys: &[&str]) -> Object<'a> {
        let ast_object = self.value.as_object();
        if ast_object.is_none() {
            self.add_error("expected an object");
        }
        let properties = ast_object.map_or(&[][..], |object| &object.properties);
        let mut fields: Vec<(&str, Node<'a>)> = Vec::with_capacity(properties.len());
        for property in properties {
            let key = property.name.as_str();
            if !known_keys.contains(&key) {
                let text =
                    format!("unknown key `{key}`; expected one of {}", known_keys.join(", "));
                self.diagnostics.add(property.start(), text);
            } else if fields.iter().any(|(name, _)| *name == key) {
                self.diagnostics.add(property.start(), format!("duplicate key `{key}`"));
            }
            fields.push((key, Node { value: &property.value, diagnostics: self.diagnostics }));
        }
        Object { node: self, fields }
    }

    /// Reads an array; empty if the value is not an array.
    pub fn read_array(self) -> Vec<Node<'a>> {
        let Some(array) = self.value.as_array() else {
            self.add_error("expected an array");
            return Vec::new();
        };
        array.elements.iter().map(|value| Node { value, diagnostics: self.diagnostics }).collect()
    }

    /// Reads a string; empty if the value is not a string.
    pub fn read_string(self) -> &'a str {
        let Some(text) = self.value.as_string_lit() else {
            self.add_error("expected a string");
            return "";
        };
        &text.value
    }

    /// Reads a name: 1 to 64 ASCII letters, digits, `-`, `_` or `.`.
    pub fn read_name(self) -> Name {
        let text = self.read_string();
        if !is_valid_name(text) {
            self.add_error(format!(
                "invalid name `{text}`: expected 1 to 64 letters, digits, '-', '_' or '.'"
            ));
        }
        Name::new(text)
    }

    /// Reads a boolean; false if the value is not a boolean.
    pub fn read_bool(self) -> bool {
        let Some(value) = self.value.as_boolean_lit() else {
            self.add_error("expected true or false");
            return false;
        };
        value.value
    }

    /// Reads a number within a range; its start if the value is no number.
    pub fn read_number(self, range: &RangeInclusive<f64>) -> f64 {
        let parsed = self.value.as_number_lit().and_then(|number| number.value.parse().ok());
        let Some(number) = parsed else {
            self.add_error("expected a number");
            return *range.start();
        };
        if !range.contains(&number) {
            let text =
                format!("{number} is outside the range {} to {}", range.start(), range.end());
            self.add_error(text);
        }
        number
    }

    /// Reads a whole number within a range.
    pub fn read_integer(self, range: RangeInclusive<u64>) -> u64 {
        let float_range = *range.start() as f64..=*range.end() as f64;
        let number = self.read_number(&float_range);
        if number.fract() != 0.0 {
            self.add_error(format!("{number} is not a whole number"));
        }
        number as u64
    }

    /// Reads a string and parses it with [`FromStr`]; the default if that fails.
    pub fn parse<T>(self) -> T
    where
        T: FromStr + Default,
        T::Err: fmt::Display,
    {
        let text = self.read_string();
        text.parse().unwrap_or_else(|error| {
            self.add_error(format!("invalid value `{text}`: {error}"));
            T::default()
        })
    }
}

/// The fields of one object, with required and optional access.
#[derive(Debug)]
pub(crate) struct Object<'a> {
    node: Node<'a>,
    fields: Vec<(&'a str, Node<'a>)>,
}

impl<'a> Object<'a> {
    /// The object's own value, at whose position errors are reported.
    pub fn node(&self) -> Node<'a> {
        self.node
    }

    /// An optional field; `None` if it is absent.
    pub fn get(&self, key: &str) -> Option<Node<'a>> {
        self.fields.iter().find(|(name, _)| *name == key).map(|(_, node)| *node)
    }

    /// A required field; its absence is an error.
    pub fn require(&self, key: &str) -> Option<Node<'a>> {
        let field = self.get(key);
        if field.is_none() {
            self.node.add_error(format!("`{key}` is missing"));
        }
        field
    }

    /// Reads a required name; empty if it is absent.
    pub fn require_name(&self, key: &str) -> Name {
        self.require(key).map(Node::read_name).unwrap_or_default()
    }

    /// Reads a required whole number; the range's start if it is absent.
    pub fn require_integer(&self, key: &str, range: RangeInclusive<u64>) -> u64 {
        let fallback = *range.start();
        self.require(key).map_or(fallback, |node| node.read_integer(range))
    }

    /// Reads an optional whole number; the default if it is absent.
    pub fn integer_or(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.get(key).map_or(default, |node| node.read_integer(range))
    }

    /// Reads an optional array; empty if it is absent.
    pub fn array_or_empty(&self, key: &str) -> Vec<Node<'a>> {
        self.get(key).map(Node::read_array).unwrap_or_default()
    }
}

/// Whether a text is a valid name of a machine, customer or request.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&text.len()) && text.chars().all(is_allowed)
}
