//! How an entry host of the model treats requests.

use std::collections::VecDeque;
use std::time::Duration;

use flamingopost_core::admission::ticket::Ticket;
use flamingopost_core::admission::{Admission, Completion, Gate};

use super::Run;

/// The ways that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As a plain pool does: first come, first served over the host's part of the connections.
    Fifo,
    /// The same, but a request whose deadline has passed while it waited is refused.
    Expiring,
    /// [`Gate`].
    Gate,
}

/// What a host does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Move {
    /// It sends a request to the server.
    Send(u64),
    /// It refuses one.
    Refuse(u64),
}

/// One entry host.
#[derive(Debug)]
pub enum Host {
    /// One with a plain pool.
    Pool {
        /// Connections that no request uses.
        free: usize,
        /// Requests that wait.
        queue: VecDeque<(u64, Duration)>,
        /// Whether those whose deadline has passed are refused.
        expiring: bool,
    },
    /// One with a gate.
    Gate(Box<Gate>),
}

impl Host {
    /// The host of a run at `index`; connections are dealt out evenly.
    pub fn new(run: &Run, index: usize) -> Host {
        let each = usize::from(run.connections) / run.hosts;
        let extra = usize::from(run.connections) % run.hosts;
        let free = each + usize::from(index < extra);
        match run.policy {
            Policy::Gate => {
                let mut gate = Gate::new(run.slots);
                gate.set_connections(free as u16, Duration::ZERO);
                Host::Gate(Box::new(gate))
            }
            policy => Host::Pool {
                free,
                queue: VecDeque::new(),
                expiring: policy == Policy::Expiring,
            },
        }
    }

    /// A request arrived.
    pub fn arrive(&mut self, ticket: Ticket, now: Duration) -> Vec<Move> {
        match self {
            Host::Gate(gate) => moves(gate.arrive(ticket, now)),
            Host::Pool { queue, .. } => {
                queue.push_back((ticket.id, ticket.deadline));
                self.send(now)
            }
        }
    }

    /// A request was answered.
    pub fn finish(&mut self, id: u64, end: Completion, now: Duration) -> Vec<Move> {
        match self {
            Host::Gate(gate) => moves(gate.finish(id, end, now)),
            Host::Pool { free, .. } => {
                *free += 1;
                self.send(now)
            }
        }
    }

    /// When to call [`Host::tick`].
    pub fn deadline(&self) -> Option<Duration> {
        match self {
            Host::Gate(gate) => gate.deadline(),
            Host::Pool { .. } => None,
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Move> {
        match self {
            Host::Gate(gate) => moves(gate.tick(now)),
            Host::Pool { .. } => Vec::new(),
        }
    }

    fn send(&mut self, now: Duration) -> Vec<Move> {
        let Host::Pool {
            free,
            queue,
            expiring,
        } = self
        else {
            return Vec::new();
        };
        let mut moves = Vec::new();
        while *free > 0 {
            let Some((id, deadline)) = queue.pop_front() else {
                break;
            };
            if *expiring && now > deadline {
                moves.push(Move::Refuse(id));
                continue;
            }
            *free -= 1;
            moves.push(Move::Send(id));
        }
        moves
    }
}

fn moves(next: Vec<Admission>) -> Vec<Move> {
    next.into_iter()
        .map(|next| match next {
            Admission::Start(id) => Move::Send(id),
            Admission::Refuse(id, _) => Move::Refuse(id),
        })
        .collect()
}
