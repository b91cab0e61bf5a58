//! What a host sees of a service when it takes a step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey};
use crate::position::Position;
use crate::term::Term;

use super::action::FencingToken;
use super::contact::Trouble;

/// The situation as the host sees it when it takes a step.
#[derive(Debug, Clone)]
pub struct View {
    /// Who leads, if anybody is known to.
    pub leader: Option<ServerKey>,
    /// The newest term that is known to have begun.
    pub term: Term,
    /// The newest term in which the one who leads has itself shown that it leads. Another server's
    /// log may show a newer one before its primary is heard of.
    pub leader_term: Term,
    /// Servers that have themselves shown that they lead, each with the newest term in which they did:
    /// also those whose claim this host does not believe.
    pub terms_led: BTreeMap<ServerKey, Term>,
    /// What is wrong with the primary, as far as this host sees.
    pub trouble: Option<Trouble>,
    /// Servers that may take over: listed and not leaving.
    pub candidates: BTreeSet<ServerKey>,
    /// Other hosts that are known.
    pub peers: BTreeSet<HostKey>,
    /// How many of them come before this host when the store is away.
    pub rank: u32,
    /// The newest token under which an order for the service was given, as far as is known.
    pub newest_token: Option<FencingToken>,
    /// From when on no host that has not answered has a lease any more.
    pub leases_end: Duration,
    /// Whether the primary acknowledges a commit only when a replica has received it.
    pub synchronous: bool,
    /// The newest position of the log that this host has heard of.
    pub newest_position: Position,
    /// What servers that have started again have to have received before they count like others:
    /// how far the log was seen to reach when they came back.
    pub required_positions: BTreeMap<ServerKey, Position>,
    /// The former start of each of these servers.
    pub previous_starts: BTreeMap<ServerKey, ServerKey>,
    /// Servers that claim to lead and may lack what the service's log holds.
    pub distrusted: BTreeSet<ServerKey>,
}
