//! Signals that a server has restarted.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Signals that one incarnation of a server has ended because the server has restarted.
///
/// Guards against waiting for an answer that will never come. If a server's machine fails with it,
/// nothing arrives on its connections, not even a close, and a statement would wait until its
/// timeout.
#[derive(Debug, Clone, Default)]
pub struct RestartSignal {
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    is_raised: Cell<bool>,
    notify: Notify,
}

impl RestartSignal {
    /// Raises the signal.
    pub fn raise(&self) {
        self.state.is_raised.set(true);
        self.state.notify.notify_waiters();
    }

    /// Reports whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        self.state.is_raised.get()
    }

    /// Waits until the signal is raised.
    pub async fn raised(&self) {
        let notified = self.state.notify.notified();
        if !self.is_raised() {
            notified.await;
        }
    }
}
