//! The difference between two texts, line by line.

common::data! {
    /// One line of a difference.
    pub enum Line {
        /// The line is only in the old text.
        Gone(String),
        /// The line is only in the new text.
        Added(String),
    }
}

/// Lines that differ between two texts, in order.
pub fn lines(old: &str, new: &str) -> Vec<Line> {
    let changes = similar::TextDiff::from_lines(old, new);
    let line = |change: similar::Change<&str>| {
        let text = change.value().trim_end().to_owned();
        match change.tag() {
            similar::ChangeTag::Delete => Some(Line::Gone(text)),
            similar::ChangeTag::Insert => Some(Line::Added(text)),
            similar::ChangeTag::Equal => None,
        }
    };
    changes.iter_all_changes().filter_map(line).collect()
}
