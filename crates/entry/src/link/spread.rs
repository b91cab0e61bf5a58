//! Which configuration is in force: heard of from all sides, adopted upward only.
//!
//! One task owns the decision; the others tell it what they have heard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::adoption::{Adoption, AdoptionStep};
use flamingopost_core::config;
use flamingopost_core::digest::Digest;
use flamingopost_daemon::event::Event as _;
use flamingopost_platform::head::{self, Head};
use flamingopost_platform::object::Store;
use flamingopost_wire::knowledge::Knowledge;
use tokio::sync::mpsc;

use super::jittered;
use super::peers::Peers;
use crate::adopted::Adopted;
use crate::event::Event as Log;
use crate::shared::Shared;

/// What waits to be taken in at most. More is dropped: every message is repeated.
const BACKLOG: usize = 256;

/// Time after a fetch that failed in which it is not tried again, whoever names the version.
const PAUSE: Duration = Duration::from_millis(400);

/// Something heard of versions.
#[derive(Debug)]
pub enum Heard {
    /// The head row was read; `None` where the fleet has no configuration yet.
    Head(Option<Head>),
    /// The head row could not be read.
    HeadFailed,
    /// A message carried `version`; `from` may be asked for it.
    Version {
        /// The version.
        version: u64,
        /// Address of a control process.
        from: Option<String>,
    },
    /// One of the control processes asked at the start has answered, or not.
    First {
        /// Its address.
        from: String,
        /// Its answer.
        answer: Option<Box<Knowledge>>,
    },
    /// A control process told what it knows.
    Told {
        /// Its address.
        from: String,
        /// Its answer.
        answer: Box<Knowledge>,
    },
}

/// Tells the task what was heard.
#[derive(Debug, Clone)]
pub struct Ear(mpsc::Sender<Heard>);

impl Ear {
    /// Passes on what was heard.
    pub fn tell(&self, heard: Heard) {
        // With the backlog full, this is dropped: the next poll or renewal repeats it.
        let _ = self.0.try_send(heard);
    }
}

/// Starts the task. `first` control processes are asked at the start.
pub fn start(shared: Arc<Shared>, peers: Arc<Peers>, store: Arc<dyn Store>, first: usize) -> Ear {
    let (sender, receiver) = mpsc::channel(BACKLOG);
    let spread = Spread {
        shared,
        peers,
        store,
        adoption: Adoption::starting(first),
        head: None,
        sources: BTreeMap::new(),
        paused_until: Duration::ZERO,
    };
    tokio::spawn(spread.run(receiver));
    Ear(sender)
}

/// A body and what it is said to be.
struct Offer {
    version: u64,
    digest: Digest,
    body: String,
    source: String,
}

struct Spread {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    adoption: Adoption,
    head: Option<(u64, Digest)>,
    /// The version that each control process is known to have.
    sources: BTreeMap<String, u64>,
    paused_until: Duration,
}

impl Spread {
    async fn run(mut self, mut heard: mpsc::Receiver<Heard>) {
        loop {
            let news = tokio::select! {
                news = heard.recv() => news,
                () = self.shared.stop().stopped() => None,
            };
            let Some(news) = news else {
                return;
            };
            if let AdoptionStep::Fetch { version } = self.take(news) {
                self.fetch(version).await;
            }
            self.shared.hear(self.adoption.highest());
        }
    }

    fn take(&mut self, heard: Heard) -> AdoptionStep {
        match heard {
            Heard::Head(None) => self.adoption.record_empty_head(),
            Heard::Head(Some(head)) => self.take_head(&head),
            Heard::HeadFailed => self.adoption.record_platform_failure(),
            Heard::Version { version, from } => {
                if let Some(from) = from {
                    self.sources.insert(from, version);
                }
                self.adoption.record_version(version)
            }
            Heard::First { from, answer } => {
                let version = answer.as_ref().map(|answer| answer.version);
                let next = self.adoption.record_peer_answer(version);
                match answer {
                    Some(answer) => self.take_knowledge(from, *answer),
                    None => next,
                }
            }
            Heard::Told { from, answer } => self.take_knowledge(from, *answer),
        }
    }

    fn take_head(&mut self, head: &Head) -> AdoptionStep {
        match head.digest.parse() {
            Ok(digest) => {
                // A reader that lags may answer with an older head than an earlier read did.
                if self.head.is_none_or(|(known, _)| known < head.version) {
                    self.head = Some((head.version, digest));
                }
                self.adoption.record_head(head.version, digest)
            }
            Err(error) => {
                let key = head::HEAD_KEY.to_owned();
                let error = error.to_string();
                Log::BadRow { key, error }.log();
                AdoptionStep::Idle
            }
        }
    }

    fn take_knowledge(&mut self, from: String, knowledge: Knowledge) -> AdoptionStep {
        self.sources.insert(from.clone(), knowledge.version);
        let next = self.adoption.record_version(knowledge.version);
        // A fresh process holds a body back until all that it has to ask have answered, and then
        // wants the highest version named: what it puts in force may otherwise be older, if only
        // for a moment, than what it had before its restart.
        match next {
            AdoptionStep::Fetch { version } if knowledge.version >= version => {}
            _ => return next,
        }
        let Some(offer) = offer(from, knowledge) else {
            return next;
        };
        self.offered(offer);
        self.adoption.record_version(0)
    }

    async fn fetch(&mut self, version: u64) {
        if self.shared.now() < self.paused_until {
            return;
        }
        let offer = match self.fetch_stored(version).await {
            Some(offer) => Some(offer),
            None => self.fetch_from_peers(version).await,
        };
        if let Some(offer) = offer {
            self.offered(offer);
        } else {
            self.paused_until = self.shared.now() + jittered(PAUSE);
            Log::Unfetched { version }.log();
        }
    }

    async fn fetch_stored(&self, version: u64) -> Option<Offer> {
        let (known, digest) = self.head.filter(|(known, _)| *known >= version)?;
        let stored = head::fetch_body(self.store.as_ref(), digest).await;
        let body = String::from_utf8(stored.ok()??).ok()?;
        Some(Offer {
            version: known,
            digest,
            body,
            source: "the object store".to_owned(),
        })
    }

    async fn fetch_from_peers(&self, version: u64) -> Option<Offer> {
        let fit = self.sources.iter().filter(|(_, known)| **known >= version);
        for (address, _) in fit {
            let Ok(knowledge) = self.peers.ask(address, self.adoption.in_force()).await else {
                continue;
            };
            if let Some(offer) = offer(address.clone(), knowledge) {
                return Some(offer);
            }
        }
        None
    }

    fn offered(&mut self, offer: Offer) {
        let version = offer.version;
        let judged = self
            .adoption
            .check_body(version, offer.digest, offer.body.as_bytes());
        match judged {
            Ok(AdoptionStep::Adopt) => self.adopt(offer),
            Ok(AdoptionStep::Idle | AdoptionStep::Fetch { .. }) => {}
            Err(error) => {
                let source = offer.source;
                let error = error.to_string();
                Log::Unadopted {
                    version,
                    source,
                    error,
                }
                .log();
            }
        }
    }

    fn adopt(&mut self, offer: Offer) {
        let Offer {
            version,
            digest,
            body,
            source,
        } = offer;
        let file = format!("version {version}");
        let parsed = self
            .shared
            .intern(|directory| config::parse(&file, &body, directory));
        match parsed {
            Ok(fleet) => {
                self.adoption.record_adopted(version);
                self.shared.adopt(Adopted {
                    version,
                    digest: digest.to_string(),
                    body: Arc::from(body),
                    fleet: Arc::new(fleet),
                });
                self.sources.retain(|_, known| *known >= version);
                Log::Adopted { version, source }.log();
            }
            Err(report) => {
                // Written for a newer program than this one: going on with what is in force is
                // better than serving by a part of it.
                self.adoption.reject_version(version);
                let error = report.to_string();
                Log::Unadopted {
                    version,
                    source,
                    error,
                }
                .log();
            }
        }
    }
}

fn offer(source: String, knowledge: Knowledge) -> Option<Offer> {
    Some(Offer {
        version: knowledge.version,
        digest: knowledge.digest.parse().ok()?,
        body: knowledge.body?,
        source,
    })
}
