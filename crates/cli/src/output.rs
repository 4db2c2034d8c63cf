//! Formats tables, JSON and times for the terminal.

use comfy_table::{Table, presets};
use serde_json::Value;

/// Column of a table: header and name of the JSON field that it shows.
pub type Column = (&'static str, &'static str);

/// Formats rows that are JSON objects as a table.
pub fn format_table(columns: &[Column], rows: &[Value]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(columns.iter().map(|(header, _)| *header));
    for row in rows {
        table.add_row(columns.iter().map(|(_, field)| format_cell(&row[*field])));
    }
    table.to_string().lines().fold(String::new(), |mut text, line| {
        text.push_str(line.trim_end());
        text.push('\n');
        text
    })
}

/// Formats a JSON value for a table cell; an object with processors and memory as a size.
fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(" "),
        Value::Object(fields) => {
            let amount = |name: &str| fields.get(name).and_then(Value::as_u64);
            match (amount("cpu"), amount("memory"), amount("accelerators")) {
                (Some(cpu), Some(memory), accelerators) => {
                    format_size(cpu, memory, accelerators.unwrap_or(0))
                }
                _ => value.to_string(),
            }
        }
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}

/// Formats a size in processors, GiB and accelerators, from thousandths of processors and MiB.
fn format_size(cpu: u64, memory: u64, accelerators: u64) -> String {
    let cpus = cpu as f64 / settings::quantity::MILLIS_PER_CPU;
    let gib = memory as f64 / 1024.0;
    format!("{cpus:.1}c {gib:.0}G {accelerators}a")
}

/// Prints JSON on one line.
pub fn print_json(value: &Value) {
    println!("{value}");
}

/// Formats a time given in microseconds.
pub fn format_us(us: u64) -> String {
    match us {
        0..=999 => format!("{us} us"),
        1_000..=999_999 => format!("{:.1} ms", us as f64 / 1e3),
        _ => format!("{:.2} s", us as f64 / 1e6),
    }
}
