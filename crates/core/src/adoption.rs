//! Adoption of configuration versions: upward only, bodies checked by their digest.
//!
//! Versions are heard of from the platform's head row and from every message between processes;
//! bodies come from the object store or from a peer. One process that has seen a version is
//! therefore enough for all that it can reach, with the platform there or not.

use std::collections::BTreeSet;

use crate::digest::Digest;
use crate::invariant::{self, Invariant};

/// The configuration version of one process.
///
/// ```
/// use flamingopost_core::adoption::{Adoption, Next};
/// use flamingopost_core::digest::Digest;
///
/// let mut adoption = Adoption::fresh(0);
/// let body = b"[fleet]\nshards = 1\n";
/// assert_eq!(adoption.heard(3), Next::Idle, "the platform has not answered yet");
/// assert_eq!(adoption.told(3, Digest::of(body)), Next::Fetch { version: 3 });
/// assert_eq!(adoption.offered(3, Digest::of(body), body), Ok(Next::Adopt));
/// adoption.adopted(3);
/// assert_eq!(adoption.in_force(), 3);
/// assert_eq!(adoption.heard(2), Next::Idle);
/// ```
#[derive(Debug)]
pub struct Adoption {
    in_force: u64,
    highest: u64,
    head: Option<(u64, Digest)>,
    refused: BTreeSet<u64>,
    fresh: Option<Fresh>,
}

/// Whom a process that has just started has not heard from yet.
#[derive(Debug)]
struct Fresh {
    platform: Source,
    peers_left: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Awaited,
    Failed,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Idle,
    /// Fetch the body of `version`, or of a newer one, from the platform or from whoever named it.
    Fetch {
        /// The version.
        version: u64,
    },
    /// Decode the body and put it in force, then call [`Adoption::adopted`]; or call
    /// [`Adoption::refuse`].
    Adopt,
}

/// Why an offered body is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// the body of version {0} does not have the digest that came with it
    Damaged(u64),
    /// version {0} has another digest than the platform's head names
    Forked(u64),
}

impl std::error::Error for Error {}

impl Adoption {
    /// A process that has just started and knows `peers` others to ask.
    pub fn fresh(peers: usize) -> Adoption {
        Adoption {
            in_force: 0,
            highest: 0,
            head: None,
            refused: BTreeSet::new(),
            fresh: Some(Fresh {
                platform: Source::Awaited,
                peers_left: peers,
            }),
        }
    }

    /// The version in force; 0 when there is none.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// The highest version heard of: what every message to others carries.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// A message carried `version`.
    pub fn heard(&mut self, version: u64) -> Next {
        self.highest = self.highest.max(version);
        self.next()
    }

    /// The platform's head row names `version`, whose body has `digest`. Version 0 says that
    /// the fleet has no configuration yet.
    pub fn told(&mut self, version: u64, digest: Digest) -> Next {
        if self.head.is_none_or(|(known, _)| known < version) {
            self.head = Some((version, digest));
        }
        // The head is the newest there is: nobody else needs to be heard.
        self.fresh = None;
        self.heard(version)
    }

    /// The platform has answered that there is no configuration.
    pub fn told_none(&mut self) -> Next {
        self.fresh = None;
        self.next()
    }

    /// The platform did not answer.
    pub fn platform_failed(&mut self) -> Next {
        if let Some(fresh) = &mut self.fresh {
            fresh.platform = Source::Failed;
        }
        self.next()
    }

    /// One of the peers asked at the start has answered with its version, or has not answered.
    pub fn peer_asked(&mut self, version: Option<u64>) -> Next {
        if let Some(fresh) = &mut self.fresh {
            fresh.peers_left = fresh.peers_left.saturating_sub(1);
        }
        self.heard(version.unwrap_or_default())
    }

    /// Whether all that a fresh process has to ask have answered or failed. Before that, what it
    /// would put in force may be older than what it had in force before its restart.
    pub fn is_settled(&self) -> bool {
        match &self.fresh {
            None => true,
            Some(fresh) => fresh.platform == Source::Failed && fresh.peers_left == 0,
        }
    }

    /// `body` is offered as that of `version`, with `digest`.
    ///
    /// # Errors
    /// The body is not what it is said to be.
    pub fn offered(&mut self, version: u64, digest: Digest, body: &[u8]) -> Result<Next, Error> {
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
        if version <= self.in_force || self.refused.contains(&version) {
            return Ok(Next::Idle);
        }
        Ok(Next::Adopt)
    }

    /// `version` is in force from now on.
    pub fn adopted(&mut self, version: u64) {
        invariant::check(
            Invariant::UpwardConfiguration,
            version > self.in_force,
            || format!("version {version} after {}", self.in_force),
        );
        self.in_force = self.in_force.max(version);
        self.highest = self.highest.max(version);
        self.refused.retain(|refused| *refused > version);
    }

    /// The body of `version` cannot be read by this program, which may be older than what the
    /// version needs: the version in force stays, and the body is not fetched again.
    pub fn refuse(&mut self, version: u64) {
        self.refused.insert(version);
    }

    fn next(&self) -> Next {
        let version = self.highest;
        let wanted = version > self.in_force && !self.refused.contains(&version);
        match wanted && self.is_settled() {
            true => Next::Fetch { version },
            false => Next::Idle,
        }
    }
}
