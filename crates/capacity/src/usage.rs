//! What work costs this process.

use std::process;
use std::time::Duration;

use flamingopost_load::process::{processor_time, resident};

use crate::error::Error;

/// Work is repeated until it has used this much processor time: the system counts in steps of 10 ms.
const MIN_PROCESSOR_TIME: Duration = Duration::from_millis(300);

/// Processor time of one run of `work`, in microseconds.
///
/// # Errors
/// When the system does not tell, or `work` fails.
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

/// Growth of resident memory while `work` makes `copies` values and they are all held, in bytes a
/// value.
///
/// # Errors
/// When the system does not tell, or `work` fails.
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
