//! `flamingopost-capacity view [--sizes 4,16,64]`
//!
//! Measures the size of a shard's encoded view in bytes, and the processor time to encode and
//! decode it, by number of services.

use std::fmt;

use flamingopost_core::directory::Directory;
use flamingopost_core::term::Term;
use flamingopost_core::view::{Service, Shard, State, Version};
use flamingopost_wire::view as wire;
use serde::Serialize;

use super::{parse_sizes, print};
use crate::error::Error;
use crate::flags;
use crate::slope::Line;
use crate::usage;

const DEFAULT_SIZES: [usize; 3] = [4, 16, 64];

/// Number of terms in a service's history: a month of promotions of the service that is promoted
/// most often.
const TERMS_PER_SERVICE: u32 = 4;

#[derive(Debug, Serialize)]
struct Point {
    services: usize,
    bytes: usize,
    write_microseconds: f64,
    read_microseconds: f64,
}

#[derive(Debug, Serialize)]
struct Figures {
    points: Vec<Point>,
    bytes: Line,
    write_microseconds: Line,
    read_microseconds: Line,
}

/// Runs the subcommand.
pub fn run(flags: flags::View) -> Result<(), Error> {
    let sizes = parse_sizes(flags.sizes, &DEFAULT_SIZES)?;
    let points = sizes
        .into_iter()
        .map(measure)
        .collect::<Result<Vec<_>, _>>()?;
    let line = |cost: fn(&Point) -> f64| Line::fit_by(&points, |point| point.services, cost);
    let figures = Figures {
        bytes: line(|point| point.bytes as f64)?,
        write_microseconds: line(|point| point.write_microseconds)?,
        read_microseconds: line(|point| point.read_microseconds)?,
        points,
    };
    print(&figures, flags.json)
}

/// Measures the view of a shard with `services` services.
fn measure(services: usize) -> Result<Point, Error> {
    let mut directory = Directory::default();
    let shard = generate_shard(services, &mut directory);
    let text = serde_json::to_string(&wire::Shard::encode(&shard, &directory))?;
    let write_microseconds = usage::processor_microseconds(|| {
        Ok(serde_json::to_string(&wire::Shard::encode(
            &shard, &directory,
        ))?)
    })?;
    let read_microseconds = usage::processor_microseconds(|| {
        let message: wire::Shard = serde_json::from_str(&text)?;
        Ok(message.decode(&mut directory)?)
    })?;
    Ok(Point {
        services,
        bytes: text.len(),
        write_microseconds,
        read_microseconds,
    })
}

/// Generates a shard with `services` open services.
fn generate_shard(services: usize, directory: &mut Directory) -> Shard {
    let version = Version {
        epoch: 7,
        change: 1_000,
    };
    let mut shard = Shard {
        version,
        ..Shard::default()
    };
    for index in 0..services {
        let service = directory
            .services
            .intern(&format!("consignment-ledger-{index}"));
        let primary = directory
            .servers
            .intern(&format!("consignment-ledger-{index}-1"));
        let term = Term {
            epoch: 7,
            count: TERMS_PER_SERVICE - 1,
        };
        let mut generated = Service::new(State::Open { term, primary });
        for count in 0..TERMS_PER_SERVICE {
            generated
                .history
                .open(Term { epoch: 7, count }, u64::from(count) * 1_000_000);
        }
        shard.services.insert(service, generated);
    }
    shard
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>8} {:>10} {:>10} {:>10}",
            "services", "bytes", "write µs", "read µs"
        )?;
        for point in &self.points {
            writeln!(
                f,
                "{:>8} {:>10} {:>10.1} {:>10.1}",
                point.services, point.bytes, point.write_microseconds, point.read_microseconds
            )?;
        }
        writeln!(
            f,
            "{:>8} {:>10.0} {:>10.2} {:>10.2}",
            "each", self.bytes.each, self.write_microseconds.each, self.read_microseconds.each
        )
    }
}
