//! The measures' program.

fn main() {}
