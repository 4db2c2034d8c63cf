//! Tables for people.

use comfy_table::{Table, presets};
use serde_json::Value;

/// One column: its head, and the field that fills it.
pub type Column = (&'static str, &'static str);

/// A table of rows that are JSON objects.
pub fn table(columns: &[Column], rows: &[Value]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(columns.iter().map(|(head, _)| *head));
    for row in rows {
        table.add_row(columns.iter().map(|(_, field)| cell(&row[*field])));
    }
    table.to_string().lines().fold(String::new(), |mut text, line| {
        text.push_str(line.trim_end());
        text.push('\n');
        text
    })
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        Value::Object(fields) => {
            let size = |name: &str| fields.get(name).and_then(Value::as_u64);
            match (size("cpu"), size("memory"), size("accelerators")) {
                (Some(cpu), Some(memory), accelerators) => {
                    show_size(cpu, memory, accelerators.unwrap_or(0))
                }
                _ => value.to_string(),
            }
        }
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}

/// A size in processors, GiB and accelerators.
fn show_size(cpu: u64, memory: u64, accelerators: u64) -> String {
    let cpus = cpu as f64 / settings::quantity::MILLIS_PER_CPU;
    let gib = memory as f64 / 1024.0;
    format!("{cpus:.1}c {gib:.0}G {accelerators}a")
}

/// Prints JSON on one line.
pub fn print_json(value: &Value) {
    println!("{value}");
}

/// A length of time for people.
pub fn show_us(us: u64) -> String {
    match us {
        0..=999 => format!("{us} us"),
        1_000..=999_999 => format!("{:.1} ms", us as f64 / 1e3),
        _ => format!("{:.2} s", us as f64 / 1e6),
    }
}
