//! Signals that arrive before a process handles them.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::flag;

/// The signals that arrived since the process began. Without it they end a process that has not
/// installed its handlers yet.
///
/// ```
/// use flamingopost_daemon::signals::Signals;
///
/// let signals = Signals::catch().unwrap();
/// assert!(!signals.stop_requested());
/// assert!(!signals.take_reload_request());
/// ```
#[derive(Debug, Clone)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Records signals from now on. Handlers that are installed later receive them as well. A write
    /// beyond the limit of the size of files fails from now on, instead of ending the process.
    ///
    /// # Errors
    /// Returns an error if a handler cannot be installed.
    pub fn catch() -> io::Result<Signals> {
        let signals = Signals {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        flag::register(SIGTERM, Arc::clone(&signals.stop))?;
        flag::register(SIGINT, Arc::clone(&signals.stop))?;
        flag::register(SIGXFSZ, Arc::default())?;
        Ok(signals)
    }

    /// Reports whether SIGTERM or SIGINT has arrived.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Reports whether SIGHUP has arrived since the last call.
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::SeqCst)
    }
}
