//! What the system knows about a process: processor time and memory.

use std::fs;
use std::time::Duration;

use crate::error::Error;

/// Clock ticks a second in `/proc/PID/stat`; Linux fixes this for user space.
const TICKS: u64 = 100;
/// Fields of `/proc/PID/stat` after the command's closing bracket: user and system time.
const USER: usize = 11;
const SYSTEM: usize = 12;

/// Processor time that process `pid` has used.
pub fn processor_time(pid: u32) -> Result<Duration, Error> {
    let text = read(pid, "stat")?;
    let (_, fields) = text.rsplit_once(')').unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let used = ticks(USER)
        .zip(ticks(SYSTEM))
        .map(|(user, system)| user + system);
    let used = used.ok_or_else(|| unreadable(pid))?;
    Ok(Duration::from_millis(used * 1000 / TICKS))
}

/// Memory of process `pid` that is in use, in bytes.
pub fn resident(pid: u32) -> Result<u64, Error> {
    let text = read(pid, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    Ok(kib.ok_or_else(|| unreadable(pid))? * 1024)
}

/// What process `pid` does: its state, the processor time that it has had, and the call of the kernel in
/// which its first thread waits, as `/proc` tells them.
///
/// ```
/// let condition = flamingopost_load::process::condition(std::process::id())?;
/// assert!(condition.contains("ms of processor time"), "{condition}");
/// # Ok::<(), flamingopost_load::error::Error>(())
/// ```
///
/// # Errors
/// The process has ended, or `/proc` cannot be read.
pub fn condition(pid: u32) -> Result<String, Error> {
    let status = read(pid, "status")?;
    let state = status.lines().find_map(|it| it.strip_prefix("State:"));
    let state = state.ok_or_else(|| unreadable(pid))?.trim();
    let used = processor_time(pid)?.as_millis();
    // Not every kernel tells.
    let waits = read(pid, "wchan").unwrap_or_default();
    Ok(format!(
        "{state}, {used} ms of processor time, waits in `{waits}`"
    ))
}

fn read(pid: u32, file: &str) -> Result<String, Error> {
    fs::read_to_string(format!("/proc/{pid}/{file}"))
        .map_err(|source| Error::Process { pid, source })
}

fn unreadable(pid: u32) -> Error {
    Error::Process {
        pid,
        source: std::io::ErrorKind::InvalidData.into(),
    }
}
