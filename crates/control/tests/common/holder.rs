//! A simulated entry host that only holds its lease: it renews the lease, answers revocations and
//! reports unreachable servers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flamingopost_core::clock::Clock;
use flamingopost_core::directory::Directory;
use flamingopost_core::key::ServiceKey;
use flamingopost_core::lease::{self, Acknowledge, Leader};
use flamingopost_core::position::Position;
use flamingopost_core::timing;
use flamingopost_daemon::clock::Boot;
use flamingopost_daemon::remote;
use flamingopost_daemon::token::Token;
use flamingopost_wire::close::{Close, Closed};
use flamingopost_wire::knowledge::Knowledge;
use flamingopost_wire::lease::{Grant, Renewal, Reply, Report};
use flamingopost_wire::rpc::{ControlClient as _, EntryServer};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};

use super::{SERVICE, TOKEN};

struct State {
    holder: lease::LeaseHolder,
    directory: Directory,
    unreachable: BTreeSet<String>,
    allotment: BTreeMap<String, u16>,
    floors: BTreeMap<String, u16>,
    config: u64,
    leaving: BTreeSet<String>,
    drained: bool,
}

/// A simulated entry host. It stops when dropped.
pub struct Host {
    state: Arc<Mutex<State>>,
    _server: ServerHandle,
    renewing: tokio::task::JoinHandle<()>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.renewing.abort();
    }
}

impl Host {
    pub async fn start(name: &str, zone: &str, controls: Vec<SocketAddr>) -> Host {
        let incarnation = flamingopost_daemon::incarnation::random();
        let state = Arc::new(Mutex::new(State {
            holder: lease::LeaseHolder::new(incarnation),
            directory: Directory::default(),
            unreachable: BTreeSet::new(),
            allotment: BTreeMap::new(),
            floors: BTreeMap::new(),
            config: 0,
            leaving: BTreeSet::new(),
            drained: false,
        }));
        let server = Server::builder()
            .set_http_middleware(remote::server_middleware(&Token::new(TOKEN)))
            .build("127.0.0.1:0")
            .await
            .unwrap();
        let rpc = server.local_addr().unwrap().to_string();
        let handle = server.start(Remote(state.clone()).into_rpc());
        let renewer = Renewer {
            state: state.clone(),
            renewal: Renewal {
                shard: 0,
                host: name.to_owned(),
                incarnation,
                zone: zone.to_owned(),
                rpc,
                config: 0,
                version: None,
                reports: BTreeMap::new(),
                demand: (0..3)
                    .map(|server| (super::server_name(server), 2))
                    .collect(),
                stopping: false,
            },
            controls,
        };
        Host {
            state,
            _server: handle,
            renewing: tokio::spawn(renewer.run()),
        }
    }

    /// Returns the server whose writes this host may acknowledge, if any.
    pub fn primary(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let key = state.directory.services.find(SERVICE)?;
        match state.holder.leader(key, Boot.now()) {
            Leader::Open { primary, .. } => Some(state.directory.servers.name(primary)?.to_owned()),
            _ => None,
        }
    }

    /// Acknowledges a write at `log` in the open term. Returns `None` if the host may not.
    pub fn acknowledge(&self, log: u64) -> Option<Position> {
        let mut state = self.state.lock().unwrap();
        let key: ServiceKey = state.directory.services.find(SERVICE)?;
        let Leader::Open { term, .. } = state.holder.leader(key, Boot.now()) else {
            return None;
        };
        let position = Position { term, log };
        match state.holder.acknowledge(key, term, position, Boot.now()) {
            Acknowledge::Done => Some(position),
            Acknowledge::Unknown => None,
        }
    }

    /// Makes the host report `servers`, and no others, as unreachable.
    pub fn set_unreachable(&self, servers: &[&str]) {
        let names = servers.iter().map(|name| (*name).to_owned());
        self.state.lock().unwrap().unreachable = names.collect();
    }

    pub fn allotment(&self) -> BTreeMap<String, u16> {
        self.state.lock().unwrap().allotment.clone()
    }

    /// Returns the connections that the host may keep beyond its lease, by server.
    pub fn floors(&self) -> BTreeMap<String, u16> {
        self.state.lock().unwrap().floors.clone()
    }

    /// Reports whether the last grant asked the host to drain.
    pub fn is_drained(&self) -> bool {
        self.state.lock().unwrap().drained
    }

    pub fn config(&self) -> u64 {
        self.state.lock().unwrap().config
    }

    pub fn leaving(&self) -> BTreeSet<String> {
        self.state.lock().unwrap().leaving.clone()
    }
}

struct Renewer {
    state: Arc<Mutex<State>>,
    renewal: Renewal,
    controls: Vec<SocketAddr>,
}

impl Renewer {
    async fn run(mut self) {
        let mut index = 0;
        loop {
            let address = self.controls[index % self.controls.len()];
            if !self.renew(address).await {
                index += 1;
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
            tokio::time::sleep(timing::RENEWAL_INTERVAL / 2).await;
        }
    }

    async fn renew(&mut self, address: SocketAddr) -> bool {
        let ticket = self.prepare();
        let token = Token::new(TOKEN);
        let timeout = Duration::from_millis(500);
        let client = remote::client(&address.to_string(), &token, timeout).unwrap();
        let Ok(mut replies) = client.renew(vec![self.renewal.clone()]).await else {
            return false;
        };
        match replies.pop() {
            Some(Reply::Granted(grant)) => self.take(ticket, grant),
            Some(Reply::Refused(refusal)) => {
                let mut state = self.state.lock().unwrap();
                state.config = state.config.max(refusal.config);
                false
            }
            None => false,
        }
    }

    fn prepare(&mut self) -> lease::Ticket {
        let mut state = self.state.lock().unwrap();
        self.renewal.version = state.holder.version(0).map(Into::into);
        let down = Report {
            failures: 3,
            broken: 3,
            ..Report::default()
        };
        let unreachable = state.unreachable.iter();
        self.renewal.reports = unreachable
            .map(|name| (name.clone(), down.clone()))
            .collect();
        self.renewal.config = state.config;
        state.holder.renewal_sent(0, Boot.now())
    }

    fn take(&self, ticket: lease::Ticket, grant: Grant) -> bool {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let view = grant.view.as_ref();
        note_leaving(&mut state.leaving, view);
        let view = view.map(|view| view.decode(&mut state.directory).unwrap());
        let valid = Duration::from_millis(grant.valid_ms);
        let version = grant.version.into();
        let granted = state
            .holder
            .on_granted(ticket, version, valid, view, Boot.now());
        state.drained = grant.drain;
        state.allotment = grant.allotment;
        let floors = grant.floors.into_iter();
        state.floors = floors
            .map(|(name, floor)| (name, floor.connections))
            .collect();
        state.config = state.config.max(grant.config);
        matches!(granted, lease::Granted::Until(_))
    }
}

fn note_leaving(leaving: &mut BTreeSet<String>, view: Option<&flamingopost_wire::view::Shard>) {
    if let Some(service) = view.and_then(|view| view.services.get(SERVICE)) {
        leaving.clone_from(&service.leaving);
    }
}

struct Remote(Arc<Mutex<State>>);

#[async_trait]
impl EntryServer for Remote {
    async fn close(&self, close: Close) -> RpcResult<Closed> {
        let mut state = self.0.lock().unwrap();
        let state = &mut *state;
        let view = close.view.decode(&mut state.directory).unwrap();
        let acknowledged = state.holder.close(close.shard, view);
        let named = acknowledged.into_iter().map(|(key, position)| {
            let name = state.directory.services.name(key).unwrap();
            (name.to_owned(), position.to_string())
        });
        Ok(Closed {
            incarnation: state.holder.incarnation(),
            version: state.holder.version(close.shard).unwrap().into(),
            acknowledged: named.collect(),
            config: state.config,
        })
    }

    async fn view(&self, close: Close) -> RpcResult<u64> {
        let mut state = self.0.lock().unwrap();
        let state = &mut *state;
        note_leaving(&mut state.leaving, Some(&close.view));
        let view = close.view.decode(&mut state.directory).unwrap();
        state.holder.adopt(close.shard, view);
        state.config = state.config.max(close.config);
        Ok(state.config)
    }

    async fn knowledge(&self, _: u64) -> RpcResult<Knowledge> {
        Ok(Knowledge::default())
    }
}
