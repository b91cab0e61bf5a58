//! The faults that a run injects.

use std::time::Duration;

use flamingopost_standin::pooled::{Garbage, Odd, OrderMode, Remains};

use crate::net::Endpoint;
use crate::start::{Cut, Form};

/// A fault, with its duration if it ends by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A host is asked to stop (SIGTERM), and is restarted once it has exited.
    Stop {
        /// Number of the host.
        host: usize,
    },
    /// A host is asked to stop, and is asked to reload its settings file while it does.
    StopAndReload {
        /// Number of the host.
        host: usize,
        /// Number of SIGHUPs.
        count: u32,
        /// Time before each of them.
        pause: Duration,
    },
    /// The settings file of a host that runs is written anew in two pieces, with a SIGHUP after each.
    Rewrite {
        /// Number of the host.
        host: usize,
        /// How the settings are written.
        form: Form,
        /// The first piece.
        cut: Cut,
    },
    /// Another writer adds a row that no reader expects to a table of the store.
    OddRow {
        /// Name of the table.
        table: &'static str,
        /// The row.
        what: Odd,
        /// Time until it is removed, if that is before the end of the run.
        lasts: Option<Duration>,
    },
    /// A host's process is killed (SIGKILL), and is restarted later.
    Kill {
        /// Number of the host.
        host: usize,
        /// Time until it is restarted.
        lasts: Duration,
    },
    /// The processes of all hosts are killed at the same time, and are restarted at once.
    KillAll,
    /// A host's process is suspended (SIGSTOP).
    Pause {
        /// Number of the host.
        host: usize,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// A host is asked to reload its settings file (SIGHUP).
    Reload {
        /// Number of the host.
        host: usize,
    },
    /// A server crashes, its entry in the server list expires unless the fault is short, and it
    /// comes back.
    Crash {
        /// The affected server.
        server: Victim,
        /// Time until it comes back.
        lasts: Duration,
    },
    /// A server crashes and restarts under the same id.
    Restart {
        /// The affected server.
        server: Victim,
        /// Time until it restarts.
        after: Duration,
        /// Delay until its entry in the server list shows the restart.
        late: Duration,
        /// Which of its data survive.
        remains: Remains,
    },
    /// Another writer adds an invalid entry to the server list, or overwrites an entry.
    Overwrite {
        /// Number of the server whose entry is overwritten or gets an invalid neighbour.
        server: usize,
        /// What is written.
        what: Garbage,
        /// Time until the server writes its entry again.
        lasts: Duration,
    },
    /// A server accepts connections and does not answer.
    Silence {
        /// The affected server.
        server: Victim,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// A server refuses all work, as if its queue were full.
    Full {
        /// The affected server.
        server: Victim,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// A server runs statements, but their answers are lost.
    LoseAnswers {
        /// The affected server.
        server: Victim,
        /// Number of answers that are lost.
        count: u32,
    },
    /// A server does not receive replication from the primary.
    Deaf {
        /// The affected server.
        server: Victim,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// A server announces that it leaves, stops, and is replaced by a new one at the same address.
    Leave {
        /// The affected server.
        server: Victim,
    },
    /// The store misbehaves.
    Store {
        /// How it misbehaves.
        how: StoreFault,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// The store drops its change history.
    Forget,
    /// The store becomes unavailable and is restored from a backup; operators and servers write
    /// their rows again.
    Restore {
        /// Age of the backup when the store becomes unavailable.
        age: Duration,
        /// For how long the store is unavailable.
        away: Duration,
        /// Time from the restore until rows that the backup lacks are written again.
        rewritten: Duration,
    },
    /// Promotions take another time from now on.
    Promotion {
        /// Time from an order until its server leads.
        takes: Duration,
    },
    /// Orders get no answer.
    Orders {
        /// What becomes of them.
        mode: OrderMode,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// A new version of the configuration is published.
    Configure,
    /// Traffic in one direction between two endpoints is blocked.
    Cut {
        /// The sending endpoint.
        from: Endpoint,
        /// The receiving endpoint.
        to: Endpoint,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// Traffic in one direction between two endpoints is delayed.
    Delay {
        /// The sending endpoint.
        from: Endpoint,
        /// The receiving endpoint.
        to: Endpoint,
        /// Added latency.
        by: Duration,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// All connections from one endpoint to another are reset.
    Reset {
        /// The sending endpoint.
        from: Endpoint,
        /// The receiving endpoint.
        to: Endpoint,
    },
    /// Operators replace the API key of a team.
    ReplaceKey {
        /// Number of the team.
        team: usize,
    },
    /// Operators change the limit of a team.
    ChangeLimit {
        /// Number of the team.
        team: usize,
        /// Operations per second, and size of a burst.
        rate: u32,
    },
    /// The primary is partitioned from some hosts and its replicas, and the host that acts on that is cut off
    /// from the other hosts, the store and, if `with_orders`, the platform's endpoint for orders.
    CutOffActing {
        /// When it is cut off.
        moment: Moment,
        /// Whether it is also cut off from the endpoint for orders.
        with_orders: bool,
        /// Duration of the cut.
        lasts: Duration,
    },
    /// Hosts learn of changes of the server list late.
    LateList {
        /// How late.
        by: Duration,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// The last hosts are partitioned from the other hosts. As that ends, the first hosts are partitioned with
    /// the primary from everything else but their callers.
    CutInTurn {
        /// Number of the hosts that are silent first.
        silent: usize,
        /// Duration of that.
        silent_for: Duration,
        /// Number of the hosts that are partitioned with the primary.
        near: usize,
        /// Duration of that.
        cut_for: Duration,
    },
    /// The primary is silent, and all hosts are killed once an order for its successor was given. They are
    /// restarted when it is back.
    AbandonOrder {
        /// What becomes of the order.
        mode: OrderMode,
        /// How long the primary is silent.
        lasts: Duration,
        /// Time from the order until the hosts are killed.
        after: Duration,
    },
    /// The server that a claim names does not receive replication for a while, and the primary is lost
    /// meanwhile.
    LoseBehind {
        /// For how long it does not.
        lasts: Duration,
    },
    /// A host is partitioned from everything except its callers.
    Isolate {
        /// Number of the host.
        host: usize,
        /// Duration of the fault.
        lasts: Duration,
    },
}

/// A moment of a change of primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// A host has claimed the change.
    Claim,
    /// A host is about to order a successor, or has just done so.
    Order,
}

/// The server that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Victim {
    /// The primary at the time of the fault.
    Primary,
    /// The server with this number, counted from 0.
    Number(usize),
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It refuses all requests.
    Busy,
    /// It does not answer.
    Silent,
    /// It answers slowly.
    Slow,
    /// It carries out all requests, but does not answer writes.
    Lossy,
}
