//! What goes wrong in a run.

use std::time::Duration;

use flamingopost_standin::pooled::{Garbage, Remains};

use crate::net::Endpoint;

/// Something that goes wrong, and for how long where it ends by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A host is told to end (SIGTERM), and starts again once it has.
    Stop {
        /// Its number.
        host: usize,
    },
    /// A host's process is killed, and starts again after a while.
    Kill {
        /// Its number.
        host: usize,
        /// Until it starts again.
        lasts: Duration,
    },
    /// All hosts' processes are killed at once.
    KillAll,
    /// A host's process stands still (SIGSTOP).
    Pause {
        /// Its number.
        host: usize,
        /// For how long.
        lasts: Duration,
    },
    /// A host is told that its settings file has changed (SIGHUP).
    Reload {
        /// Its number.
        host: usize,
    },
    /// A server dies, its entry lapses, and it comes back.
    Crash {
        /// Which one.
        server: Victim,
        /// Until it comes back.
        lasts: Duration,
    },
    /// A server dies and starts again under its id.
    Restart {
        /// Which one.
        server: Victim,
        /// Until it starts again.
        after: Duration,
        /// How much later its entry says so.
        late: Duration,
        /// What it has left.
        remains: Remains,
    },
    /// Another writer puts something into the list of servers, or in the place of an entry.
    Overwrite {
        /// Which server's entry, or the one beside it.
        server: usize,
        /// What.
        what: Garbage,
        /// Until the server writes its entry anew.
        lasts: Duration,
    },
    /// A server accepts connections and answers nothing.
    Silence {
        /// Which one.
        server: Victim,
        /// For how long.
        lasts: Duration,
    },
    /// A server refuses all work, as with a full queue.
    Full {
        /// Which one.
        server: Victim,
        /// For how long.
        lasts: Duration,
    },
    /// Answers to some statements that a server runs are lost.
    LoseAnswers {
        /// Which one.
        server: Victim,
        /// How many.
        count: u32,
    },
    /// Nothing from the primary reaches a server.
    Deaf {
        /// Which one.
        server: Victim,
        /// For how long.
        lasts: Duration,
    },
    /// A server is about to leave, ends, and another one comes at its address.
    Leave {
        /// Which one.
        server: Victim,
    },
    /// The store misbehaves.
    Store {
        /// How.
        how: StoreFault,
        /// For how long.
        lasts: Duration,
    },
    /// The store drops its history.
    Forget,
    /// The store goes away and comes back from a copy; operators and servers write theirs again.
    Restore {
        /// How old the copy is by then.
        age: Duration,
        /// For how long the store is away.
        away: Duration,
        /// After how long what the copy lacks is written again.
        rewritten: Duration,
    },
    /// The configuration changes.
    Configure,
    /// What goes one way between two ends is held back.
    Cut {
        /// From where.
        from: Endpoint,
        /// To where.
        to: Endpoint,
        /// For how long.
        lasts: Duration,
    },
    /// What goes between two ends takes longer.
    Delay {
        /// One end.
        from: Endpoint,
        /// The other.
        to: Endpoint,
        /// How much longer.
        by: Duration,
        /// For how long.
        lasts: Duration,
    },
    /// All connections from one end to another are reset.
    Reset {
        /// From where.
        from: Endpoint,
        /// To where.
        to: Endpoint,
    },
    /// A host is cut off from everything but its callers.
    Isolate {
        /// Its number.
        host: usize,
        /// For how long.
        lasts: Duration,
    },
}

/// Which server a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Victim {
    /// The one that leads at that moment.
    Primary,
    /// The one with this number.
    Number(usize),
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It refuses everything.
    Busy,
    /// It answers nothing.
    Silent,
    /// It is slow.
    Slow,
    /// It does what it is asked and answers no write.
    Lossy,
}
