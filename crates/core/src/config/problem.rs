//! One thing that is wrong in a configuration.

use super::Fault;

/// One thing that is wrong in a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The line it is on, from 1.
    pub line: usize,
    /// What is wrong.
    pub fault: Fault,
}

impl Problem {
    /// What is wrong, as a sentence without its full stop.
    pub fn what(&self) -> String {
        self.fault.to_string()
    }

    /// What would be right.
    pub fn fix(&self) -> String {
        self.fault.fix()
    }
}
