//! What can be wrong with a plan.

use std::path::PathBuf;

use displaydoc::Display;

/// A mistake in a plan.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Mistake {
    /// [{section}] lacks `{key}`
    Missing {
        /// Section.
        section: String,
        /// Key.
        key: &'static str,
    },
    /// [{section}] {key} = {value}: {reason}
    Value {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Value found.
        value: String,
        /// What would be right.
        reason: String,
    },
    /// [{0}] is no section of a plan: use run, target, setup [SERVICE], final [SERVICE], class NAME, fault NAME or baseline
    Section(String),
    /// [{section}] {key} is not known here
    Key {
        /// Section.
        section: String,
        /// Key.
        key: String,
    },
    /// the plan has no [class NAME]
    NoClass,
    /// not INI: {0}
    Syntax(String),
}

/// {path}: {list}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Error {
    /// The plan's file.
    pub path: PathBuf,
    /// All mistakes found.
    pub list: MistakeList,
}

impl std::error::Error for Error {}

/// All mistakes of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MistakeList(pub Vec<Mistake>);

impl std::fmt::Display for MistakeList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for mistake in &self.0 {
            write!(f, "\n  {mistake}")?;
        }
        Ok(())
    }
}
