//! Something that must not be.

/// What kind of promise was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Kind {
    /// lost write
    Lost,
    /// kept although refused
    FalselyRefused,
    /// doubled write
    Duplicated,
    /// statement that nobody sent
    Unsent,
    /// success without proof
    Unproved,
    /// transaction that shares or changes its connection
    Unpinned,
    /// values of another session
    ForeignValues,
    /// stale read
    Stale,
    /// read of what nobody committed
    Uncommitted,
    /// shared fencing token
    SharedToken,
    /// slow answer
    Slow,
    /// answer without sense
    UnexpectedReply,
    /// host that does not start
    NotStarted,
    /// host that does not end as told
    NotStopped,
    /// host that ended by itself
    UnexpectedExit,
    /// host that uses too much memory
    Memory,
    /// host that does not serve again
    NotRecovered,
}

/// Something that must not be.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{kind}: {text}")]
pub struct Problem {
    /// The promise that it breaks.
    pub kind: Kind,
    /// What was seen.
    pub text: String,
}

impl Problem {
    /// A problem of `kind`.
    pub fn new(kind: Kind, text: String) -> Problem {
        Problem { kind, text }
    }
}
