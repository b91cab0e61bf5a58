//! Adoption of configuration versions: a version never goes back, and bodies are checked against
//! their digest.
//!
//! Versions are announced by the platform's head row and by every message between processes. Bodies
//! come from the object store or from a peer. So one process that has seen a version is enough for
//! all processes that it can reach, with or without the platform.

use std::collections::BTreeSet;

use crate::digest::Digest;
use crate::invariant::{self, Invariant};

/// Tracks the configuration version of one process.
///
/// ```
/// use flamingopost_core::adoption::{Adoption, AdoptionStep};
/// use flamingopost_core::digest::Digest;
///
/// let mut adoption = Adoption::starting(0);
/// let body = b"[fleet]\nshards = 1\n";
/// assert_eq!(adoption.record_version(3), AdoptionStep::Idle, "the platform has not answered yet");
/// assert_eq!(adoption.record_head(3, Digest::of(body)), AdoptionStep::Fetch { version: 3 });
/// assert_eq!(adoption.check_body(3, Digest::of(body), body), Ok(AdoptionStep::Adopt));
/// adoption.record_adopted(3);
/// assert_eq!(adoption.in_force(), 3);
/// assert_eq!(adoption.record_version(2), AdoptionStep::Idle);
/// ```
#[derive(Debug)]
pub struct Adoption {
    in_force: u64,
    highest: u64,
    head: Option<(u64, Digest)>,
    rejected: BTreeSet<u64>,
    startup: Option<Startup>,
}

/// The sources that a process that has just started still waits for.
#[derive(Debug)]
struct Startup {
    platform: Source,
    peers_left: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Awaited,
    Failed,
}

/// What a process does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptionStep {
    /// Nothing.
    Idle,
    /// Fetch the body of `version` or of a newer one, from the platform or from the peer that
    /// announced it.
    Fetch {
        /// The version.
        version: u64,
    },
    /// Decode the body and put it in force, then call [`Adoption::record_adopted`]; or call
    /// [`Adoption::reject_version`].
    Adopt,
}

/// Why an offered body is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// the body of version {0} does not have the digest that came with it
    Damaged(u64),
    /// version {0} has another digest than the platform's head names
    Forked(u64),
}

impl std::error::Error for Error {}

impl Adoption {
    /// Creates the state of a process that has just started and has `peers` others to ask.
    pub fn starting(peers: usize) -> Adoption {
        Adoption {
            in_force: 0,
            highest: 0,
            head: None,
            rejected: BTreeSet::new(),
            startup: Some(Startup {
                platform: Source::Awaited,
                peers_left: peers,
            }),
        }
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns the highest known version, which every message to other processes carries.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Records that a message carried `version`.
    pub fn record_version(&mut self, version: u64) -> AdoptionStep {
        self.highest = self.highest.max(version);
        self.next()
    }

    /// Records that the platform's head row names `version`, whose body has `digest`. Version 0
    /// means that the fleet has no configuration yet.
    pub fn record_head(&mut self, version: u64, digest: Digest) -> AdoptionStep {
        if self.head.is_none_or(|(known, _)| known < version) {
            self.head = Some((version, digest));
        }
        // The head names the newest version, so no other source has to answer.
        self.startup = None;
        self.record_version(version)
    }

    /// Records that the platform has no configuration.
    pub fn record_empty_head(&mut self) -> AdoptionStep {
        self.startup = None;
        self.next()
    }

    /// Records that the platform did not answer.
    pub fn record_platform_failure(&mut self) -> AdoptionStep {
        if let Some(fresh) = &mut self.startup {
            fresh.platform = Source::Failed;
        }
        self.next()
    }

    /// Records the answer of a peer that was asked at the start: its version, or `None` if it did
    /// not answer.
    pub fn record_peer_answer(&mut self, version: Option<u64>) -> AdoptionStep {
        if let Some(fresh) = &mut self.startup {
            fresh.peers_left = fresh.peers_left.saturating_sub(1);
        }
        self.record_version(version.unwrap_or_default())
    }

    /// Reports whether every source that a starting process has to ask has answered or failed.
    /// Before that, a version that it puts in force may be older than the one in force before its
    /// restart.
    pub fn has_asked_all(&self) -> bool {
        match &self.startup {
            None => true,
            Some(fresh) => fresh.platform == Source::Failed && fresh.peers_left == 0,
        }
    }

    /// Checks `body`, offered as the body of `version` with `digest`.
    ///
    /// # Errors
    /// The body does not match its digest, or the digest differs from the one that the platform's
    /// head names.
    pub fn check_body(
        &mut self,
        version: u64,
        digest: Digest,
        body: &[u8],
    ) -> Result<AdoptionStep, Error> {
        if Digest::of(body) != digest {
            return Err(Error::Damaged(version));
        }
        if self
            .head
            .is_some_and(|(known, wanted)| known == version && wanted != digest)
        {
            return Err(Error::Forked(version));
        }
        self.highest = self.highest.max(version);
        if version <= self.in_force || self.rejected.contains(&version) {
            return Ok(AdoptionStep::Idle);
        }
        Ok(AdoptionStep::Adopt)
    }

    /// Records that `version` is now in force.
    pub fn record_adopted(&mut self, version: u64) {
        invariant::check(
            Invariant::UpwardConfiguration,
            version > self.in_force,
            || format!("version {version} after {}", self.in_force),
        );
        self.in_force = self.in_force.max(version);
        self.highest = self.highest.max(version);
        self.rejected.retain(|refused| *refused > version);
    }

    /// Records that this program cannot read the body of `version`, which may need a newer program.
    /// The version in force stays, and the body is not fetched again.
    pub fn reject_version(&mut self, version: u64) {
        self.rejected.insert(version);
    }

    fn next(&self) -> AdoptionStep {
        let version = self.highest;
        let wanted = version > self.in_force && !self.rejected.contains(&version);
        match wanted && self.has_asked_all() {
            true => AdoptionStep::Fetch { version },
            false => AdoptionStep::Idle,
        }
    }
}
