//! A problem in a configuration.

use super::Fault;

/// A problem in a configuration, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The line of the problem, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub fault: Fault,
}

impl Problem {
    /// Returns what is wrong, as a sentence without a full stop.
    pub fn what(&self) -> String {
        self.fault.to_string()
    }

    /// Returns how to fix it.
    pub fn fix(&self) -> String {
        self.fault.fix()
    }
}
