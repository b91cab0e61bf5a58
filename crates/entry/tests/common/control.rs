//! A control process for tests: grants or refuses as told, and records what it was asked.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use flamingopost_core::digest::Digest;
use flamingopost_daemon::remote;
use flamingopost_daemon::token::Token;
use flamingopost_wire::authority::{Promise, PromiseRequest, Release, Released};
use flamingopost_wire::knowledge::{Controller, Knowledge};
use flamingopost_wire::lease::{Grant, Refusal, Renewal, Reply};
use flamingopost_wire::rpc::ControlServer;
use flamingopost_wire::status::{Ordered, Status};
use flamingopost_wire::view::{Service, Shard, Version};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;

pub const SERVICE: &str = "auction-ledger";
pub const PRIMARY: &str = "auction-ledger-1";
pub const TERM: &str = "1.0";
pub const LEASE_MS: u64 = 2_500;

/// A control process on a loopback port.
#[derive(Clone)]
pub struct Control {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    server: ServerHandle,
}

pub struct State {
    /// Whether renewals are granted; else they are refused with this redirect.
    pub grants: Result<(), Option<String>>,
    pub view: Shard,
    pub allotment: BTreeMap<String, u16>,
    /// Whether grants tell hosts to drain.
    pub drain: bool,
    pub knowledge: Knowledge,
    pub renewals: Vec<Renewal>,
}

/// The view of one service, led by its first server in `term`.
pub fn view(change: u64, term: &str, primary: Option<&str>) -> Shard {
    let service = Service {
        term: term.to_owned(),
        primary: primary.map(str::to_owned),
        history: BTreeMap::from([(TERM.to_owned(), 0)]),
        leaving: Default::default(),
    };
    Shard {
        version: Version { epoch: 1, change },
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
    }
}

/// What a process that has `body` in force as `version` tells.
pub fn knowledge(version: u64, body: &str) -> Knowledge {
    Knowledge {
        version,
        digest: Digest::of(body.as_bytes()).to_string(),
        body: Some(body.to_owned()),
        ..Knowledge::default()
    }
}

impl Control {
    pub async fn start(knowledge: Knowledge) -> Control {
        let state = Arc::new(Mutex::new(State {
            grants: Ok(()),
            view: view(1, TERM, Some(PRIMARY)),
            allotment: BTreeMap::from([(PRIMARY.to_owned(), 5)]),
            drain: false,
            knowledge,
            renewals: Vec::new(),
        }));
        let server = ServerBuilder::new()
            .set_http_middleware(remote::server_middleware(&Token::new("")))
            .build("127.0.0.1:0")
            .await
            .unwrap();
        let address = server.local_addr().unwrap();
        let server = server.start(Answers(state.clone()).into_rpc());
        Control {
            address,
            state,
            server,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Tells all who ask that `other` controls shard 0 since `epoch`.
    pub fn names(&self, other: &Control, epoch: u32) {
        let rpc = other.address.to_string();
        let controllers = &mut self.state().knowledge.controllers;
        controllers.insert(0, Controller { epoch, rpc });
    }

    pub async fn die(&self) {
        let _ = self.server.stop();
        self.server.clone().stopped().await;
    }
}

struct Answers(Arc<Mutex<State>>);

impl Answers {
    fn answer(&self, renewal: Renewal) -> Reply {
        let mut state = self.0.lock().unwrap();
        let config = state.knowledge.version;
        let reply = match &state.grants {
            Err(redirect) => Reply::Refused(Refusal {
                redirect: redirect.clone(),
                config,
            }),
            Ok(()) => {
                let known = renewal.version == Some(state.view.version);
                Reply::Granted(Grant {
                    version: state.view.version,
                    valid_ms: LEASE_MS,
                    view: (!known).then(|| state.view.clone()),
                    allotment: state.allotment.clone(),
                    floors: BTreeMap::new(),
                    drain: state.drain,
                    config,
                })
            }
        };
        state.renewals.push(renewal);
        reply
    }
}

#[async_trait]
impl ControlServer for Answers {
    async fn renew(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>> {
        Ok(renewals.into_iter().map(|one| self.answer(one)).collect())
    }

    async fn knowledge(&self, version: u64) -> RpcResult<Knowledge> {
        let mut knowledge = self.0.lock().unwrap().knowledge.clone();
        if knowledge.version <= version {
            knowledge.body = None;
        }
        Ok(knowledge)
    }

    async fn promise(&self, _: PromiseRequest) -> RpcResult<Promise> {
        Err(unused())
    }

    async fn release(&self, _: Release) -> RpcResult<Released> {
        Err(unused())
    }

    async fn status(&self) -> RpcResult<Status> {
        Err(unused())
    }

    async fn order(&self, _: String) -> RpcResult<Ordered> {
        Err(unused())
    }
}

fn unused() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(1, "no entry host calls this", None::<()>)
}
