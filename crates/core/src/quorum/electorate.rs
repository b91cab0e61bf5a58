//! The hosts whose majority decides, as agreed between them.

use std::collections::BTreeSet;

/// Number of an electorate. Each one is greater than that of the electorate that it follows.
///
/// Two hosts may write the same count after the store was restored from a copy, so the process that
/// wrote it tells them apart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number {
    /// Count of electorates up to this one.
    pub count: u64,
    /// The process that has formed it.
    pub process: u64,
}

impl std::fmt::Display for Number {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:x}", self.count, self.process)
    }
}

/// A set of hosts whose majority decides, and the set that it replaces.
///
/// While one set replaces another, a majority of each has to agree (joint consensus). So any two
/// electorates of which one follows the other have a host in common in their majorities, however many
/// hosts are added and removed at once. One more change ends that, after which both sets are the same.
///
/// ```
/// use std::collections::BTreeSet;
/// use flamingopost_core::quorum::Electorate;
///
/// let hosts = |names: &[&str]| names.iter().map(|it| (*it).to_owned()).collect::<BTreeSet<String>>();
/// let first = Electorate::first(hosts(&["entry-1", "entry-2"]), 7);
/// let joint = first.followed_by(hosts(&["entry-3", "entry-4"]), 8);
/// assert!(joint.is_joint());
/// assert_eq!(joint.former, first.electors);
/// let settled = joint.followed_by(joint.electors.clone(), 8);
/// assert!(!settled.is_joint());
/// assert!(first.number < joint.number && joint.number < settled.number);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Electorate {
    /// Its number.
    pub number: Number,
    /// How many electorates up to this one were formed without the consent of the one before.
    pub formation: u64,
    /// Names of the hosts.
    pub electors: BTreeSet<String>,
    /// Names of the hosts of the electorate before.
    pub former: BTreeSet<String>,
}

impl Electorate {
    /// Returns the first electorate of a fleet, formed by `process`.
    pub fn first(electors: BTreeSet<String>, process: u64) -> Electorate {
        Electorate {
            number: Number { count: 1, process },
            formation: 1,
            former: electors.clone(),
            electors,
        }
    }

    /// Returns the electorate that follows with the consent of this one.
    pub fn followed_by(&self, electors: BTreeSet<String>, process: u64) -> Electorate {
        Electorate {
            number: self.next_number(process),
            formation: self.formation,
            electors,
            former: self.electors.clone(),
        }
    }

    /// Returns the electorate that replaces this one without its consent, because it cannot give it
    /// any more.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use flamingopost_core::quorum::Electorate;
    ///
    /// let first = Electorate::first(BTreeSet::from(["entry-1".to_owned()]), 7);
    /// let formed = first.replaced_by(BTreeSet::from(["entry-2".to_owned()]), 8);
    /// assert!(!formed.is_joint());
    /// assert_eq!(formed.formation, 2);
    /// ```
    pub fn replaced_by(&self, electors: BTreeSet<String>, process: u64) -> Electorate {
        Electorate {
            number: self.next_number(process),
            formation: self.formation.saturating_add(1),
            former: electors.clone(),
            electors,
        }
    }

    /// Reports whether a majority of the electorate before has to agree as well.
    pub fn is_joint(&self) -> bool {
        self.electors != self.former
    }

    /// Reports whether `host` belongs to this electorate or to the one before.
    pub fn includes(&self, host: &str) -> bool {
        self.electors.contains(host) || self.former.contains(host)
    }

    fn next_number(&self, process: u64) -> Number {
        let count = self.number.count.saturating_add(1);
        Number { count, process }
    }
}
