//! What entry hosts tell each other, as datagrams.
//!
//! Remote calls over `jsonrpsee` do not fit here: a question is asked when connections to a part
//! of the hosts are likely to hang, has to reach all others within one round trip, and needs no
//! answer from any one of them. A datagram that is lost counts as no answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::position::Position;
use flamingopost_core::succession::Opinion;
use flamingopost_core::term::Term;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// Longest datagram; larger ones are not ours.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the host that sends it.
    pub host: String,
    /// The service that it is about.
    pub service: String,
    /// What it says.
    #[serde(rename = "word")]
    pub payload: Payload,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Do you hear me? Sent at intervals, about no service.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// When it was sent, by the sender's clock, in microseconds.
        sent: u64,
        /// How long ago the sender was last in touch with most hosts, in milliseconds.
        out_of_touch: u32,
        /// The newest epoch of the platform's store that the sender has heard of.
        epoch: u64,
        /// Services whose reads wait for the primary there, since nobody has vouched for replicas.
        #[serde(rename = "lacks")]
        sample_requests: Vec<String>,
        /// Primaries that are replaced, as the sender has lately heard.
        #[serde(rename = "ended")]
        ended_terms: Vec<EndedTerm>,
    },
    /// An answer to [`Payload::Heartbeat`].
    #[serde(rename = "Echo")]
    HeartbeatAck {
        /// What the question carried.
        sent: u64,
        /// How far the host that answers has read what the platform tells.
        #[serde(rename = "news")]
        progress: FeedProgress,
        /// For how long the host that answers has been in touch with most others without a break, in
        /// milliseconds: it has heard of all orders of that time.
        in_touch: u32,
        /// Primaries that are replaced, as the host that answers has heard since the one that asks
        /// was in touch.
        #[serde(rename = "ended")]
        ended_terms: Vec<EndedTerm>,
        /// What the host that answers knows of the primaries that the other asked for.
        samples: Vec<Sample>,
    },
    /// Do you reach server `server`, or, where none is named, any that leads?
    #[serde(rename = "Ask")]
    ReachabilityQuery {
        /// The server.
        server: Option<Server>,
        /// How far the host that asks has seen the service's log reach.
        furthest: WirePosition,
    },
    /// An answer to [`Payload::ReachabilityQuery`].
    #[serde(rename = "Tell")]
    ReachabilityReply {
        /// The server, if one was named.
        server: Option<Server>,
        /// How far the host that answers has seen the service's log reach.
        furthest: WirePosition,
        /// Whether the host has just heard from it.
        reaches: bool,
    },
    /// I lack connections to `server`, which is at its limit.
    #[serde(rename = "Short")]
    ConnectionShortage {
        /// The server.
        server: Server,
    },
    /// Server `server` leads `term`, as I have just seen.
    #[serde(rename = "Leads")]
    PrimaryObserved {
        /// The server.
        server: Server,
        /// The term.
        term: i64,
        /// How long after the order it did not lead yet, in milliseconds, if that was seen well.
        took: Option<u32>,
    },
    /// I replace a primary.
    #[serde(rename = "Acting")]
    PromotionStarted {
        /// Which, and by whom.
        #[serde(rename = "ended")]
        ended_term: EndedTerm,
    },
    /// How far have you seen the logs of services reach? Asked about no service.
    #[serde(rename = "Look")]
    LogQuery,
    /// An answer to [`Payload::LogQuery`].
    #[serde(rename = "Logs")]
    LogReply {
        /// The logs, or some of them where one message cannot hold all.
        logs: Vec<LogReport>,
    },
}

/// How far the log of a service has been seen to reach, at whichever of its servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// The service.
    pub service: String,
    /// How far.
    pub furthest: WirePosition,
    /// Where the newest term began that was ordered, as far as is known.
    pub term_start: Option<TermStart>,
    /// Servers whose claims to lead are not believed.
    pub doubted: Vec<Server>,
    /// Servers that were seen to lead.
    pub led: Vec<LedTerm>,
}

/// A server was seen to lead a term, and none newer than that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedTerm {
    /// The server.
    pub server: Server,
    term: i64,
}

impl LedTerm {
    /// `server` was seen to lead `term`.
    pub fn new(server: Server, term: Term) -> LedTerm {
        let term = term.number();
        LedTerm { server, term }
    }

    /// The term.
    pub fn term(&self) -> Term {
        Term::from_number(self.term)
    }
}

/// Where a log was when its server was ordered to lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// Identity of the server.
    pub server: String,
    /// The newest term that was known then.
    before: i64,
    /// How far the server had received the log, by its own word.
    #[serde(rename = "had")]
    received: WirePosition,
}

impl TermStart {
    /// `server` had received `had` when it was ordered to lead after the primary of `before`.
    pub fn new(server: String, before: Term, received: Position) -> TermStart {
        TermStart {
            server,
            before: before.number(),
            received: received.into(),
        }
    }

    /// The newest term that was known then.
    pub fn before(&self) -> Term {
        Term::from_number(self.before)
    }

    /// How far the server had received the log, by its own word.
    pub fn received(&self) -> Position {
        self.received.into()
    }
}

/// A primary's term is over: its successor is being ordered, or leads already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTerm {
    /// The service.
    pub service: String,
    /// The newest term that was known when the order was given.
    term: i64,
    /// Token of the order.
    pub token: u64,
    /// The server that is to lead.
    pub successor: Server,
    /// How far that one has received the log, by its own word.
    #[serde(rename = "had")]
    received: WirePosition,
    /// For how long the primary still serves, in milliseconds: one that is about to leave does
    /// until shortly before its successor leads.
    serves: u32,
}

impl EndedTerm {
    /// The primary of `term` of `service` serves for `serves` more; `successor`, which has received
    /// `had`, is to lead, by an order under `token`.
    pub fn new(
        service: String,
        term: Term,
        token: u64,
        (successor, received): (Server, Position),
        serves: Duration,
    ) -> EndedTerm {
        EndedTerm {
            service,
            term: term.number(),
            token,
            successor,
            received: received.into(),
            serves: u32::try_from(serves.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// The newest term that was known when the order was given.
    pub fn term(&self) -> Term {
        Term::from_number(self.term)
    }

    /// How far the server that is to lead has received the log, by its own word.
    pub fn received(&self) -> Position {
        self.received.into()
    }

    /// For how long the primary still serves.
    pub fn serves(&self) -> Duration {
        Duration::from_millis(u64::from(self.serves))
    }
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
pub struct WirePosition {
    term: i64,
    log: u64,
}

impl From<Position> for WirePosition {
    fn from(position: Position) -> WirePosition {
        WirePosition {
            term: position.term.number(),
            log: position.log,
        }
    }
}

impl From<WirePosition> for Position {
    fn from(extent: WirePosition) -> Position {
        Position {
            term: Term::from_number(extent.term),
            log: extent.log,
        }
    }
}

/// How far the log of a primary reached while it led: what reads at replicas go by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The service.
    pub service: String,
    /// How far.
    pub position: WirePosition,
    /// How long before the answer the primary was asked, in milliseconds.
    pub age: u32,
}

/// How far a host has read what the platform tells: the newest change of each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedProgress {
    /// Of the configuration.
    pub configuration: u64,
    /// Of the list of backend servers.
    pub backends: u64,
    /// The newest epoch of the platform's store.
    pub epoch: u64,
    /// How long ago the store was restored with it, in milliseconds, if the host has noticed that.
    pub restored: Option<u32>,
}

impl Payload {
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
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = self.socket.recv_from(&mut buffer).await?;
            if let Ok(message) = postcard::from_bytes(&buffer[..length]) {
                return Ok((message, from));
            }
        }
    }
}
