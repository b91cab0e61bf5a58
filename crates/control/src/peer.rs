//! Addresses of other processes and connections to them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_daemon::remote::{self, Client};
use flamingopost_daemon::token::Token;
use flamingopost_wire::knowledge::Process;
use jsonrpsee::core::ClientError;

/// Timeout of a call to another process.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of cached clients: the entry hosts of a fleet, and some more.
const MAX_CLIENTS: usize = 1_024;

/// Connections to other processes, by the address of their remote calls.
#[derive(Debug)]
pub struct Links {
    zone: String,
    token: Token,
    clients: Mutex<BTreeMap<String, Client>>,
}

impl Links {
    /// Creates an empty cache of connections from availability zone `zone`. The fleet's processes
    /// authenticate to each other with the operators' `token`.
    pub fn new(zone: &str, token: Token) -> Links {
        Links {
            zone: zone.to_owned(),
            token,
            clients: Mutex::default(),
        }
    }

    /// Returns a client for the process at `address`, without sending anything.
    ///
    /// # Errors
    /// The address is not valid.
    pub fn get(&self, address: &str) -> Result<Client, ClientError> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = remote::client_in_zone(&self.zone, address, &self.token, CALL_TIMEOUT)?;
        // Hundreds of hosts are replaced each day, so their addresses would accumulate.
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }
}

/// Known control processes, by the address of their remote calls.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<BTreeMap<String, Peer>>,
}

/// A known control process.
#[derive(Debug, Clone, Default)]
pub struct Peer {
    /// Host name, if the process answered or a row or another process named it.
    pub host: Option<String>,
    /// Identity that the process reported, `None` until it has answered.
    pub process: Option<Process>,
    /// Time of the process's last answer.
    pub last_answer: Option<Duration>,
    /// Time at which a row or another process last mentioned the process.
    pub last_mention: Option<Duration>,
    /// Whether the settings name the process, so that it never expires.
    pub configured: bool,
}

/// Time after which a process that has neither answered nor been mentioned is removed. Hundreds of
/// hosts are replaced each day, and their successors have other addresses.
const PEER_EXPIRY: Duration = Duration::from_secs(600);

impl Peers {
    /// Adds `address`, which the settings name, permanently.
    pub fn add_configured(&self, address: &str) {
        let mut known = lock(&self.known);
        known.entry(address.to_owned()).or_default().configured = true;
    }

    /// Records an answer of the process at `address`.
    pub fn record_answer(&self, address: &str, process: Option<Process>, now: Duration) {
        let mut known = lock(&self.known);
        let peer = known.entry(address.to_owned()).or_default();
        peer.host = process.as_ref().map(|process| process.host.clone());
        peer.process = process;
        peer.last_answer = Some(now);
    }

    /// Records that a row or another process gave `address` as that of `host`.
    pub fn record_mention(&self, host: &str, address: &str, now: Duration) {
        let mut known = lock(&self.known);
        let peer = known.entry(address.to_owned()).or_default();
        peer.host.get_or_insert_with(|| host.to_owned());
        peer.last_mention = Some(now);
    }

    /// Removes processes that have neither answered nor been mentioned within `PEER_EXPIRY`.
    pub fn remove_expired(&self, now: Duration) {
        lock(&self.known).retain(|_, peer| {
            let last = peer.last_answer.max(peer.last_mention).unwrap_or_default();
            peer.configured || now < last + PEER_EXPIRY
        });
    }

    /// Returns the address of `host` that answered last, or else one that was only mentioned.
    pub fn rpc_of(&self, host: &str) -> Option<String> {
        let known = lock(&self.known);
        let of_host = known
            .iter()
            .filter(|(_, peer)| peer.host.as_deref() == Some(host));
        let latest = of_host.max_by_key(|(_, peer)| peer.last_answer);
        latest.map(|(address, _)| address.clone())
    }

    /// Returns all known processes.
    pub fn all(&self) -> BTreeMap<String, Peer> {
        lock(&self.known).clone()
    }

    /// Returns the processes that have answered since `since`.
    pub fn answered_since(&self, since: Duration) -> Vec<Process> {
        let known = lock(&self.known);
        known
            .values()
            .filter(|peer| peer.last_answer.is_some_and(|at| at >= since))
            .filter_map(|peer| peer.process.clone())
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
