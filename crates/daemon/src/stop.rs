//! How a daemon is told to finish.

use std::sync::Arc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// How far a daemon is on its way out. It only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It works.
    Running,
    /// It takes nothing new and finishes what runs.
    Draining,
    /// It is over: what still runs is cut off.
    Stopped,
}

/// Shared by all tasks of a daemon; clones see the same phase.
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
    /// The phase now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Asks for a graceful end.
    pub fn drain(&self) {
        self.advance(Phase::Draining);
    }

    /// Ends at once.
    pub fn stop(&self) {
        self.advance(Phase::Stopped);
    }

    /// Returns when the daemon drains or is over.
    pub async fn draining(&self) {
        self.wait_for(Phase::Draining).await;
    }

    /// Returns when the daemon is over.
    pub async fn stopped(&self) {
        self.wait_for(Phase::Stopped).await;
    }

    /// A receiver for loops that select over the phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Drains on the first SIGTERM or SIGINT and stops on the second, so that an operator in a
    /// hurry does not have to look for the process.
    ///
    /// Signals are listened for from the call on, not from when the future is first polled: one
    /// that came in between would end the process on the spot, with its callers in it.
    ///
    /// # Errors
    /// When the process may not listen for signals.
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
        // The sender lives in `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
