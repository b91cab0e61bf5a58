//! The report of all problems in a configuration.

use std::fmt;

use super::Problem;

/// All problems in a configuration, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Name of the file, as passed to [`super::parse`].
    pub file: String,
    /// The problems; never empty.
    pub problems: Vec<Problem>,
}

impl Report {
    pub(super) fn new(file: &str, mut found: Vec<Problem>) -> Report {
        found.sort_by_key(|problem| problem.line);
        let mut problems: Vec<Problem> = Vec::new();
        for problem in found {
            let line = problem.line;
            let mut on_same_line = problems.iter().rev().take_while(|other| other.line == line);
            // An invalid default that several servers inherit is found once for each of them.
            if !on_same_line.any(|other| *other == problem) {
                problems.push(problem);
            }
        }
        Report {
            file: file.to_owned(),
            problems,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            let (line, what, fix) = (problem.line, problem.what(), problem.fix());
            writeln!(f, "{}:{line}: {what}; {fix}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for Report {}
