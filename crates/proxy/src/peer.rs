//! Datagrams between entry hosts.
//!
//! Remote calls over `jsonrpsee` do not fit here. A query is sent when connections to some of the
//! hosts are likely to hang, has to reach all others within one round trip, and does not depend on
//! the answer of any particular host. A lost datagram counts as no answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::position::Position;
use flamingopost_core::succession::Opinion;
use flamingopost_core::term::Term;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::meter::{self, Direction};

mod bounded;
mod ended_term;
mod heard;
mod loan;
mod log;
mod standing;
mod team;

pub use ended_term::{EndedTerm, pages};
pub use heard::Heard;
pub use loan::{TeamLoan, TeamLoanRequest};
pub use log::{LedTerm, LogReport, TermStart};
pub use standing::{WireElectorate, WireNumber, WireStanding};
pub use team::{TeamGrant, TeamRequest};

/// Version of the messages that hosts of this build understand, as they announce it. Hosts that
/// announce none understand the first one.
pub const PROTOCOL: u16 = 6;

/// Version of the messages from which on processes are named and changes of primaries are paged.
pub const PAGED_PROTOCOL: u16 = 2;

/// Version of the messages from which on the end of a primary's term is confirmed.
pub const CLOSING_PROTOCOL: u16 = 3;

/// Version of the messages from which on hosts watch the successor of a leaving primary.
pub const HANDOVER_PROTOCOL: u16 = 4;

/// Version of the messages from which on a confirmation names the term that has ended.
pub const NAMED_TERM_PROTOCOL: u16 = 5;

/// Version of the messages from which on answers and confirmations name the electorate.
pub const ELECTORATE_PROTOCOL: u16 = 6;

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
        #[serde(deserialize_with = "bounded::epoch")]
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
        #[serde(deserialize_with = "bounded::term")]
        term: i64,
        /// Not used, and kept for hosts of an earlier build, which take a time in milliseconds for the
        /// least that a promotion takes.
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
    /// A heartbeat that names the sending process. Concerns no service.
    ProcessHeartbeat {
        /// Identifies the sending process.
        process: u64,
        /// When it was sent, by the sender's clock, in microseconds.
        sent: u64,
        /// Time since the sender was last in contact with a majority of hosts, in milliseconds.
        out_of_touch: u32,
        /// The newest epoch of the platform's store known to the sender.
        #[serde(deserialize_with = "bounded::epoch")]
        epoch: u64,
        /// Services whose reads wait for a sample of the primary's position.
        sample_requests: Vec<String>,
        /// Terms that the sender has recently learned to be over. More of them precede it in
        /// [`Payload::EndedTerms`].
        ended_terms: Vec<EndedTerm>,
    },
    /// Terms that the sender has recently learned to be over. Concerns no service.
    EndedTerms {
        /// The terms.
        ended_terms: Vec<EndedTerm>,
    },
    /// Answers a heartbeat with a part of the terms that its sender may not know to be over. The
    /// acknowledgement follows once it has confirmed all of them. Concerns no service.
    EndedTermsPage {
        /// The time from the heartbeat.
        sent: u64,
        /// Identifies the answering process, which numbers the terms.
        process: u64,
        /// The number after which the first page begins.
        start: u64,
        /// The number after which this page begins.
        from: u64,
        /// The last number of this page.
        to: u64,
        /// Whether this is the last page.
        is_last: bool,
        /// The terms.
        ended_terms: Vec<EndedTerm>,
    },
    /// Confirms [`Payload::EndedTermsPage`]. Concerns no service.
    EndedTermsReceived {
        /// The time from the heartbeat.
        sent: u64,
        /// Identifies the process that has numbered the terms.
        numbered_by: u64,
        /// Identifies the sending process.
        process: u64,
        /// The number up to which it has received all terms.
        up_to: u64,
        /// Time since the sender was last in contact with a majority of hosts, in milliseconds.
        out_of_touch: u32,
    },
    /// Asks how far the receiver has seen the logs of these services reach. Concerns no service.
    ServiceLogQuery {
        /// Names of the services.
        services: Vec<String>,
    },
    /// The sender is about to replace a primary, and orders its successor once the receiver has
    /// confirmed the end of the term.
    TermClosing {
        /// The term that ends, and its successor.
        ended_term: EndedTerm,
    },
    /// Confirms [`Payload::TermClosing`]: the sender stops using the primary of the term, and tells
    /// so each host whose lease it extends.
    TermClosed {
        /// Token of the order that follows.
        token: u64,
        /// When the sender last heard from the other electors.
        heard: Vec<Heard>,
    },
    /// Like [`Payload::TermClosing`], for a leaving primary that the receiver may use until it learns
    /// from the sender that the successor leads.
    HandoverStarted {
        /// The term that ends, and its successor.
        ended_term: EndedTerm,
        /// For how long it may be used at the most, in milliseconds.
        serves: u32,
    },
    /// Asks the host that has announced a handover for the state of the successor.
    SuccessorQuery {
        /// Token of the order.
        token: u64,
        /// When it was sent, by the sender's clock, in microseconds.
        sent: u64,
    },
    /// Answers [`Payload::SuccessorQuery`] with an answer of the successor that was requested after it
    /// arrived.
    SuccessorState {
        /// Token of the order.
        token: u64,
        /// The time from the query.
        sent: u64,
        /// How far the successor has received the log, if it still follows.
        received: Option<WirePosition>,
    },
    /// Like [`Payload::TermClosed`]. A token alone does not tell which end was confirmed: a host that acts
    /// in turn, without the store, gives successive orders under the same one.
    TermEnded {
        /// The term that has ended.
        #[serde(deserialize_with = "bounded::term")]
        term: i64,
        /// Token of the order that follows.
        token: u64,
        /// When the sender last heard from the other electors.
        heard: Vec<Heard>,
    },
    /// A heartbeat that tells which electorate its sender has adopted. Concerns no service.
    ElectorHeartbeat {
        /// Identifies the sending process.
        process: u64,
        /// When it was sent, by the sender's clock, in microseconds.
        sent: u64,
        /// Time since the sender was last in contact with a majority of hosts, in milliseconds.
        out_of_touch: u32,
        /// The newest epoch of the platform's store known to the sender.
        #[serde(deserialize_with = "bounded::epoch")]
        epoch: u64,
        /// Services whose reads wait for a sample of the primary's position.
        sample_requests: Vec<String>,
        /// Terms that the sender has recently learned to be over. More of them precede it in
        /// [`Payload::EndedTerms`].
        ended_terms: Vec<EndedTerm>,
        /// What the sender says of its place in the electorate.
        standing: WireStanding,
    },
    /// Acknowledges [`Payload::ElectorHeartbeat`] of a host that has adopted the same electorate.
    ElectorAck {
        /// The value from the heartbeat.
        sent: u64,
        /// Identifies the answering process.
        process: u64,
        /// How far the answering host has read the platform's feeds.
        progress: FeedProgress,
        /// How long the answering host has been in contact with a majority without a break, in
        /// milliseconds. It knows of all orders given during that time.
        in_touch: u32,
        /// The answering host's samples of the requested services.
        samples: Vec<Sample>,
        /// What the answering host says of its place in the electorate.
        standing: WireStanding,
    },
    /// The electorate that the sender has adopted, for a host with an earlier one. Concerns no service.
    Electorate {
        /// The electorate.
        electorate: WireElectorate,
    },
    /// Like [`Payload::TermEnded`], by a host that has adopted the electorate numbered `number`.
    TermConfirmed {
        /// The term that has ended.
        #[serde(deserialize_with = "bounded::term")]
        term: i64,
        /// Token of the order that follows.
        token: u64,
        /// Number of the electorate.
        number: WireNumber,
        /// When the sender last heard from the other hosts with which it exchanges heartbeats.
        heard: Vec<Heard>,
    },
}

/// Converts a time to nanoseconds.
pub fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Converts a time to microseconds.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
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
    #[serde(deserialize_with = "bounded::term")]
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
    #[serde(deserialize_with = "bounded::epoch")]
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
            Payload::ProcessHeartbeat { .. } => "process_heartbeat",
            Payload::EndedTerms { .. } => "ended_terms",
            Payload::EndedTermsPage { .. } => "ended_terms_page",
            Payload::EndedTermsReceived { .. } => "ended_terms_received",
            Payload::ServiceLogQuery { .. } => "service_log_query",
            Payload::TermClosing { .. } => "term_closing",
            Payload::TermClosed { .. } => "term_closed",
            Payload::TermEnded { .. } => "term_ended",
            Payload::HandoverStarted { .. } => "handover_started",
            Payload::SuccessorQuery { .. } => "successor_query",
            Payload::SuccessorState { .. } => "successor_state",
            Payload::ElectorHeartbeat { .. } => "elector_heartbeat",
            Payload::ElectorAck { .. } => "elector_ack",
            Payload::Electorate { .. } => "electorate",
            Payload::TermConfirmed { .. } => "term_confirmed",
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
