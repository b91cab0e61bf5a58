//! The connections of a server: their number, their cancel keys and how to break them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rusqlite::InterruptHandle;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// How others reach into a running connection.
pub(crate) struct Handle {
    pub(crate) pid: i32,
    secret: i32,
    /// Whether it counts against the connection limit.
    counted: bool,
    /// Ends the connection.
    pub(crate) broken: CancellationToken,
    canceled: Notify,
    interrupt: Mutex<Option<InterruptHandle>>,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("pid", &self.pid)
            .field("counted", &self.counted)
            .finish_non_exhaustive()
    }
}

impl Handle {
    pub(crate) fn secret(&self) -> i32 {
        self.secret
    }

    /// Names the engine connection whose running statement a cancel request ends.
    pub(crate) fn set_interrupt(&self, interrupt: InterruptHandle) {
        *lock(&self.interrupt) = Some(interrupt);
    }

    /// Resolves when the statement that runs now is canceled.
    pub(crate) async fn canceled(&self) {
        self.canceled.notified().await;
    }

    fn cancel(&self) {
        self.canceled.notify_waiters();
        if let Some(interrupt) = lock(&self.interrupt).as_ref() {
            interrupt.interrupt();
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    last_pid: i32,
    handles: BTreeMap<i32, Arc<Handle>>,
}

/// All connections.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    inner: Mutex<Inner>,
}

impl Registry {
    /// Adds a connection, or gives `None` when `limit` connections that count are open.
    pub(crate) fn add(&self, counted: bool, limit: usize) -> Option<Arc<Handle>> {
        let mut inner = lock(&self.inner);
        let open = inner.handles.values().filter(|open| open.counted).count();
        if counted && open >= limit {
            return None;
        }
        inner.last_pid += 1;
        let handle = Arc::new(Handle {
            pid: inner.last_pid,
            secret: rand::random(),
            counted,
            broken: CancellationToken::new(),
            canceled: Notify::new(),
            interrupt: Mutex::new(None),
        });
        inner.handles.insert(handle.pid, Arc::clone(&handle));
        Some(handle)
    }

    pub(crate) fn remove(&self, pid: i32) {
        lock(&self.inner).handles.remove(&pid);
    }

    /// Connections that count against the limit.
    pub(crate) fn counted(&self) -> usize {
        let inner = lock(&self.inner);
        inner.handles.values().filter(|open| open.counted).count()
    }

    pub(crate) fn cancel(&self, pid: i32, secret: i32) {
        if let Some(handle) = lock(&self.inner).handles.get(&pid)
            && handle.secret == secret
        {
            handle.cancel();
        }
    }

    /// Breaks all connections but the one with number `spared`.
    pub(crate) fn break_all(&self, spared: Option<i32>) {
        for (pid, handle) in &lock(&self.inner).handles {
            if Some(*pid) != spared {
                handle.broken.cancel();
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
