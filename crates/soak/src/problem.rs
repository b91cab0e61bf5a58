//! Violations that a run found.

/// The kind of a violation. Its text is printed with each problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Kind {
    /// lost write
    Lost,
    /// refused write that was committed
    FalselyRefused,
    /// write committed twice
    Duplicated,
    /// statement that no caller sent
    Unsent,
    /// success without proof of execution
    Unproved,
    /// transaction that shared or changed its connection
    Unpinned,
    /// settings of another session
    ForeignValues,
    /// stale read
    Stale,
    /// read of uncommitted data
    Uncommitted,
    /// fencing token used by two hosts
    SharedToken,
    /// statement run in the name of another team
    ForeignTeam,
    /// team over its limit
    OverLimit,
    /// removed API key that is still accepted
    RemovedKey,
    /// slow answer
    Slow,
    /// unexpected answer
    UnexpectedReply,
    /// host that did not start
    NotStarted,
    /// host that did not stop as requested
    NotStopped,
    /// host that exited unexpectedly
    UnexpectedExit,
    /// panic in a host
    Panic,
    /// host that used too much memory
    Memory,
    /// host that did not recover
    NotRecovered,
}

/// A violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{kind}: {text}")]
pub struct Problem {
    /// Which guarantee was broken.
    pub kind: Kind,
    /// What was observed.
    pub text: String,
}

impl Problem {
    /// Creates a problem of `kind`.
    pub fn new(kind: Kind, text: String) -> Problem {
        Problem { kind, text }
    }
}
