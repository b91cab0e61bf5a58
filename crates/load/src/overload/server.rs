//! The backend server of the model.

use std::collections::VecDeque;

/// Runs so many statements at once, the rest in the order in which they came.
#[derive(Debug)]
pub struct Server {
    free: u16,
    queue: VecDeque<u64>,
}

impl Server {
    /// A server with `slots`, all of them free.
    pub fn new(slots: u16) -> Server {
        Server {
            free: slots,
            queue: VecDeque::new(),
        }
    }

    /// Takes a statement; returns it where it runs at once.
    pub fn take(&mut self, id: u64) -> Option<u64> {
        if self.free > 0 {
            self.free -= 1;
            return Some(id);
        }
        self.queue.push_back(id);
        None
    }

    /// A statement ended; returns the next one to run.
    pub fn finish(&mut self) -> Option<u64> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.free += 1;
        }
        next
    }
}
