//! Whether one start of a server is over.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Whether one start of a server is over: the server has started again.
///
/// Guards against waiting for an answer that nobody will give. Where a server's machine went dark
/// with it, nothing comes back on its connections, not even that they have ended, and a statement
/// would wait until its time is over.
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
    /// It is over from now on.
    pub fn raise(&self) {
        self.state.is_raised.set(true);
        self.state.notify.notify_waiters();
    }

    /// Whether it is over.
    pub fn is_raised(&self) -> bool {
        self.state.is_raised.get()
    }

    /// Returns when it is over.
    pub async fn raised(&self) {
        let ended = self.state.notify.notified();
        if !self.is_raised() {
            ended.await;
        }
    }
}
