//! Measures the write outage after the loss of a primary: the time between the last acknowledged
//! write before the loss and the first one after it.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::{Faults, Mode, Sizes};
use tokio::task::JoinSet;

use crate::plan::Plan;
use crate::session::Session;
use crate::testbed::Testbed;

/// Number of hosts, as in the smaller of the users' deployments.
const HOSTS: usize = 6;

/// How long a promotion takes on the users' platform.
const PROMOTION_TIME: Duration = Duration::from_millis(1_000);

/// Number of writers, which write during the whole measurement.
const WRITERS: usize = 24;

/// Pause of a writer between two writes. All writers together write every one to two milliseconds.
const WRITE_PAUSE: Duration = Duration::from_millis(30);

/// Time limit for one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long writes are observed after the loss of the primary.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

/// Time for the fleet to settle before the next measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Why a primary is lost. The text is printed with the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Cause {
    /// its process dies
    Crashes,
    /// it answers nothing any more
    Silent,
    /// it says that it leaves
    Leaves,
    /// its process dies while the store is away
    CrashesWithoutStore,
}

impl Cause {
    /// All causes, in the order in which they are measured.
    pub const ALL: [Cause; 4] = [
        Cause::Crashes,
        Cause::Silent,
        Cause::Leaves,
        Cause::CrashesWithoutStore,
    ];
}

/// What the platform and its servers are like.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Whether a replaced primary keeps leading its own term, and fencing tokens are not checked.
    pub lax: bool,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub synchronous: bool,
}

/// Measures the write outage after a primary is lost by `cause`, `count` times, with `program`.
/// Settings and logs go to `folder`.
///
/// # Errors
/// Processes or relays cannot be started.
pub async fn measure(
    cause: Cause,
    count: usize,
    setting: Setting,
    program: &Path,
    folder: &Path,
) -> io::Result<Vec<Duration>> {
    let sizes = Sizes {
        promotion: PROMOTION_TIME,
        synchronous: setting.synchronous,
        ..Sizes::default()
    };
    let plan = Plan {
        lax: setting.lax,
        ..Plan::without_faults(HOSTS, sizes)
    };
    let testbed = Testbed::start(plan, program, folder).await?;
    testbed.wait_until_ready().await;
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut writers = JoinSet::new();
    for number in 0..WRITERS {
        let host = testbed.caller_address(number % HOSTS);
        let (stop, acknowledged) = (Arc::clone(&stop), Arc::clone(&acknowledged));
        writers.spawn(write(number, host, stop, acknowledged));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let mut gaps = Vec::new();
    for _ in 0..count {
        acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let primary = testbed.primary();
        inject(&testbed, cause, &primary);
        tokio::time::sleep(OBSERVATION_TIME).await;
        gaps.extend(longest_gap(&acknowledged));
        undo(&testbed, cause, &primary).await;
        tokio::time::sleep(SETTLE_TIME).await;
    }
    stop.store(true, Ordering::Relaxed);
    writers.join_all().await;
    Ok(gaps)
}

fn inject(testbed: &Testbed, cause: Cause, primary: &str) {
    let silent = Faults {
        silent: true,
        ..Faults::default()
    };
    match cause {
        Cause::Crashes => testbed.site.crash(primary),
        Cause::Silent => testbed.site.set_faults(primary, silent),
        Cause::Leaves => testbed.site.leave(primary),
        Cause::CrashesWithoutStore => {
            testbed.site.store.set_mode(Mode::Busy);
            testbed.site.crash(primary);
        }
    }
}

async fn undo(testbed: &Testbed, cause: Cause, primary: &str) {
    match cause {
        Cause::Crashes => testbed.revive(primary).await,
        Cause::Silent => testbed.site.set_faults(primary, Faults::default()),
        Cause::Leaves => testbed.site.stay(primary),
        Cause::CrashesWithoutStore => {
            testbed.site.store.set_mode(Mode::Up);
            testbed.revive(primary).await;
        }
    }
}

/// Returns the longest time between two consecutive acknowledgements, or since the last one.
fn longest_gap(acknowledged: &Mutex<Vec<Instant>>) -> Option<Duration> {
    let acknowledged = acknowledged.lock();
    let mut times = acknowledged.unwrap_or_else(PoisonError::into_inner).clone();
    times.push(Instant::now());
    times.sort_unstable();
    times.windows(2).map(|pair| pair[1] - pair[0]).max()
}

/// Writes to an item of its own through `host` until `stop`, and records each acknowledgement.
async fn write(
    number: usize,
    host: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
    acknowledged: Arc<Mutex<Vec<Instant>>>,
) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut session) = Session::open(host, "bids", "anybody").await else {
            tokio::time::sleep(WRITE_PAUSE).await;
            continue;
        };
        while !stop.load(Ordering::Relaxed) {
            count += 1;
            let (id, text) = (
                format!("{number:08x}{count:08x}"),
                format!("STORE item-{number} d{count}"),
            );
            let Ok(reply) = session.run(&id, &text, WRITE_TIMEOUT).await else {
                break;
            };
            if reply.is_done() {
                let mut acknowledged = acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
                acknowledged.push(Instant::now());
            }
            tokio::time::sleep(WRITE_PAUSE).await;
        }
    }
}
