//! Tracks which server of a service is the primary, from the view of one host.
//!
//! Around each change three sources disagree for a moment: the platform's list, where each server
//! reports its own role; refusals of servers that no longer lead; and the servers' own answers. A
//! listed role that was reported before a refusal is older than it, so the refusal wins until the
//! server reports again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::ServerKey;
use crate::term::Term;

/// The role of a server, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The server is the primary, which accepts writes.
    Primary,
    /// The server replicates from the primary.
    Replica,
}

/// What one host knows of the roles of a service's servers.
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
    /// The last server that was the primary.
    last: Option<ServerKey>,
    /// The newest term for whose primary a successor was ordered.
    ended_term: Term,
    successor: Option<ServerKey>,
    /// Servers that lead this term or an older one are not accepted as primary again.
    given_up_term: Option<Term>,
}

#[derive(Debug)]
struct ServerState {
    claims_primary: bool,
    /// The last that the server reported, in the list or in an answer, is that it leads some term.
    reports_primary: bool,
    /// The server may lack part of the service's log; its claims to lead do not count.
    distrusted: bool,
    /// The server's last answer is invalid, so that what the list has of it proves nothing.
    invalid: bool,
    term: Term,
    /// The newest term in which the server has shown that it leads.
    led_term: Term,
    /// The server's terms up to this one have ended, whatever it claims.
    ended_through: Option<Term>,
    /// The server's terms up to this one were announced to end, so that no host uses it in them.
    announced_through: Term,
    /// The server is not accepted as primary even when no other server claims to lead.
    excluded: bool,
    listed_version: u64,
    /// The version of the row since which the list has the server as primary.
    claim_version: u64,
}

impl LeaderTracker {
    /// Records that the platform's list gives `role` for `server`, in a row last changed at
    /// `version`.
    ///
    /// A server that is new to the list after a successor was ordered may be the old primary, back
    /// under another id with its log. Unless it is that successor, it has to prove its claim to
    /// lead by a newer term. Without this rule, such a server accepted writes for 45 ms while its
    /// successor led.
    ///
    /// A repeated claim to lead carries no news: a replaced primary keeps reporting it until it
    /// learns of its successor, whose row may be older by then.
    pub fn record_listing(&mut self, server: ServerKey, role: Role, version: u64) {
        let needs_proof = self.ended_term > Term::default() && self.successor != Some(server);
        let ended = needs_proof.then_some(self.ended_term);
        let known = self.servers.entry(server).or_insert(ServerState {
            claims_primary: false,
            reports_primary: false,
            distrusted: false,
            invalid: false,
            term: Term::default(),
            led_term: Term::default(),
            ended_through: ended,
            announced_through: ended.unwrap_or_default(),
            excluded: false,
            listed_version: 0,
            claim_version: 0,
        });
        if version <= known.listed_version {
            return;
        }
        known.listed_version = version;
        let claimed_before = known.claims_primary;
        known.claims_primary = role == Role::Primary;
        known.reports_primary = known.claims_primary;
        if known.claims_primary && !claimed_before {
            known.claim_version = version;
        }
        known.distrusted &= known.claims_primary;
        if !known.claims_primary {
            known.reset_ended();
        }
    }

    /// Removes a server that is no longer listed.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Records that `server` refused a request because it is not the primary.
    pub fn record_not_primary(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.claims_primary = false;
            known.reports_primary = false;
        }
    }

    /// Records that `server` reported `role` and `term` in an answer.
    pub fn record_role(&mut self, server: ServerKey, role: Role, term: Term) {
        let newest = self.newest_term();
        let Some(known) = self.servers.get_mut(&server) else {
            return;
        };
        known.invalid = false;
        known.term = known.term.max(term);
        known.reports_primary = role == Role::Primary;
        match role {
            // A primary that was cut off while it was replaced still claims to lead, under the term
            // that has ended.
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

    /// Records that `server` gave an invalid answer. Until it reports its role, its entry in the list is no
    /// claim to lead, unless it has shown that it leads some term.
    ///
    /// Guards against a service without a primary because of an entry whose server is none.
    ///
    /// ```
    /// use flamingopost_core::key::ServerKey;
    /// use flamingopost_core::leader::{LeaderTracker, Role};
    /// use flamingopost_core::term::Term;
    ///
    /// let server = ServerKey::default();
    /// let mut leader = LeaderTracker::default();
    /// leader.record_listing(server, Role::Primary, 17);
    /// leader.record_invalid_answer(server);
    /// leader.record_listing(server, Role::Primary, 18);
    /// assert_eq!(leader.primary(), None);
    /// leader.record_role(server, Role::Primary, Term::from_number(3));
    /// assert_eq!(leader.primary(), Some(server));
    /// leader.record_invalid_answer(server);
    /// assert_eq!(leader.primary(), Some(server), "it has shown that it leads");
    /// ```
    pub fn record_invalid_answer(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.invalid = true;
        }
    }

    /// Records an order to replace the primary of `term`, by `successor` if it is known. Any other
    /// server that claims to lead is then preferred to those that lead that term or an older one,
    /// and to the successor of the previous order. Called for each order that is newer than the
    /// previous ones.
    ///
    /// Guards against a primary that keeps leading its term while its successor leads the next one.
    /// Nothing that it reports or lists shows that it was replaced, and an order whose answer is
    /// lost may still be carried out after seconds in which the primary looked healthy again.
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
        // The host that gave the order may not know that the successor of the previous order
        // already leads, in a term that this order does not name.
        let previous = self
            .successor
            .filter(|previous| Some(*previous) != successor);
        if let Some(known) = previous.and_then(|previous| self.servers.get_mut(&previous)) {
            known.ended_through = known.ended_through.max(Some(known.led_term.max(term)));
            known.announced_through = known.led_term.max(term);
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

    /// Records that `term` has begun, so that a server that has shown that it leads an older term
    /// was replaced.
    pub fn record_term_start(&mut self, term: Term) {
        for known in self.servers.values_mut() {
            // A server that has not shown its term may be the successor.
            if known.claims_primary && known.led_term > Term::default() && known.led_term < term {
                known.ended_through = known.ended_through.max(Some(known.led_term));
            }
        }
    }

    /// Reports whether all terms that `server` is known to lead have ended.
    pub fn is_term_ended(&self, server: ServerKey) -> bool {
        let known = self.servers.get(&server);
        known.is_some_and(ServerState::has_ended)
    }

    /// Stops accepting servers whose terms have ended as primary, even when no other server claims
    /// to lead. This holds for the known servers and for any that later claims an ended term.
    ///
    /// Guards against a service that never gets a primary again. Where the order is not carried out
    /// and the replaced primary comes back after a restart, hosts would trust its claim, refuse its
    /// answers, and start over with missing a primary each time.
    pub fn give_up_ended_terms(&mut self) {
        self.given_up_term = Some(self.ended_term);
        for known in self.servers.values_mut() {
            known.excluded |= known.ended_through.is_some();
        }
    }

    /// Marks `server` as possibly lacking part of the service's log. Its claims to lead do not
    /// count until [`LeaderTracker::trust`] is called or until it follows; a server that claims to
    /// lead after that was promoted.
    ///
    /// Guards against a primary that has restarted without its log. It claims to lead the term that
    /// it led before. Reads there would be stale, and writes would be lost when another server is
    /// promoted, which does not happen before some host misses the primary.
    pub fn distrust(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.distrusted = true;
        }
    }

    /// Records that `server` has shown that it has the service's log.
    pub fn trust(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.distrusted = false;
        }
    }

    /// Reports whether claims of `server` to lead do not count.
    pub fn is_distrusted(&self, server: ServerKey) -> bool {
        let known = self.servers.get(&server);
        known.is_some_and(|known| known.distrusted)
    }

    /// Records that `server` answered a request that only the primary of `term` answers.
    pub fn record_term_led(&mut self, server: ServerKey, term: Term) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.led_term = known.led_term.max(term);
        }
    }

    /// Returns the newest term in which `server` has shown that it leads, or the first term if it
    /// has not.
    pub fn term_led(&self, server: ServerKey) -> Term {
        let known = self.servers.get(&server);
        known.map_or_else(Term::default, |known| known.led_term)
    }

    /// Returns the servers that have shown that they lead, trusted or not, each with the newest
    /// term in which they did.
    pub fn terms_led(&self) -> BTreeMap<ServerKey, Term> {
        let led = self
            .servers
            .iter()
            .map(|(server, known)| (*server, known.led_term));
        led.filter(|(_, term)| *term > Term::default()).collect()
    }

    /// Records that the log of `server` reaches `term`.
    pub fn record_log_term(&mut self, server: ServerKey, term: Term) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.term = known.term.max(term);
        }
    }

    /// Returns the primary, if one is known.
    pub fn primary(&self) -> Option<ServerKey> {
        let claims = |known: &ServerState| known.claims_primary && !known.distrusted;
        let counts = |known: &ServerState| {
            claims(known) && !known.has_only_invalid_claim() && !self.is_excluded(known)
        };
        let claiming = self.servers.iter().filter(|(_, known)| counts(known));
        let order = |known: &ServerState| (!known.has_ended(), known.term, known.claim_version);
        let newest = claiming.max_by_key(|(_, known)| order(known))?;
        let is_usable = self.unfenced_predecessor(*newest.0).is_none();
        is_usable.then_some(*newest.0)
    }

    /// Returns a server that may still lead, and be used by other hosts, in a term that was not
    /// announced to end, although `server` leads a newer one or has not shown its term.
    ///
    /// Guards against an order that the platform carries out late: no host was told to stop using the
    /// server that leads by then. It has to be seen to follow before its unforeseen successor is used.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_core::key::ServerKey;
    /// use flamingopost_core::leader::{LeaderTracker, Role};
    /// use flamingopost_core::names::Names;
    /// use flamingopost_core::term::Term;
    ///
    /// let mut names: Names<ServerKey> = Names::default();
    /// let (old, new) = (names.intern("ledger-1"), names.intern("ledger-2"));
    /// let mut leader = LeaderTracker::default();
    /// leader.record_listing(old, Role::Primary, 17);
    /// leader.record_role(old, Role::Primary, Term::from_number(2));
    /// assert!(leader.refresh(Duration::ZERO).is_some());
    /// leader.record_listing(new, Role::Primary, 18);
    /// leader.record_role(new, Role::Primary, Term::from_number(3));
    /// assert_eq!(leader.primary(), None, "the end of term 2 was not announced");
    /// assert_eq!(leader.unfenced_predecessor(new), Some(old));
    /// leader.record_role(old, Role::Replica, Term::from_number(3));
    /// assert_eq!(leader.primary(), Some(new));
    /// ```
    pub fn unfenced_predecessor(&self, server: ServerKey) -> Option<ServerKey> {
        let led = self.servers.get(&server)?.led_term;
        let last = self.last.filter(|last| *last != server)?;
        let known = self.servers.get(&last).filter(|known| !known.distrusted)?;
        let announced = known.announced_through.max(self.ended_term);
        let may_lead = known.reports_primary && known.led_term > announced;
        let is_newer = led > known.led_term || led == Term::default();
        (may_lead && is_newer).then_some(last)
    }

    /// Returns the servers that report that they lead, while another one has shown that it leads a newer
    /// term than any that they have shown.
    ///
    /// ```
    /// use flamingopost_core::key::ServerKey;
    /// use flamingopost_core::leader::{LeaderTracker, Role};
    /// use flamingopost_core::names::Names;
    /// use flamingopost_core::term::Term;
    ///
    /// let mut names: Names<ServerKey> = Names::default();
    /// let (old, new) = (names.intern("ledger-1"), names.intern("ledger-2"));
    /// let mut leader = LeaderTracker::default();
    /// leader.record_listing(old, Role::Primary, 17);
    /// leader.record_listing(new, Role::Replica, 18);
    /// assert!(leader.replaced_primaries().is_empty());
    /// leader.record_role(new, Role::Primary, Term::from_number(2));
    /// assert_eq!(leader.replaced_primaries(), [old]);
    /// leader.record_role(old, Role::Replica, Term::from_number(2));
    /// assert!(leader.replaced_primaries().is_empty());
    /// ```
    pub fn replaced_primaries(&self) -> Vec<ServerKey> {
        let newest = self.newest_term_led();
        let is_replaced = |known: &ServerState| known.reports_primary && known.led_term < newest;
        let replaced = self.servers.iter().filter(|(_, known)| is_replaced(known));
        replaced.map(|(server, _)| *server).collect()
    }

    /// Returns the newest term in which a server that counts has shown that it leads.
    pub fn newest_term_led(&self) -> Term {
        let leading = self.servers.values();
        let leading = leading.filter(|known| known.claims_primary && !known.distrusted);
        leading
            .map(|known| known.led_term)
            .max()
            .unwrap_or_default()
    }

    /// Updates the current primary and returns the change, if there was one.
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
        self.last = leader.or(self.last);
        self.changed_at = now;
        Some(change)
    }

    /// Reports whether a server is not accepted as primary although it claims to lead.
    fn is_excluded(&self, known: &ServerState) -> bool {
        let given_up = known.ended_through <= self.given_up_term;
        known.has_ended() && (known.excluded || given_up)
    }

    /// Returns the newest term that any server has reported or shown in its log.
    pub fn newest_term(&self) -> Term {
        let terms = self.servers.values().map(|known| known.term);
        terms.max().unwrap_or_default()
    }
}

impl ServerState {
    /// Reports whether all terms that the server is known to lead have ended.
    fn has_ended(&self) -> bool {
        self.ended_through.is_some_and(|over| self.led_term <= over)
    }

    /// Reports whether only the list has the server as primary, and the server's answer is invalid.
    fn has_only_invalid_claim(&self) -> bool {
        self.invalid && self.led_term == Term::default()
    }

    /// Clears the ended terms of a server that follows: if it claims to lead again, it was
    /// promoted.
    fn reset_ended(&mut self) {
        self.ended_through = None;
        self.excluded = false;
    }
}

/// A change of primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The previous primary.
    pub before: Option<ServerKey>,
    /// The new primary.
    pub after: Option<ServerKey>,
    /// How long the previous state lasted.
    pub lasted: Duration,
}
