//! Spread of configuration versions: from the platform's head row, from messages, from peers.
//!
//! One task owns the adoption state machine; everybody else tells it what they have heard.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingopost_core::adoption::{Adoption, AdoptionStep};
use flamingopost_core::config;
use flamingopost_core::digest::Digest;
use flamingopost_core::submission::Record;
use flamingopost_daemon::event::Event as _;
use flamingopost_platform::head::{self, Head};
use flamingopost_wire::knowledge::Knowledge;
use flamingopost_wire::rpc::ControlClient;
use tokio::sync::mpsc;

use crate::config::Config;
use crate::event::Event as Log;
use crate::shared::Shared;

/// Events that wait at most; each is small and the poll repeats what matters.
const BACKLOG: usize = 256;

/// Something that says which versions there are.
#[derive(Debug)]
pub enum Event {
    /// The head row was read; none when there is no configuration yet.
    Head(Option<Head>),
    /// The head row could not be read.
    HeadFailed,
    /// A message from the process at `from` carried `version`.
    Heard {
        /// The version.
        version: u64,
        /// Address of the sender's remote calls, where it may be asked for the body.
        from: Option<String>,
    },
    /// A peer that is asked at the start has answered, or not.
    Asked(Option<Box<Knowledge>>),
    /// A peer has told what it knows.
    Told(Box<Knowledge>),
}

/// Where events go.
#[derive(Debug, Clone)]
pub struct Handle(mpsc::Sender<Event>);

impl Handle {
    /// Tells of `event`. One that finds the backlog full is dropped: the poll repeats it.
    pub fn tell(&self, event: Event) {
        let _full = self.0.try_send(event);
    }
}

/// Starts the task; `peers` others will be asked at the start.
pub fn start(shared: Arc<Shared>, peers: usize) -> Handle {
    let (sender, receiver) = mpsc::channel(BACKLOG);
    let spread = Spread {
        shared,
        adoption: Adoption::starting(peers),
        head: None,
        sources: BTreeMap::new(),
    };
    tokio::spawn(spread.run(receiver));
    Handle(sender)
}

struct Spread {
    shared: Arc<Shared>,
    adoption: Adoption,
    head: Option<Record>,
    /// Who may be asked for which version.
    sources: BTreeMap<String, u64>,
}

/// A body and what it is said to be.
struct Offer {
    version: u64,
    digest: Digest,
    body: String,
}

impl Spread {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            let next = self.take(event);
            if let AdoptionStep::Fetch { version } = next {
                self.fetch(version).await;
            }
            self.shared.hear(self.adoption.highest());
        }
    }

    fn take(&mut self, event: Event) -> AdoptionStep {
        match event {
            Event::Head(Some(head)) => self.take_head(&head),
            Event::Head(None) => self.adoption.record_empty_head(),
            Event::HeadFailed => self.adoption.record_platform_failure(),
            Event::Heard { version, from } => {
                if let Some(from) = from {
                    self.sources.insert(from, version);
                }
                self.adoption.record_version(version)
            }
            Event::Asked(answer) => {
                let version = answer.as_ref().map(|knowledge| knowledge.version);
                let next = self.adoption.record_peer_answer(version);
                answer.map_or(next, |knowledge| self.take_knowledge(*knowledge))
            }
            Event::Told(knowledge) => self.take_knowledge(*knowledge),
        }
    }

    fn take_head(&mut self, head: &Head) -> AdoptionStep {
        match Record::try_from(head) {
            Ok(record) => {
                let next = self.adoption.record_head(record.version, record.digest);
                self.head = Some(record);
                next
            }
            Err(error) => {
                let error = error.to_string();
                Log::BadRow { error }.log();
                AdoptionStep::Idle
            }
        }
    }

    fn take_knowledge(&mut self, knowledge: Knowledge) -> AdoptionStep {
        if let Some(process) = knowledge.process {
            self.sources.insert(process.rpc, knowledge.version);
        }
        let next = self.adoption.record_version(knowledge.version);
        let (Some(body), Ok(digest)) = (knowledge.body, knowledge.digest.parse()) else {
            return next;
        };
        // A fresh process holds a body back until all it has to ask have answered, and then wants
        // the highest version named: this one may be older than what it had before its restart.
        match next {
            AdoptionStep::Fetch { version } if knowledge.version >= version => {}
            _ => return next,
        }
        self.offer(Offer {
            version: knowledge.version,
            digest,
            body,
        });
        self.adoption.record_version(knowledge.version)
    }

    async fn fetch(&mut self, version: u64) {
        let offer = match self.fetch_stored(version).await {
            Some(offer) => Some(offer),
            None => self.fetch_from_peers(version).await,
        };
        match offer {
            Some(offer) => self.offer(offer),
            None => Log::BodyMissing { version }.log(),
        }
    }

    async fn fetch_stored(&self, version: u64) -> Option<Offer> {
        let head = self.head.as_ref()?;
        if head.version < version {
            return None;
        }
        let stored = head::fetch_body(self.shared.platform(), head.digest).await;
        let body = String::from_utf8(stored.ok()??).ok()?;
        Some(Offer {
            version: head.version,
            digest: head.digest,
            body,
        })
    }

    async fn fetch_from_peers(&self, version: u64) -> Option<Offer> {
        let fit = self.sources.iter().filter(|(_, known)| **known >= version);
        for (address, _) in fit {
            let Ok(client) = self.shared.links().get(address) else {
                continue;
            };
            let Ok(knowledge) = client.knowledge(self.adoption.in_force()).await else {
                continue;
            };
            let (Some(body), Ok(digest)) = (knowledge.body, knowledge.digest.parse()) else {
                continue;
            };
            return Some(Offer {
                version: knowledge.version,
                digest,
                body,
            });
        }
        None
    }

    fn offer(&mut self, offer: Offer) {
        let Offer {
            version,
            digest,
            body,
        } = offer;
        match self.adoption.check_body(version, digest, body.as_bytes()) {
            Ok(AdoptionStep::Adopt) => self.adopt(version, digest, body),
            Ok(_) => {}
            Err(error) => {
                let error = error.to_string();
                Log::BadBody { version, error }.log();
            }
        }
    }

    fn adopt(&mut self, version: u64, digest: Digest, body: String) {
        let file = format!("version-{version}");
        let parsed = self
            .shared
            .intern(|directory| config::parse(&file, &body, directory));
        match parsed {
            Ok(fleet) => {
                self.adoption.record_adopted(version);
                self.shared.put(Config {
                    version,
                    digest,
                    body: body.into(),
                    fleet: Arc::new(fleet),
                });
                self.sources.retain(|_, known| *known >= version);
                Log::Adopted { version }.log();
            }
            Err(report) => {
                self.adoption.reject_version(version);
                let error = report.to_string();
                Log::BadBody { version, error }.log();
            }
        }
    }
}
