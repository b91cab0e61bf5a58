//! Graceful shutdown of a daemon.

use std::sync::Arc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Shutdown phase of a daemon. It only advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The daemon works normally.
    Running,
    /// The daemon accepts no new work and finishes work in progress.
    Draining,
    /// The daemon stops, and aborts work that is still in progress.
    Stopped,
}

/// Shutdown signal shared by all tasks of a daemon. Clones observe the same phase.
///
/// ```
/// use flamingopost_daemon::stop::{Phase, Stop};
///
/// let stop = Stop::default();
/// let seen_by_a_task = stop.clone();
/// stop.drain();
/// assert_eq!(seen_by_a_task.phase(), Phase::Draining);
/// stop.stop();
/// stop.drain();
/// assert_eq!(stop.phase(), Phase::Stopped);
/// ```
#[derive(Debug, Clone)]
pub struct Stop {
    phase: Arc<watch::Sender<Phase>>,
}

impl Default for Stop {
    fn default() -> Self {
        Stop {
            phase: Arc::new(watch::Sender::new(Phase::Running)),
        }
    }
}

impl Stop {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Starts draining, unless the daemon is already draining or stopped.
    pub fn drain(&self) {
        self.advance(Phase::Draining);
    }

    /// Stops the daemon immediately.
    pub fn stop(&self) {
        self.advance(Phase::Stopped);
    }

    /// Waits until the daemon is draining or stopped.
    pub async fn draining(&self) {
        self.wait_for(Phase::Draining).await;
    }

    /// Waits until the daemon is stopped.
    pub async fn stopped(&self) {
        self.wait_for(Phase::Stopped).await;
    }

    /// Returns a receiver of phase changes, for use in `select!` loops.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Drains on the first SIGTERM or SIGINT and stops on the second, so that an operator can force
    /// the end without looking up the process.
    ///
    /// The signal handlers are installed by the call itself, not when the future is first polled. A
    /// signal in between would terminate the process at once, with callers still connected.
    ///
    /// # Errors
    /// Returns an error if the signal handlers cannot be installed.
    pub fn on_signals(self) -> impl Future<Output = std::io::Result<()>> + Send + 'static {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        async move { self.handle_signals(terminate?, interrupt?).await }
    }

    async fn handle_signals(
        self,
        mut terminate: Signal,
        mut interrupt: Signal,
    ) -> std::io::Result<()> {
        while self.phase() != Phase::Stopped {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = self.stopped() => return Ok(()),
            }
            match self.phase() {
                Phase::Running => self.drain(),
                Phase::Draining | Phase::Stopped => self.stop(),
            }
        }
        Ok(())
    }

    fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let advances = phase > *current;
            if advances {
                *current = phase;
            }
            advances
        });
    }

    async fn wait_for(&self, phase: Phase) {
        let mut receiver = self.phase.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
