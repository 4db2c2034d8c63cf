//! Line-by-line difference between two texts.

common::data! {
    /// A line that differs between two texts.
    pub enum ChangedLine {
        /// A line that is only in the old text.
        Removed(String),
        /// A line that is only in the new text.
        Added(String),
    }
}

/// Compares two texts and returns the lines that differ, in order.
pub fn changed_lines(old: &str, new: &str) -> Vec<ChangedLine> {
    let diff = similar::TextDiff::from_lines(old, new);
    let to_line = |change: similar::Change<&str>| {
        let text = change.value().trim_end().to_owned();
        match change.tag() {
            similar::ChangeTag::Delete => Some(ChangedLine::Removed(text)),
            similar::ChangeTag::Insert => Some(ChangedLine::Added(text)),
            similar::ChangeTag::Equal => None,
        }
    };
    diff.iter_all_changes().filter_map(to_line).collect()
}
