//! What entry hosts tell each other, as datagrams.
//!
//! Remote calls over `jsonrpsee` do not fit here: a question is asked when connections to a part
//! of the hosts are likely to hang, has to reach all others within one round trip, and needs no
//! answer from any one of them. A datagram that is lost counts as no answer.

use std::io;
use std::net::SocketAddr;

use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::position::Position;
use flamingopost_core::succession::Opinion;
use flamingopost_core::term::Term;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// Longest datagram; larger ones are not ours.
const LONGEST: usize = 1_200;

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the host that sends it.
    pub host: String,
    /// The service that it is about.
    pub service: String,
    /// What it says.
    pub word: Word,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Do you hear me? Sent at intervals, about no service.
    Beat {
        /// When it was sent, by the sender's clock, in microseconds.
        sent: u64,
    },
    /// An answer to [`Word::Beat`].
    Echo {
        /// What the question carried.
        sent: u64,
        /// How far the host that answers has read what the platform tells.
        news: News,
    },
    /// Do you reach server `server`, or, where none is named, any that leads?
    Ask {
        /// The server.
        server: Option<Server>,
        /// How far the host that asks has seen the service's log reach.
        furthest: Extent,
    },
    /// An answer to [`Word::Ask`].
    Tell {
        /// The server, if one was named.
        server: Option<Server>,
        /// How far the host that answers has seen the service's log reach.
        furthest: Extent,
        /// Whether the host has just heard from it.
        reaches: bool,
    },
    /// I lack connections to `server`, which is at its limit.
    Short {
        /// The server.
        server: Server,
    },
    /// I change the primary to `server`.
    Acting {
        /// The server.
        server: Server,
        /// Whether the primary before it is alive and about to leave.
        planned: bool,
    },
}

/// A server, and which of its starts is meant: what is said of one does not hold for another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its identity.
    pub id: String,
    /// When it started, in Unix milliseconds.
    incarnation: u64,
}

impl Server {
    /// The start `incarnation` of server `id`.
    pub fn new(id: String, incarnation: Incarnation) -> Server {
        let incarnation = incarnation.0;
        Server { id, incarnation }
    }

    /// Which of its starts is meant.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// How far a log has been seen to reach.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extent {
    term: i64,
    log: u64,
}

impl From<Position> for Extent {
    fn from(position: Position) -> Extent {
        Extent {
            term: position.term.number(),
            log: position.log,
        }
    }
}

impl From<Extent> for Position {
    fn from(extent: Extent) -> Position {
        Position {
            term: Term::from_number(extent.term),
            log: extent.log,
        }
    }
}

/// How far a host has read what the platform tells: the newest change of each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Of the configuration.
    pub configuration: u64,
    /// Of the list of backend servers.
    pub backends: u64,
}

impl Word {
    /// What a host that answered `reaches` thinks.
    pub fn opinion(reaches: bool) -> Opinion {
        match reaches {
            true => Opinion::Reaches,
            false => Opinion::Fails,
        }
    }
}

/// Sends and receives [`Message`]s.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Listens on `address`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn bind(address: SocketAddr) -> io::Result<Socket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Socket { socket })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends `message` to `to`. Like any datagram it may be lost.
    pub fn send(&self, message: &Message, to: SocketAddr) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            // A full buffer loses it as the network might.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// The next message that can be understood, and who sent it.
    ///
    /// # Errors
    /// The socket is unusable.
    pub async fn receive(&self) -> io::Result<(Message, SocketAddr)> {
        let mut buffer = [0; LONGEST];
        loop {
            let (length, from) = self.socket.recv_from(&mut buffer).await?;
            if let Ok(message) = postcard::from_bytes(&buffer[..length]) {
                return Ok((message, from));
            }
        }
    }
}
