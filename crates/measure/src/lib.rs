//! The measures of the brief.
