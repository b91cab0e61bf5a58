//! Measures the processor time and memory that work costs this process.

use std::process;
use std::time::Duration;

use flamingopost_load::process::{processor_time, resident};

use crate::error::Error;

/// Processor time that repeated runs must use before they are averaged. The system counts it in
/// steps of 10 ms, so a shorter measurement is inexact.
const MIN_PROCESSOR_TIME: Duration = Duration::from_millis(300);

/// Returns the mean processor time of one run of `work`, in microseconds.
///
/// # Errors
/// Returns an error if the processor time cannot be read or `work` fails.
pub fn processor_microseconds<T>(mut work: impl FnMut() -> Result<T, Error>) -> Result<f64, Error> {
    let start = processor_time(process::id())?;
    let mut runs = 0_u32;
    loop {
        work()?;
        runs += 1;
        let used = processor_time(process::id())?.saturating_sub(start);
        if used >= MIN_PROCESSOR_TIME {
            return Ok(used.as_secs_f64() * 1e6 / f64::from(runs));
        }
    }
}

/// Returns the growth of resident memory per value, in bytes, when `work` creates `copies` values
/// that are all alive at the same time.
///
/// # Errors
/// Returns an error if the resident memory cannot be read or `work` fails.
pub fn memory_bytes_per_value<T>(
    copies: usize,
    mut work: impl FnMut() -> Result<T, Error>,
) -> Result<f64, Error> {
    let before = resident(process::id())?;
    let values = (0..copies)
        .map(|_| work())
        .collect::<Result<Vec<T>, Error>>()?;
    let after = resident(process::id())?;
    Ok(after.saturating_sub(before) as f64 / values.len().max(1) as f64)
}
