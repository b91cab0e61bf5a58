//! `flamingopost-capacity configuration [--sizes 10,100,1000]`
//!
//! Measures the size of a configuration in bytes, the processor time to adopt it and its memory, by
//! number of services.

use std::fmt;
use std::sync::Arc;

use flamingopost_core::directory::Directory;
use flamingopost_core::rule::Index;
use serde::Serialize;

use super::{parse_sizes, print};
use crate::error::Error;
use crate::flags;
use crate::fleet;
use crate::slope::Line;
use crate::usage;

const DEFAULT_SIZES: [usize; 3] = [10, 100, 1000];

/// Number of copies that are kept in memory at once to measure the memory of one.
const COPIES: usize = 8;

#[derive(Debug, Serialize)]
struct Point {
    services: usize,
    bytes: usize,
    adopt_microseconds: f64,
    memory_bytes: f64,
}

#[derive(Debug, Serialize)]
struct Figures {
    points: Vec<Point>,
    bytes: Line,
    adopt_microseconds: Line,
    memory_bytes: Line,
}

/// Runs the subcommand.
pub fn run(flags: flags::Configuration) -> Result<(), Error> {
    let sizes = parse_sizes(flags.sizes, &DEFAULT_SIZES)?;
    let points = sizes
        .into_iter()
        .map(measure)
        .collect::<Result<Vec<_>, _>>()?;
    let line = |cost: fn(&Point) -> f64| Line::fit_by(&points, |point| point.services, cost);
    let figures = Figures {
        bytes: line(|point| point.bytes as f64)?,
        adopt_microseconds: line(|point| point.adopt_microseconds)?,
        memory_bytes: line(|point| point.memory_bytes)?,
        points,
    };
    print(&figures, flags.json)
}

/// Measures a generated configuration with `services` services.
fn measure(services: usize) -> Result<Point, Error> {
    let text = fleet::generate(services);
    let memory_bytes = usage::memory_bytes_per_value(COPIES, || adopt(services, &text))?;
    let adopt_microseconds = usage::processor_microseconds(|| adopt(services, &text))?;
    Ok(Point {
        services,
        bytes: text.len(),
        adopt_microseconds,
        memory_bytes,
    })
}

/// Parses and indexes a configuration as an entry host does when it adopts one. Returns what the
/// host keeps in memory.
fn adopt(services: usize, text: &str) -> Result<(Directory, Index, String), Error> {
    let mut directory = Directory::default();
    let fleet = fleet::parse(services, text, &mut directory)?;
    let index = Index::new(Arc::new(fleet));
    Ok((directory, index, text.to_owned()))
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>8} {:>10} {:>12} {:>14}",
            "services", "bytes", "adopt µs", "memory bytes"
        )?;
        for point in &self.points {
            writeln!(
                f,
                "{:>8} {:>10} {:>12.0} {:>14.0}",
                point.services, point.bytes, point.adopt_microseconds, point.memory_bytes
            )?;
        }
        writeln!(
            f,
            "{:>8} {:>10.0} {:>12.1} {:>14.0}",
            "each", self.bytes.each, self.adopt_microseconds.each, self.memory_bytes.each
        )
    }
}
