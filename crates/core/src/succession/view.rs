//! Input of one step of [`Succession`](super::Succession).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey};
use crate::position::Position;
use crate::term::Term;

use super::action::FencingToken;
use super::contact::Trouble;

/// What a host knows about a service when it takes a step.
#[derive(Debug, Clone)]
pub struct View {
    /// The primary, if one is known.
    pub leader: Option<ServerKey>,
    /// The newest term that is known to have begun.
    pub term: Term,
    /// The newest term in which the primary itself has shown that it leads. Another server's log
    /// may show a newer term before this host knows its primary.
    pub leader_term: Term,
    /// Servers that have shown that they lead, each with the newest term in which they did. It
    /// includes those whose claim to lead this host does not trust.
    pub terms_led: BTreeMap<ServerKey, Term>,
    /// What is wrong with the primary, from the view of this host.
    pub trouble: Option<Trouble>,
    /// Servers that may be promoted: listed and not leaving.
    pub candidates: BTreeSet<ServerKey>,
    /// Listed servers that are about to leave. One of them is promoted only if it has entries of
    /// the log and no candidate has any.
    pub leaving: BTreeSet<ServerKey>,
    /// Whether the service may have servers that this host does not know, because it has not read a
    /// usable list of them.
    pub may_lack_servers: bool,
    /// The other hosts whose opinions count.
    pub peers: BTreeSet<HostKey>,
    /// How many hosts take their turn before this one while the store is unavailable.
    pub rank: u32,
    /// The newest known token under which an order for the service was given.
    pub newest_token: Option<FencingToken>,
    /// When an order may be given at the earliest. Before the end of the term is announced, when the
    /// last lease of the hosts that have not answered ends. After that, when no host uses the primary
    /// any more, or [`Duration::MAX`] while too few hosts have confirmed the end.
    pub leases_end: Duration,
    /// Whether a majority of hosts has answered this one recently.
    pub in_contact: bool,
    /// The server that an earlier order of the same change names, which may still be carried out.
    pub ordered_before: Option<ServerKey>,
    /// The server that was announced as the successor, by this or another host.
    pub announced: Option<ServerKey>,
    /// Whether the primary acknowledges a commit only after a replica has received it.
    pub synchronous: bool,
    /// The newest log position that this host knows.
    pub newest_position: Position,
    /// The position that each restarted server has to reach before it is trusted like the others:
    /// the end of the log as known when the server came back.
    pub required_positions: BTreeMap<ServerKey, Position>,
    /// The previous start of each restarted server.
    pub previous_starts: BTreeMap<ServerKey, ServerKey>,
    /// Servers that claim to lead and may lack part of the service's log.
    pub distrusted: BTreeSet<ServerKey>,
}
