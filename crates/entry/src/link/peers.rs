//! Connections to control processes, and which of them are known.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_daemon::remote::{self, Client};
use flamingopost_daemon::token::Token;
use flamingopost_wire::knowledge::Knowledge;
use flamingopost_wire::rpc::ControlClient as _;
use jsonrpsee::core::ClientError;
use rand::seq::IndexedRandom as _;

/// How long one call may take. Several fit into a lease, so that one lost answer costs nothing.
pub const CALL: Duration = Duration::from_millis(600);

/// Control processes kept in mind at most, and connections kept open.
const KEPT: usize = 64;

/// Control processes that can be asked.
#[derive(Debug)]
pub struct Peers {
    zone: String,
    token: Token,
    clients: Mutex<BTreeMap<String, Client>>,
    known: Mutex<BTreeSet<String>>,
    lasting: BTreeSet<String>,
}

impl Peers {
    /// Starts with those of the settings, which are never forgotten; `zone` is the host's, `token`
    /// the operators'.
    pub fn new(settings: impl IntoIterator<Item = String>, zone: &str, token: Token) -> Peers {
        let lasting: BTreeSet<String> = settings.into_iter().collect();
        Peers {
            zone: zone.to_owned(),
            token,
            clients: Mutex::default(),
            known: Mutex::new(lasting.clone()),
            lasting,
        }
    }

    /// A client for `address`.
    ///
    /// # Errors
    /// When the address cannot be one.
    pub fn client(&self, address: &str) -> Result<Client, ClientError> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        // Hosts are replaced all day; connections to those that are gone must not pile up.
        if clients.len() >= KEPT {
            clients.clear();
        }
        let client = remote::client_in_zone(&self.zone, address, &self.token, CALL)?;
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Makes `address` known, while there is room.
    pub fn add(&self, address: &str) {
        let mut known = lock(&self.known);
        if known.len() < KEPT && !address.is_empty() && !known.contains(address) {
            known.insert(address.to_owned());
        }
    }

    /// Forgets `address`, which did not answer, unless it is of the settings. It comes back when
    /// others still name it.
    pub fn forget(&self, address: &str) {
        if !self.lasting.contains(address) {
            lock(&self.known).remove(address);
        }
    }

    /// All that are known.
    pub fn all(&self) -> Vec<String> {
        lock(&self.known).iter().cloned().collect()
    }

    /// One of them at random: asked in the same order by all hosts, the first would be swamped
    /// whenever the platform goes silent.
    pub fn any(&self) -> Option<String> {
        self.all().choose(&mut rand::rng()).cloned()
    }

    /// Asks `address` what it knows; `version` is the configuration in force here.
    ///
    /// # Errors
    /// When no answer came in time.
    pub async fn ask(&self, address: &str, version: u64) -> Result<Knowledge, ClientError> {
        self.client(address)?.knowledge(version).await
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
