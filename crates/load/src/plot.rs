//! Plots to look at: what became of requests over time, and how long they took.

use std::fs;
use std::path::Path;

use plotters::prelude::*;

use crate::error::Error;
use crate::fault::Injected;
use crate::history::{History, Operation};
use crate::outcome::Outcome;
use crate::plan::Plan;

const SIZE: (u32, u32) = (1000, 480);
const COLOURS: [RGBColor; 8] = [
    BLUE,
    RED,
    GREEN,
    MAGENTA,
    CYAN,
    BLACK,
    YELLOW,
    RGBColor(200, 120, 0),
];
/// Quantiles of the distribution plot, as the number of nines.
const NINES: [f64; 13] = [
    0.0, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.25, 2.5, 2.75, 3.0,
];

/// Draws every plot of a run into `directory`.
pub fn all(
    directory: &Path,
    plan: &Plan,
    history: &History,
    faults: &[Injected],
) -> Result<(), Error> {
    fs::create_dir_all(directory).map_err(|source| Error::File {
        path: directory.to_owned(),
        source,
    })?;
    let drawings: [(&str, Drawing); 2] = [("timeline.svg", timeline), ("latency.svg", latency)];
    for (name, draw) in drawings {
        let path = directory.join(name);
        draw(&path, plan, history, faults).map_err(|error| Error::Plot {
            path: path.clone(),
            reason: error.to_string(),
        })?;
    }
    Ok(())
}

type Drawn = Result<(), Box<dyn std::error::Error>>;
type Filter = fn(&Operation) -> bool;
type Drawing = fn(&Path, &Plan, &History, &[Injected]) -> Drawn;

/// Requests a second by what became of them, with the moments of faults.
fn timeline(path: &Path, plan: &Plan, history: &History, faults: &[Injected]) -> Drawn {
    let seconds = (plan.warm_up + plan.duration).as_secs() as usize + 1;
    let kinds: [(&str, Filter); 5] = [
        ("in time", Operation::in_time),
        ("late", |one| {
            one.outcome() == Outcome::Done && !one.in_time()
        }),
        ("not run", |one| one.outcome() == Outcome::NotRun),
        ("unknown", |one| one.outcome() == Outcome::Unknown),
        ("failed", |one| one.outcome() == Outcome::Failed),
    ];
    let series = kinds.map(|(name, is)| (name, per_second(history, seconds, is)));
    let most = series.iter().flat_map(|(_, counts)| counts).max().copied();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let top = f64::from(most.unwrap_or(1)) * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{}: requests a second by when they were due", plan.name),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("requests")
        .draw()?;
    for ((name, counts), colour) in series.iter().zip(COLOURS) {
        let points = counts.iter().enumerate();
        let points = points.map(|(second, count)| (second as f64 + 0.5, f64::from(*count)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    for fault in faults {
        let at = plan.warm_up.as_secs_f64() + fault.at_ms / 1e3;
        let line = PathElement::new([(at, 0.0), (at, top)], BLACK.mix(0.5));
        chart.draw_series([line])?;
        let label = Text::new(fault.name.clone(), (at, top * 0.97), ("sans-serif", 13));
        chart.draw_series([label])?;
    }
    legend(&mut chart)?;
    area.present()?;
    Ok(())
}

fn per_second(history: &History, seconds: usize, is: Filter) -> Vec<u32> {
    let mut counts = vec![0; seconds];
    for operation in history.operations.iter().filter(|one| is(one)) {
        let second = (operation.intended_us / 1_000_000).max(0) as usize;
        if let Some(count) = counts.get_mut(second) {
            *count += 1;
        }
    }
    counts
}

/// Latency by quantile for each class, on logarithmic axes.
fn latency(path: &Path, plan: &Plan, history: &History, _: &[Injected]) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!(
                "{}: time from when a request was due to its answer",
                plan.name
            ),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..3.0, (0.1..20_000.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("nines: 1 = 90%, 2 = 99%, 3 = 99.9%")
        .y_desc("ms")
        .draw()?;
    for (class, colour) in plan.classes.iter().zip(COLOURS.iter().cycle().copied()) {
        let mut times: Vec<f64> = history
            .operations
            .iter()
            .filter(|one| one.class == class.name && one.outcome() == Outcome::Done)
            .map(|one| (one.end_us - one.intended_us) as f64 / 1e3)
            .collect();
        times.sort_by(f64::total_cmp);
        let points = NINES
            .iter()
            .filter_map(|nines| Some((*nines, at(&times, *nines)?)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(class.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    legend(&mut chart)?;
    area.present()?;
    Ok(())
}

fn at(times: &[f64], nines: f64) -> Option<f64> {
    let quantile = 1.0 - 10f64.powf(-nines);
    let index = (quantile * times.len() as f64) as usize;
    times.get(index.min(times.len().saturating_sub(1))).copied()
}

fn legend<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
) -> Result<(), Box<dyn std::error::Error>>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}
