//! Which server of a service leads, as one host knows it.
//!
//! Three sources disagree for a moment around each change: the platform's list, where each server
//! reports its own role; refusals of servers that no longer lead; and what servers say when asked.
//! A report that came before a refusal is older than it, so the refusal wins until the server
//! reports again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::ServerKey;
use crate::term::Term;

/// How a server sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It leads.
    Primary,
    /// It follows.
    Replica,
}

/// What is known of the roles of one service's servers.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::ServerKey;
/// use flamingopost_core::leader::{LeaderTracker, Role};
/// use flamingopost_core::term::Term;
///
/// let server = ServerKey::default();
/// let mut leader = LeaderTracker::default();
/// leader.record_listing(server, Role::Primary, 17);
/// assert_eq!(leader.primary(), Some(server));
/// leader.record_not_primary(server);
/// assert_eq!(leader.primary(), None);
/// leader.record_role(server, Role::Primary, Term::from_number(3));
/// assert_eq!(leader.primary(), Some(server));
/// ```
#[derive(Debug, Default)]
pub struct LeaderTracker {
    servers: BTreeMap<ServerKey, ServerState>,
    changed_at: Duration,
    current: Option<ServerKey>,
    /// A successor was ordered for the primary of this term.
    ended_term: Term,
    successor: Option<ServerKey>,
    /// No server is gone back to for a lead of this term or one before.
    given_up_term: Option<Term>,
}

#[derive(Debug)]
struct ServerState {
    claims_primary: bool,
    /// It may lack what the service's log holds: whatever it claims does not count.
    distrusted: bool,
    term: Term,
    /// The newest term in which it has itself shown that it leads.
    led_term: Term,
    /// Its lead of terms up to this one is over, whatever it claims.
    ended_through: Option<Term>,
    /// It does not even count as the last one that is known.
    excluded: bool,
    listed_version: u64,
    /// The version of its row with which the list began to say that it leads.
    claim_version: u64,
}

impl LeaderTracker {
    /// The platform's list gives `role` for `server`, in a row last changed at `version`.
    ///
    /// A server that is new to the list after a successor was ordered may be the old primary, come
    /// back under another id with its log: unless it is that successor, its claim has to be proved by
    /// a newer term. It took writes for 45 ms beside its successor otherwise.
    ///
    /// One that says again that it leads says nothing new: a replaced primary does so until it hears of its
    /// successor, whose row may be older by then.
    pub fn record_listing(&mut self, server: ServerKey, role: Role, version: u64) {
        let proves = self.ended_term > Term::default() && self.successor != Some(server);
        let ended = proves.then_some(self.ended_term);
        let known = self.servers.entry(server).or_insert(ServerState {
            claims_primary: false,
            distrusted: false,
            term: Term::default(),
            led_term: Term::default(),
            ended_through: ended,
            excluded: false,
            listed_version: 0,
            claim_version: 0,
        });
        if version <= known.listed_version {
            return;
        }
        known.listed_version = version;
        let claimed = known.claims_primary;
        known.claims_primary = role == Role::Primary;
        if known.claims_primary && !claimed {
            known.claim_version = version;
        }
        known.distrusted &= known.claims_primary;
        if !known.claims_primary {
            known.reset_ended();
        }
    }

    /// `server` is no longer in the list.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// `server` refused something because it does not lead.
    pub fn record_not_primary(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.claims_primary = false;
        }
    }

    /// `server` answered as `role` of `term`.
    pub fn record_role(&mut self, server: ServerKey, role: Role, term: Term) {
        let newest = self.newest_term();
        let Some(known) = self.servers.get_mut(&server) else {
            return;
        };
        known.term = known.term.max(term);
        match role {
            // A primary that was cut off while it was replaced still says that it leads, under
            // the term that has ended.
            Role::Primary => {
                known.claims_primary = term >= newest;
                known.led_term = known.led_term.max(term);
                if known.led_term <= self.ended_term {
                    known.ended_through = Some(self.ended_term);
                }
            }
            Role::Replica => {
                known.claims_primary = false;
                known.distrusted = false;
                known.reset_ended();
            }
        }
    }

    /// A successor was ordered for the primary of `term`, maybe `successor`: any other server that
    /// claims to lead goes before those that lead that term, or one before, and before the successor of
    /// the order before this one. Called for each order that is newer than those before.
    ///
    /// Guards against a primary that goes on leading its term while its successor leads the next.
    /// Nothing that it says or lists shows that it was replaced, and an order whose answer is lost
    /// may still be carried out after seconds in which it looked well again.
    ///
    /// ```
    /// use flamingopost_core::key::ServerKey;
    /// use flamingopost_core::leader::{LeaderTracker, Role};
    /// use flamingopost_core::term::Term;
    ///
    /// let (server, term) = (ServerKey::default(), Term::from_number(3));
    /// let mut leader = LeaderTracker::default();
    /// leader.record_listing(server, Role::Primary, 17);
    /// leader.record_role(server, Role::Primary, term);
    /// leader.record_order(term, None);
    /// leader.record_role(server, Role::Primary, term);
    /// assert_eq!(leader.primary(), Some(server), "its successor does not lead yet");
    /// leader.give_up_ended_terms();
    /// leader.record_role(server, Role::Primary, term);
    /// assert_eq!(leader.primary(), None);
    /// leader.record_role(server, Role::Primary, Term::from_number(5));
    /// assert_eq!(leader.primary(), Some(server), "it was promoted again");
    /// ```
    pub fn record_order(&mut self, term: Term, successor: Option<ServerKey>) {
        // Whoever ordered may not know that the successor of the order before leads already, in a term
        // that this order does not name.
        let before = self.successor.filter(|before| Some(*before) != successor);
        if let Some(known) = before.and_then(|before| self.servers.get_mut(&before)) {
            known.ended_through = known.ended_through.max(Some(known.led_term.max(term)));
        }
        if term >= self.ended_term {
            self.ended_term = term;
            self.successor = successor;
        }
        for (server, known) in &mut self.servers {
            if known.claims_primary && known.led_term <= term && Some(*server) != successor {
                known.ended_through = known.ended_through.max(Some(term));
            }
        }
    }

    /// `term` has begun: a server that has shown that it leads an older one was replaced.
    pub fn record_term_start(&mut self, term: Term) {
        for known in self.servers.values_mut() {
            // One that has not shown its term may be the successor.
            if known.claims_primary && known.led_term > Term::default() && known.led_term < term {
                known.ended_through = known.ended_through.max(Some(known.led_term));
            }
        }
    }

    /// Whether `server` leads no term but those that are over, as far as is known.
    pub fn is_term_ended(&self, server: ServerKey) -> bool {
        let known = self.servers.get(&server);
        known.is_some_and(ServerState::has_ended)
    }

    /// Servers whose terms are over do not lead, though no other one claims to: neither those that are known
    /// nor one that claims the term that has ended later.
    ///
    /// Guards against a service without a primary for good. Where the order is not carried out and the replaced
    /// primary comes back as a new start, hosts would believe its claim, refuse its answers, and begin anew
    /// to miss a primary each time.
    pub fn give_up_ended_terms(&mut self) {
        self.given_up_term = Some(self.ended_term);
        for known in self.servers.values_mut() {
            known.excluded |= known.ended_through.is_some();
        }
    }

    /// `server` may lack what the service's log holds: its claims to lead do not count until
    /// [`LeaderTracker::trust`], or until it follows: one that claims to lead after that was promoted.
    ///
    /// Guards against a primary that has started again without its log. It claims to lead the term
    /// that it led before; reads there would be stale, and writes lost when another server is
    /// promoted, which is not before somebody misses it.
    pub fn distrust(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.distrusted = true;
        }
    }

    /// `server` has shown that it has the service's log.
    pub fn trust(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.distrusted = false;
        }
    }

    /// Whether the claims of `server` do not count.
    pub fn is_distrusted(&self, server: ServerKey) -> bool {
        let known = self.servers.get(&server);
        known.is_some_and(|known| known.distrusted)
    }

    /// `server` answered what only the primary of `term` answers.
    pub fn record_term_led(&mut self, server: ServerKey, term: Term) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.led_term = known.led_term.max(term);
        }
    }

    /// The newest term in which `server` has itself shown that it leads; the first where it has
    /// not.
    pub fn term_led(&self, server: ServerKey) -> Term {
        let known = self.servers.get(&server);
        known.map_or_else(Term::default, |known| known.led_term)
    }

    /// Servers that have themselves shown that they lead, believed or not, and the newest term in which they
    /// did.
    pub fn terms_led(&self) -> BTreeMap<ServerKey, Term> {
        let led = self
            .servers
            .iter()
            .map(|(server, known)| (*server, known.led_term));
        led.filter(|(_, term)| *term > Term::default()).collect()
    }

    /// The log of `server` reaches `term`.
    pub fn record_log_term(&mut self, server: ServerKey, term: Term) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.term = known.term.max(term);
        }
    }

    /// Who leads, if anybody is known to.
    pub fn primary(&self) -> Option<ServerKey> {
        let claims = |known: &ServerState| known.claims_primary && !known.distrusted;
        let counts = |known: &ServerState| claims(known) && !self.is_excluded(known);
        let claiming = self.servers.iter().filter(|(_, known)| counts(known));
        let order = |known: &ServerState| (!known.has_ended(), known.term, known.claim_version);
        let newest = claiming.max_by_key(|(_, known)| order(known))?;
        Some(*newest.0)
    }

    /// Brings the answer up to date; returns the change, if there was one.
    pub fn refresh(&mut self, now: Duration) -> Option<Change> {
        let leader = self.primary();
        if leader == self.current {
            return None;
        }
        let change = Change {
            before: self.current,
            after: leader,
            lasted: now.saturating_sub(self.changed_at),
        };
        self.current = leader;
        self.changed_at = now;
        Some(change)
    }

    /// Whether a server that claims to lead is not gone back to.
    fn is_excluded(&self, known: &ServerState) -> bool {
        let given_up = known.ended_through <= self.given_up_term;
        known.has_ended() && (known.excluded || given_up)
    }

    fn newest_term(&self) -> Term {
        let terms = self.servers.values().map(|known| known.term);
        terms.max().unwrap_or_default()
    }
}

impl ServerState {
    /// Whether it leads no term but those that are over.
    fn has_ended(&self) -> bool {
        self.ended_through.is_some_and(|over| self.led_term <= over)
    }

    /// It follows: if it claims to lead again, it was promoted.
    fn reset_ended(&mut self) {
        self.ended_through = None;
        self.excluded = false;
    }
}

/// Another server leads, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Who led before.
    pub before: Option<ServerKey>,
    /// Who leads now.
    pub after: Option<ServerKey>,
    /// How long the state before lasted.
    pub lasted: Duration,
}
