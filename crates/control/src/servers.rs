//! Connections to backend servers, one per server, kept while this process controls their shard.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::promotion::OrderOutcome;
use flamingopost_core::term::Term;
use flamingopost_platform::group::{Client, Error, Status};

/// Connections reserved on each server for a controller and its successor, which may be connected
/// at the same time. Hosts share the rest of the server's limit.
pub const RESERVED_CONNECTIONS: u16 = 2;

/// The address of a server and the service to which it belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Address of the server.
    pub address: SocketAddr,
    /// The service whose replication group contains the server.
    pub service: String,
}

/// Connections by server.
#[derive(Debug)]
pub struct Servers {
    links: Mutex<BTreeMap<ServerKey, Arc<Link>>>,
    /// Name under which this process connects, `ZONE/HOST`.
    name: Arc<str>,
}

#[derive(Debug)]
struct Link {
    name: Arc<str>,
    address: Address,
    timeout: Duration,
    client: tokio::sync::Mutex<Option<Client>>,
}

impl Servers {
    /// Creates an empty set of servers. `name` identifies this process to them, as `ZONE/HOST`.
    pub fn new(name: &str) -> Servers {
        Servers {
            links: Mutex::default(),
            name: name.into(),
        }
    }

    /// Sets the servers. Closes connections to removed servers and to previous addresses.
    pub fn configure(&self, servers: &BTreeMap<ServerKey, Address>, timeout: Duration) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|key, link| servers.get(key) == Some(&link.address));
        for (key, address) in servers {
            links.entry(*key).or_insert_with(|| {
                Arc::new(Link {
                    name: self.name.clone(),
                    address: address.clone(),
                    timeout,
                    client: tokio::sync::Mutex::new(None),
                })
            });
        }
    }

    /// Closes all connections when this process no longer controls the shard.
    pub fn close(&self) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for link in links.values_mut() {
            *link = Arc::new(Link {
                name: self.name.clone(),
                address: link.address.clone(),
                timeout: link.timeout,
                client: tokio::sync::Mutex::new(None),
            });
        }
    }

    /// Queries the status of a server. Returns `None` if the server does not answer or another
    /// request to it is in flight.
    pub async fn status(&self, server: ServerKey) -> Option<Status> {
        let link = self.link(server)?;
        // A paused server holds each request until its timeout, so further requests would queue up.
        let mut client = link.client.try_lock().ok()?;
        let connected = link.connected(&mut client).await.ok()?;
        match connected.status().await {
            Ok(status) => Some(status),
            Err(_) => {
                *client = None;
                None
            }
        }
    }

    /// Promotes a server to primary of `term`, if its position is `at_least` or later.
    pub async fn promote(&self, server: ServerKey, term: Term, at_least: Position) -> OrderOutcome {
        let Some(link) = self.link(server) else {
            return OrderOutcome::Refused;
        };
        let mut client = link.client.lock().await;
        let Ok(connected) = link.connected(&mut client).await else {
            return OrderOutcome::Unknown;
        };
        let ordered = connected.promote(term, Some(at_least)).await;
        discard_broken(&mut client, &ordered);
        match ordered {
            Ok(()) => OrderOutcome::Done,
            Err(Error::Refused(_)) => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    /// Makes a server follow `primary`. A lost request is repeated after the server's next status.
    pub async fn follow(&self, server: ServerKey, primary: ServerKey, term: Term) {
        let (Some(link), Some(leader)) = (self.link(server), self.link(primary)) else {
            return;
        };
        let mut client = link.client.lock().await;
        let Ok(connected) = link.connected(&mut client).await else {
            return;
        };
        let ordered = connected.follow(leader.address.address, term).await;
        discard_broken(&mut client, &ordered);
    }

    fn link(&self, server: ServerKey) -> Option<Arc<Link>> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(&server).cloned()
    }
}

impl Link {
    async fn connected<'a>(&self, client: &'a mut Option<Client>) -> Result<&'a Client, Error> {
        if client.as_ref().is_some_and(Client::is_closed) {
            *client = None;
        }
        let connected = match client.take() {
            Some(connected) => connected,
            None => {
                let Address { address, service } = &self.address;
                Client::connect(*address, service, &self.name, self.timeout).await?
            }
        };
        Ok(client.insert(connected))
    }
}

/// Drops a connection after an error other than a refusal. After a timeout the answer may still
/// arrive and must not be taken for the answer to the next request.
fn discard_broken(client: &mut Option<Client>, ordered: &Result<(), Error>) {
    if matches!(ordered, Err(error) if !matches!(error, Error::Refused(_))) {
        *client = None;
    }
}
