//! Datagrams between entry hosts.
//!
//! Remote calls over `jsonrpsee` do not fit here. A query is sent when connections to some of the
//! hosts are likely to hang, has to reach all others within one round trip, and does not depend on
//! the answer of any particular host. A lost datagram counts as no answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::limit::{Grant, Request, Share};
use flamingopost_core::position::Position;
use flamingopost_core::succession::Opinion;
use flamingopost_core::term::Term;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::meter::{self, Direction};

mod loan;

pub use loan::{TeamLoan, TeamLoanRequest};

/// Maximum size of a datagram. Larger ones were not sent by an entry host.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sending host.
    pub host: String,
    /// The service that the message concerns. Empty if it concerns none.
    pub service: String,
    /// Content of the message.
    #[serde(rename = "word")]
    pub payload: Payload,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A heartbeat, sent at intervals. Concerns no service.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// When it was sent, by the sender's clock, in microseconds.
        sent: u64,
        /// Time since the sender was last in contact with a majority of hosts, in milliseconds.
        out_of_touch: u32,
        /// The newest epoch of the platform's store known to the sender.
        epoch: u64,
        /// Services whose reads wait for the sender's primary, because no sample vouches for a
        /// replica.
        #[serde(rename = "lacks")]
        sample_requests: Vec<String>,
        /// Terms that the sender has recently learned to be over.
        #[serde(rename = "ended")]
        ended_terms: Vec<EndedTerm>,
    },
    /// Acknowledges [`Payload::Heartbeat`].
    #[serde(rename = "Echo")]
    HeartbeatAck {
        /// The value from the heartbeat.
        sent: u64,
        /// How far the answering host has read the platform's feeds.
        #[serde(rename = "news")]
        progress: FeedProgress,
        /// How long the answering host has been in contact with a majority without a break, in
        /// milliseconds. It knows of all orders given during that time.
        in_touch: u32,
        /// Terms that the answering host has learned to be over since the sender of the heartbeat
        /// was last in contact with a majority.
        #[serde(rename = "ended")]
        ended_terms: Vec<EndedTerm>,
        /// The answering host's samples of the requested services.
        samples: Vec<Sample>,
    },
    /// Asks whether the receiver reaches `server`, or any primary if no server is named.
    #[serde(rename = "Ask")]
    ReachabilityQuery {
        /// The server.
        server: Option<Server>,
        /// How far the asking host has seen the service's log reach.
        furthest: WirePosition,
    },
    /// Answers [`Payload::ReachabilityQuery`].
    #[serde(rename = "Tell")]
    ReachabilityReply {
        /// The server, if one was named.
        server: Option<Server>,
        /// How far the answering host has seen the service's log reach.
        furthest: WirePosition,
        /// Whether the answering host has just reached the server.
        reaches: bool,
    },
    /// The sender lacks connections to `server`, which is at its connection limit.
    #[serde(rename = "Short")]
    ConnectionShortage {
        /// The server.
        server: Server,
    },
    /// The sender has just seen `server` lead `term`.
    #[serde(rename = "Leads")]
    PrimaryObserved {
        /// The server.
        server: Server,
        /// The term.
        term: i64,
        /// Time after the order at which the server did not lead yet, in milliseconds, if it was
        /// measured closely.
        took: Option<u32>,
    },
    /// The sender replaces a primary.
    #[serde(rename = "Acting")]
    PromotionStarted {
        /// The term that ends, and the successor.
        #[serde(rename = "ended")]
        ended_term: EndedTerm,
    },
    /// Asks how far the receiver has seen the logs of services reach. Concerns no service.
    #[serde(rename = "Look")]
    LogQuery,
    /// Answers [`Payload::LogQuery`].
    #[serde(rename = "Logs")]
    LogReply {
        /// The logs, or some of them if one message cannot hold all.
        logs: Vec<LogReport>,
    },
    /// Asks the receiver for operations within the limits of teams. Concerns no service.
    OperationRequest {
        /// Identifies the sending process.
        incarnation: u64,
        /// When the requests were sent, by the sender's clock, in nanoseconds: answers are matched
        /// by it.
        sent: u64,
        /// The requests.
        requests: Vec<TeamRequest>,
    },
    /// Answers [`Payload::OperationRequest`].
    OperationGrant {
        /// The time from the requests.
        sent: u64,
        /// The grants. A team that the answering host does not grant for is missing.
        grants: Vec<TeamGrant>,
    },
    /// Asks the receiver, a zone grantor, to lend operations. Without requests, it asks whether the
    /// receiver answers. Concerns no service.
    ZoneOperationRequest {
        /// Identifies the sending process.
        incarnation: u64,
        /// When the requests were sent, by the sender's clock, in nanoseconds: answers are matched
        /// by it.
        sent: u64,
        /// The requests.
        requests: Vec<TeamLoanRequest>,
    },
    /// Answers [`Payload::ZoneOperationRequest`].
    ZoneOperationGrant {
        /// The time from the requests.
        sent: u64,
        /// What is lent.
        grants: Vec<TeamLoan>,
    },
    /// The sending process has not asked any grantor for operations, and so holds no share. Concerns
    /// no service.
    NoShares,
}

/// A request for operations of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRequest {
    /// Name of the team.
    pub team: String,
    wanted: u32,
    returned: u32,
    /// In thousandths of an operation per second.
    demand: u32,
    share: WireShare,
    issuer: u32,
    used: u32,
}

impl TeamRequest {
    /// Creates the message of `request` for the team called `team`.
    pub fn new(team: String, request: &Request) -> TeamRequest {
        TeamRequest {
            team,
            wanted: request.wanted,
            returned: request.returned,
            demand: thousandths(request.demand),
            share: request.share.into(),
            issuer: request.issuer,
            used: request.used,
        }
    }

    /// Returns the request of the process `incarnation`, which sent it at `sent`.
    pub fn request(&self, incarnation: u64, sent: u64) -> Request {
        Request {
            incarnation,
            sent: Duration::from_nanos(sent),
            wanted: self.wanted,
            returned: self.returned,
            demand: f64::from(self.demand) / THOUSAND,
            share: self.share.into(),
            issuer: self.issuer,
            used: self.used,
        }
    }
}

/// A grant of operations to a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// Name of the team.
    pub team: String,
    granted: u32,
    share: WireShare,
    issuer: u32,
    /// In milliseconds.
    retry_after: u32,
}

impl TeamGrant {
    /// Creates the message of `grant` for the team called `team`.
    pub fn new(team: String, grant: &Grant) -> TeamGrant {
        let retry_after = u32::try_from(grant.retry_after.as_millis());
        TeamGrant {
            team,
            granted: grant.granted,
            share: grant.share.into(),
            issuer: grant.issuer,
            retry_after: retry_after.unwrap_or(u32::MAX),
        }
    }

    /// Returns the answer to the request that was sent at `sent`.
    pub fn grant(&self, sent: u64) -> Grant {
        Grant {
            sent: Duration::from_nanos(sent),
            granted: self.granted,
            share: self.share.into(),
            issuer: self.issuer,
            retry_after: Duration::from_millis(u64::from(self.retry_after)),
        }
    }
}

/// A share of a limit, in thousandths of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct WireShare {
    rate: u32,
    burst: u32,
}

impl From<Share> for WireShare {
    fn from(share: Share) -> WireShare {
        WireShare {
            rate: thousandths(share.rate),
            burst: thousandths(share.burst),
        }
    }
}

impl From<WireShare> for Share {
    fn from(share: WireShare) -> Share {
        Share {
            rate: f64::from(share.rate) / THOUSAND,
            burst: f64::from(share.burst) / THOUSAND,
        }
    }
}

/// Scale of rates in messages.
const THOUSAND: f64 = 1_000.0;

/// Converts a rate to thousandths, rounded down: a host must not hold more than it was granted.
fn thousandths(rate: f64) -> u32 {
    // The cast saturates.
    (rate * THOUSAND) as u32
}

/// Converts a time to nanoseconds.
pub fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Converts a time to microseconds.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// How far the log of a service has been seen to reach on any of its servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// The service.
    pub service: String,
    /// The furthest position seen.
    pub furthest: WirePosition,
    /// Where the newest term that was ordered began, if known.
    pub term_start: Option<TermStart>,
    /// Servers whose claim to be the primary is not trusted.
    pub doubted: Vec<Server>,
    /// Servers that were seen to lead.
    pub led: Vec<LedTerm>,
}

/// The newest term that a server was seen to lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedTerm {
    /// The server.
    pub server: Server,
    term: i64,
}

impl LedTerm {
    /// Creates the record that `server` was seen to lead `term`.
    pub fn new(server: Server, term: Term) -> LedTerm {
        let term = term.number();
        LedTerm { server, term }
    }

    /// Returns the term.
    pub fn term(&self) -> Term {
        Term::from_number(self.term)
    }
}

/// The position of a server's log when it was ordered to lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// Id of the server.
    pub server: String,
    /// The newest term known at that time.
    before: i64,
    /// How far the server had received the log, as reported by itself.
    #[serde(rename = "had")]
    received: WirePosition,
}

impl TermStart {
    /// Creates the record that `server` had received the log up to `received` when it was ordered
    /// to lead after term `before`.
    pub fn new(server: String, before: Term, received: Position) -> TermStart {
        TermStart {
            server,
            before: before.number(),
            received: received.into(),
        }
    }

    /// Returns the newest term known at that time.
    pub fn before(&self) -> Term {
        Term::from_number(self.before)
    }

    /// Returns how far the server had received the log, as reported by itself.
    pub fn received(&self) -> Position {
        self.received.into()
    }
}

/// The term of a primary that is over: its successor is being ordered or already leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTerm {
    /// The service.
    pub service: String,
    /// The newest term known when the order was given.
    term: i64,
    /// Token of the order.
    pub token: u64,
    /// The server that was ordered to lead.
    pub successor: Server,
    /// How far the successor has received the log, as reported by itself.
    #[serde(rename = "had")]
    received: WirePosition,
    /// How long the primary still serves, in milliseconds. A leaving primary serves until shortly
    /// before its successor leads.
    serves: u32,
}

impl EndedTerm {
    /// Creates the record that `term` of `service` is over. Its primary serves for `serves` more,
    /// and `successor`, which has received the log up to the given position, was ordered to lead
    /// under `token`.
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

    /// Returns the newest term known when the order was given.
    pub fn term(&self) -> Term {
        Term::from_number(self.term)
    }

    /// Returns how far the successor has received the log, as reported by itself.
    pub fn received(&self) -> Position {
        self.received.into()
    }

    /// Returns how long the primary still serves.
    pub fn serves(&self) -> Duration {
        Duration::from_millis(u64::from(self.serves))
    }
}

/// One incarnation of a server. What is known of one incarnation does not hold for another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of the server.
    pub id: String,
    /// When this incarnation started, in Unix milliseconds.
    incarnation: u64,
}

impl Server {
    /// Names `incarnation` of server `id`.
    pub fn new(id: String, incarnation: Incarnation) -> Server {
        let incarnation = incarnation.0;
        Server { id, incarnation }
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// A position in a service's log, as sent between hosts.
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

/// A log position sampled from a primary while it led, used to bound the staleness of replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The service.
    pub service: String,
    /// The sampled position.
    pub position: WirePosition,
    /// Time from the query to the primary until the answer to the heartbeat, in milliseconds.
    pub age: u32,
}

/// How far a host has read each of the platform's feeds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedProgress {
    /// The newest configuration version.
    pub configuration: u64,
    /// Revision of the newest change to the list of backend servers.
    pub backends: u64,
    /// The newest epoch of the platform's store.
    pub epoch: u64,
    /// Time since the store was restored in that epoch, in milliseconds, if the host noticed the
    /// restore.
    pub restored: Option<u32>,
}

impl Payload {
    /// Returns the metric label of this kind of message.
    pub fn label(&self) -> &'static str {
        match self {
            Payload::Heartbeat { .. } => "heartbeat",
            Payload::HeartbeatAck { .. } => "heartbeat_ack",
            Payload::ReachabilityQuery { .. } => "reachability_query",
            Payload::ReachabilityReply { .. } => "reachability_reply",
            Payload::ConnectionShortage { .. } => "connection_shortage",
            Payload::PrimaryObserved { .. } => "primary_observed",
            Payload::PromotionStarted { .. } => "promotion_started",
            Payload::LogQuery => "log_query",
            Payload::LogReply { .. } => "log_reply",
            Payload::OperationRequest { .. } => "operation_request",
            Payload::OperationGrant { .. } => "operation_grant",
            Payload::ZoneOperationRequest { .. } => "zone_operation_request",
            Payload::ZoneOperationGrant { .. } => "zone_operation_grant",
            Payload::NoShares => "no_shares",
        }
    }

    /// Converts a reachability answer to an opinion on the primary.
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
    /// Returns an error if the address cannot be listened on.
    pub async fn bind(address: SocketAddr) -> io::Result<Socket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Socket { socket })
    }

    /// Returns the local address.
    ///
    /// # Errors
    /// Returns an error if the system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends `message` to `to`. Like any datagram, it may be lost.
    pub fn send(&self, message: &Message, to: SocketAddr) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            meter::peer_message(message.payload.label(), Direction::Sent, bytes.len());
            // A full buffer drops the message, as the network might.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Receives the next message that can be decoded, and its sender's address.
    ///
    /// # Errors
    /// Returns an error if the socket is unusable.
    pub async fn receive(&self) -> io::Result<(Message, SocketAddr)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = self.socket.recv_from(&mut buffer).await?;
            if let Ok(message) = postcard::from_bytes::<Message>(&buffer[..length]) {
                meter::peer_message(message.payload.label(), Direction::Received, length);
                return Ok((message, from));
            }
        }
    }
}
