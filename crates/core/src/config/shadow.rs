//! Detection of rules that no request can reach.

use super::{Fault, Problem};
use crate::rule::Rule;

/// Reports every rule whose requests are all matched by one earlier rule.
pub(super) fn check(rules: &[Rule], problems: &mut Vec<Problem>) {
    for (index, rule) in rules.iter().enumerate() {
        let mut earlier = rules[..index].iter();
        if let Some(by) = earlier.find(|earlier| earlier.when.covers(&rule.when)) {
            let fault = Fault::Unreachable {
                rule: rule.name.clone(),
                by: by.name.clone(),
                line: by.line,
            };
            let line = rule.line;
            problems.push(Problem { line, fault });
        }
    }
}
