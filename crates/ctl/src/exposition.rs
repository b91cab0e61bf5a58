//! The text format in which hosts serve their metrics.

use std::collections::BTreeMap;
use std::str::Chars;

/// One line of the format: the value of a metric with its labels.
#[derive(Debug)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Values of its labels, by name.
    pub labels: BTreeMap<String, String>,
    /// The value.
    pub value: f64,
}

impl Sample {
    /// Returns the value of a label, or an empty text if the sample does not have it.
    pub fn label(&self, name: &str) -> String {
        self.labels.get(name).cloned().unwrap_or_default()
    }

    /// Returns the value of a counter.
    pub fn count(&self) -> u64 {
        self.value as u64
    }
}

/// Decodes a whole response. Comments and empty lines are skipped.
///
/// # Errors
///
/// Returns the first line that is no sample.
pub fn parse(text: &str) -> Result<Vec<Sample>, String> {
    let lines = text.lines().map(str::trim);
    let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    let samples = lines.map(|line| sample(line).ok_or_else(|| line.to_owned()));
    samples.collect()
}

fn sample(line: &str) -> Option<Sample> {
    let end = line.find(['{', ' '])?;
    let (name, rest) = line.split_at(end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => {
            let mut rest = rest.chars();
            (labels(&mut rest)?, rest.as_str())
        }
        None => (BTreeMap::new(), rest),
    };
    // A time may follow the value.
    let value = rest.split_whitespace().next()?;
    Some(Sample {
        name: name.to_owned(),
        labels,
        value: value.parse().ok()?,
    })
}

/// Reads labels up to the closing brace.
fn labels(rest: &mut Chars<'_>) -> Option<BTreeMap<String, String>> {
    let mut labels = BTreeMap::new();
    loop {
        let mut name = String::new();
        loop {
            match rest.next()? {
                '}' if name.is_empty() => return Some(labels),
                '=' => break,
                ',' | ' ' if name.is_empty() => {}
                letter => name.push(letter),
            }
        }
        if rest.next()? != '"' {
            return None;
        }
        labels.insert(name, quoted(rest)?);
    }
}

/// Reads a label's value up to the closing quote.
fn quoted(rest: &mut Chars<'_>) -> Option<String> {
    let mut value = String::new();
    loop {
        match rest.next()? {
            '"' => return Some(value),
            '\\' => match rest.next()? {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
}
