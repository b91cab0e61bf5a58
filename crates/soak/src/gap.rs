//! How long nothing is written when a primary goes: from its last acknowledgement to the next one.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::{Faults, Mode, Sizes};
use tokio::task::JoinSet;

use crate::plan::Plan;
use crate::session::Session;
use crate::stage::Stage;

/// Hosts, as on the smaller of the users' deployments.
const HOSTS: usize = 6;

/// How long a promotion takes on the users' platform.
const PROMOTION: Duration = Duration::from_millis(1_000);

/// Writers at work all the while.
const WRITERS: usize = 24;

/// Pause of a writer between two writes: together they write every millisecond or two.
const PAUSE: Duration = Duration::from_millis(30);

/// How long one write may take.
const PATIENCE: Duration = Duration::from_secs(3);

/// How long a change is watched.
const WATCH: Duration = Duration::from_secs(5);

/// How long everything has to settle before the next one.
const REST: Duration = Duration::from_secs(3);

/// How a primary goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Way {
    /// its process dies
    Dies,
    /// it answers nothing any more
    Silent,
    /// it says that it leaves
    Leaves,
    /// its process dies while the store is away
    DiesWithoutStore,
}

impl Way {
    /// All of them.
    pub const ALL: [Way; 4] = [Way::Dies, Way::Silent, Way::Leaves, Way::DiesWithoutStore];
}

/// Measures the gap of `way` `count` times with `program`; settings and logs go to `folder`. With
/// `lax`, replaced primaries lead on and tokens are not checked.
///
/// # Errors
/// Processes or relays cannot be started.
pub async fn measure(
    way: Way,
    count: usize,
    lax: bool,
    program: &Path,
    folder: &Path,
) -> io::Result<Vec<Duration>> {
    let sizes = Sizes {
        promotion: PROMOTION,
        ..Sizes::default()
    };
    let plan = Plan {
        lax,
        ..Plan::calm(HOSTS, sizes)
    };
    let stage = Stage::set(plan, program, folder).await?;
    stage.started().await;
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut writers = JoinSet::new();
    for number in 0..WRITERS {
        let host = stage.host(number % HOSTS);
        let (stop, acknowledged) = (Arc::clone(&stop), Arc::clone(&acknowledged));
        writers.spawn(write(number, host, stop, acknowledged));
    }
    tokio::time::sleep(REST).await;
    let mut gaps = Vec::new();
    for _ in 0..count {
        acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let primary = stage.primary();
        strike(&stage, way, &primary);
        tokio::time::sleep(WATCH).await;
        gaps.extend(longest(&acknowledged));
        mend(&stage, way, &primary).await;
        tokio::time::sleep(REST).await;
    }
    stop.store(true, Ordering::Relaxed);
    writers.join_all().await;
    Ok(gaps)
}

fn strike(stage: &Stage, way: Way, primary: &str) {
    let silent = Faults {
        silent: true,
        ..Faults::default()
    };
    match way {
        Way::Dies => stage.site.crash(primary),
        Way::Silent => stage.site.set_faults(primary, silent),
        Way::Leaves => stage.site.leave(primary),
        Way::DiesWithoutStore => {
            stage.site.store.set_mode(Mode::Busy);
            stage.site.crash(primary);
        }
    }
}

async fn mend(stage: &Stage, way: Way, primary: &str) {
    match way {
        Way::Dies => stage.revive(primary).await,
        Way::Silent => stage.site.set_faults(primary, Faults::default()),
        Way::Leaves => stage.site.stay(primary),
        Way::DiesWithoutStore => {
            stage.site.store.set_mode(Mode::Up);
            stage.revive(primary).await;
        }
    }
}

/// The longest time between two neighbours, or to now if it goes on.
fn longest(acknowledged: &Mutex<Vec<Instant>>) -> Option<Duration> {
    let acknowledged = acknowledged.lock();
    let mut times = acknowledged.unwrap_or_else(PoisonError::into_inner).clone();
    times.push(Instant::now());
    times.sort_unstable();
    times.windows(2).map(|pair| pair[1] - pair[0]).max()
}

/// Writes to an item of its own through `host`.
async fn write(
    number: usize,
    host: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
    acknowledged: Arc<Mutex<Vec<Instant>>>,
) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut session) = Session::open(host, "bids").await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        while !stop.load(Ordering::Relaxed) {
            count += 1;
            let (id, text) = (
                format!("{number:08x}{count:08x}"),
                format!("STORE item-{number} d{count}"),
            );
            let Ok(reply) = session.run(&id, &text, PATIENCE).await else {
                break;
            };
            if reply.is_done() {
                let mut acknowledged = acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
                acknowledged.push(Instant::now());
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
