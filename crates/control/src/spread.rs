//! Adopts configuration versions that arrive by the platform's head row, by messages and from
//! peers.
//!
//! One task owns the adoption state machine. All other tasks send it events.

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

/// Maximum number of queued events. Events are small, and the poll repeats dropped information.
const BACKLOG: usize = 256;

/// An event that carries information about configuration versions.
#[derive(Debug)]
pub enum Event {
    /// The head row was read. `None` means that the fleet has no configuration yet.
    Head(Option<Head>),
    /// The head row could not be read.
    HeadFailed,
    /// A message from the process at `from` carried `version`.
    VersionSeen {
        /// The configuration version.
        version: u64,
        /// Address of the sender's remote calls, if the body can be fetched from it.
        from: Option<String>,
    },
    /// A peer queried at startup has answered, or the query has failed (`None`).
    StartupAnswer(Option<Box<Knowledge>>),
    /// A peer has answered a periodic query.
    PeerAnswer(Box<Knowledge>),
}

/// Sends events to the adoption task.
#[derive(Debug, Clone)]
pub struct Handle(mpsc::Sender<Event>);

impl Handle {
    /// Queues `event`. Drops it if the queue is full, because the poll repeats it.
    pub fn send(&self, event: Event) {
        let _full = self.0.try_send(event);
    }
}

/// Starts the adoption task. `peers` is the number of peers queried at startup.
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
    /// Versions that processes are known to have, by the address of their remote calls.
    sources: BTreeMap<String, u64>,
}

/// A configuration body with the version and digest that its source claims for it.
struct Candidate {
    version: u64,
    digest: Digest,
    body: String,
}

impl Spread {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            let step = self.handle(event);
            if let AdoptionStep::Fetch { version } = step {
                self.fetch(version).await;
            }
            self.shared.observe_version(self.adoption.highest());
        }
    }

    fn handle(&mut self, event: Event) -> AdoptionStep {
        match event {
            Event::Head(Some(head)) => self.handle_head(&head),
            Event::Head(None) => self.adoption.record_empty_head(),
            Event::HeadFailed => self.adoption.record_platform_failure(),
            Event::VersionSeen { version, from } => {
                if let Some(from) = from {
                    self.sources.insert(from, version);
                }
                self.adoption.record_version(version)
            }
            Event::StartupAnswer(answer) => {
                let version = answer.as_ref().map(|knowledge| knowledge.version);
                let step = self.adoption.record_peer_answer(version);
                answer.map_or(step, |knowledge| self.handle_knowledge(*knowledge))
            }
            Event::PeerAnswer(knowledge) => self.handle_knowledge(*knowledge),
        }
    }

    fn handle_head(&mut self, head: &Head) -> AdoptionStep {
        match Record::try_from(head) {
            Ok(record) => {
                let step = self.adoption.record_head(record.version, record.digest);
                self.head = Some(record);
                step
            }
            Err(error) => {
                let error = error.to_string();
                Log::BadRow { error }.log();
                AdoptionStep::Idle
            }
        }
    }

    fn handle_knowledge(&mut self, knowledge: Knowledge) -> AdoptionStep {
        if let Some(process) = knowledge.process {
            self.sources.insert(process.rpc, knowledge.version);
        }
        let step = self.adoption.record_version(knowledge.version);
        let (Some(body), Ok(digest)) = (knowledge.body, knowledge.digest.parse()) else {
            return step;
        };
        // A process that has just started adopts nothing until all peers queried at startup have
        // answered, and then the highest version reported. This body may be older than the version
        // that was in force before the restart.
        match step {
            AdoptionStep::Fetch { version } if knowledge.version >= version => {}
            _ => return step,
        }
        self.consider(Candidate {
            version: knowledge.version,
            digest,
            body,
        });
        self.adoption.record_version(knowledge.version)
    }

    async fn fetch(&mut self, version: u64) {
        let candidate = match self.fetch_stored(version).await {
            Some(candidate) => Some(candidate),
            None => self.fetch_from_peers(version).await,
        };
        match candidate {
            Some(candidate) => self.consider(candidate),
            None => Log::BodyMissing { version }.log(),
        }
    }

    async fn fetch_stored(&self, version: u64) -> Option<Candidate> {
        let head = self.head.as_ref()?;
        if head.version < version {
            return None;
        }
        let stored = head::fetch_body(self.shared.platform(), head.digest).await;
        let body = String::from_utf8(stored.ok()??).ok()?;
        Some(Candidate {
            version: head.version,
            digest: head.digest,
            body,
        })
    }

    async fn fetch_from_peers(&self, version: u64) -> Option<Candidate> {
        let sources = self.sources.iter().filter(|(_, known)| **known >= version);
        for (address, _) in sources {
            let Ok(client) = self.shared.links().get(address) else {
                continue;
            };
            let Ok(knowledge) = client.knowledge(self.adoption.in_force()).await else {
                continue;
            };
            let (Some(body), Ok(digest)) = (knowledge.body, knowledge.digest.parse()) else {
                continue;
            };
            return Some(Candidate {
                version: knowledge.version,
                digest,
                body,
            });
        }
        None
    }

    fn consider(&mut self, candidate: Candidate) {
        let Candidate {
            version,
            digest,
            body,
        } = candidate;
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
                self.shared.set_config(Config {
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
