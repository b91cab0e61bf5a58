//! Other processes: their addresses and connections to them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_daemon::remote::{self, Client};
use flamingopost_daemon::token::Token;
use flamingopost_wire::knowledge::Process;
use jsonrpsee::core::ClientError;

/// How long a call to another process may take.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections kept at most; a fleet's entry hosts and some.
const KEPT: usize = 1_024;

/// Connections to other processes, by the address of their remote calls.
#[derive(Debug)]
pub struct Links {
    zone: String,
    token: Token,
    clients: Mutex<BTreeMap<String, Client>>,
}

impl Links {
    /// No connections yet, from availability zone `zone`; the fleet's processes know each other
    /// by the operators' `token`.
    pub fn new(zone: &str, token: Token) -> Links {
        Links {
            zone: zone.to_owned(),
            token,
            clients: Mutex::default(),
        }
    }

    /// A client for the process at `address`; nothing is sent yet.
    ///
    /// # Errors
    /// The address is not one that can be connected to.
    pub fn get(&self, address: &str) -> Result<Client, ClientError> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = remote::client_in_zone(&self.zone, address, &self.token, CALL_TIMEOUT)?;
        // Hosts are replaced by the hundred a day; their addresses would pile up.
        if clients.len() >= KEPT {
            clients.clear();
        }
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }
}

/// Control processes that this one knows, by the address of their remote calls.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<BTreeMap<String, Peer>>,
}

/// What is known of a control process.
#[derive(Debug, Clone, Default)]
pub struct Peer {
    /// Its host, where a row or another process told it.
    pub host: Option<String>,
    /// Who it says it is; absent until it has answered.
    pub process: Option<Process>,
    /// When it last answered.
    pub heard: Option<Duration>,
    /// When a row or another process last told of it.
    pub told: Option<Duration>,
    /// Whether the settings name it.
    pub fixed: bool,
}

/// For how long a process that neither answers nor is told of is remembered. Hundreds of hosts are
/// replaced a day, and their successors have other addresses.
const REMEMBERED: Duration = Duration::from_secs(600);

impl Peers {
    /// Makes `address`, which the settings name, known for good.
    pub fn fix(&self, address: &str) {
        let mut known = lock(&self.known);
        known.entry(address.to_owned()).or_default().fixed = true;
    }

    /// The process at `address` has answered at `now`.
    pub fn answered(&self, address: &str, process: Option<Process>, now: Duration) {
        let mut known = lock(&self.known);
        let peer = known.entry(address.to_owned()).or_default();
        peer.host = process.as_ref().map(|process| process.host.clone());
        peer.process = process;
        peer.heard = Some(now);
    }

    /// Somebody told at `now` that `host` is reached at `address`.
    pub fn told(&self, host: &str, address: &str, now: Duration) {
        let mut known = lock(&self.known);
        let peer = known.entry(address.to_owned()).or_default();
        peer.host.get_or_insert_with(|| host.to_owned());
        peer.told = Some(now);
    }

    /// Forgets processes that have neither answered nor been told of for long.
    pub fn forget(&self, now: Duration) {
        lock(&self.known).retain(|_, peer| {
            let last = peer.heard.max(peer.told).unwrap_or_default();
            peer.fixed || now < last + REMEMBERED
        });
    }

    /// Where `host` is reached: the address that answered last, else one that somebody told.
    pub fn rpc_of(&self, host: &str) -> Option<String> {
        let known = lock(&self.known);
        let of_host = known
            .iter()
            .filter(|(_, peer)| peer.host.as_deref() == Some(host));
        let latest = of_host.max_by_key(|(_, peer)| peer.heard);
        latest.map(|(address, _)| address.clone())
    }

    /// All that are known.
    pub fn all(&self) -> BTreeMap<String, Peer> {
        lock(&self.known).clone()
    }

    /// Those that have answered since `since`.
    pub fn heard_since(&self, since: Duration) -> Vec<Process> {
        let known = lock(&self.known);
        known
            .values()
            .filter(|peer| peer.heard.is_some_and(|heard| heard >= since))
            .filter_map(|peer| peer.process.clone())
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
