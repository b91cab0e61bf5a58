//! The open sessions of a host, and whether it takes another one.

use std::cell::Cell;
use std::rc::Rc;

use crate::session::RelayPolicy;

/// Descriptors that a session of a caller of this host may need: one for the caller, and one for
/// the host that serves the session. A relayed session needs one.
const DESCRIPTORS_PER_CALLER: usize = 2;

/// Part of the limit, in percent, up to which relayed sessions are accepted. The remainder is for
/// callers of this host. Without it, a serving host of a fleet of 300 accepted 3,926 relayed
/// sessions with 4,300 descriptors.
const RELAYED_PERCENT: usize = 75;

/// An open session, which is counted until it is dropped.
#[derive(Debug)]
pub struct OpenSession {
    sessions: Rc<OpenSessions>,
    policy: RelayPolicy,
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.sessions.end(self.policy);
    }
}

/// Counts the open sessions of a host.
///
/// ```
/// use flamingopost_proxy::open_sessions::OpenSessions;
/// use flamingopost_proxy::session::RelayPolicy;
///
/// let sessions = OpenSessions::new(4);
/// assert!((0..3).all(|_| sessions.admit(RelayPolicy::Never)));
/// assert!(!sessions.admit(RelayPolicy::Never), "the last one is for a caller of this host");
/// assert!(sessions.admit(RelayPolicy::Allowed));
/// ```
#[derive(Debug)]
pub struct OpenSessions {
    max: usize,
    own: Cell<usize>,
    relayed: Cell<usize>,
}

impl OpenSessions {
    /// Returns the count of a host that may have `max` sessions. The setting follows from the
    /// host's descriptors.
    pub fn new(max: usize) -> OpenSessions {
        OpenSessions {
            max,
            own: Cell::new(0),
            relayed: Cell::new(0),
        }
    }

    /// Returns the number of open sessions.
    pub fn count(&self) -> usize {
        self.own.get() + self.relayed.get()
    }

    /// Counts another session and returns true if it may be opened. A host that refuses a relayed
    /// session closes its connection immediately, and the relaying host tries the next one.
    pub fn admit(&self, policy: RelayPolicy) -> bool {
        let is_admitted = match policy {
            RelayPolicy::Allowed => self.count() < self.max,
            RelayPolicy::Never => {
                let descriptors = self.own.get() * DESCRIPTORS_PER_CALLER + self.relayed.get();
                descriptors < self.max.saturating_mul(RELAYED_PERCENT) / 100
            }
        };
        if is_admitted {
            let count = self.counter(policy);
            count.set(count.get() + 1);
        }
        is_admitted
    }

    /// Counts another session if it may be opened, as [`OpenSessions::admit`], until the result is dropped.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use flamingopost_proxy::open_sessions::OpenSessions;
    /// use flamingopost_proxy::session::RelayPolicy;
    ///
    /// let sessions = Rc::new(OpenSessions::new(1));
    /// let session = sessions.open(RelayPolicy::Allowed);
    /// assert!(session.is_some() && sessions.open(RelayPolicy::Allowed).is_none());
    /// drop(session);
    /// assert_eq!(sessions.count(), 0);
    /// ```
    pub fn open(self: &Rc<Self>, policy: RelayPolicy) -> Option<OpenSession> {
        self.admit(policy).then(|| OpenSession {
            sessions: Rc::clone(self),
            policy,
        })
    }

    /// Counts the end of an admitted session.
    pub fn end(&self, policy: RelayPolicy) {
        let count = self.counter(policy);
        count.set(count.get().saturating_sub(1));
    }

    fn counter(&self, policy: RelayPolicy) -> &Cell<usize> {
        match policy {
            RelayPolicy::Allowed => &self.own,
            RelayPolicy::Never => &self.relayed,
        }
    }
}
