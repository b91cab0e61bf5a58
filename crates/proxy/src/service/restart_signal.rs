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
    over: Cell<bool>,
    ended: Notify,
}

impl RestartSignal {
    /// It is over from now on.
    pub fn end(&self) {
        self.state.over.set(true);
        self.state.ended.notify_waiters();
    }

    /// Whether it is over.
    pub fn is_over(&self) -> bool {
        self.state.over.get()
    }

    /// Returns when it is over.
    pub async fn ended(&self) {
        let ended = self.state.ended.notified();
        if !self.is_over() {
            ended.await;
        }
    }
}
