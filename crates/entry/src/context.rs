//! What all sessions of a host share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flamingopost_core::key::ServiceKey;
use flamingopost_core::rule::Index;
use flamingopost_core::statement::{Cache, Statement};

use crate::account::Accounts;
use crate::cancel::Registry;
use crate::prepared::Catalog;
use crate::rates::Rates;
use crate::service::{Place, Service};
use crate::shared::Shared;

/// Query texts whose classification is remembered.
const CACHED_TEXTS: usize = 8192;

/// Shared by all sessions.
pub struct Context {
    /// Configuration, leases, clock.
    pub shared: Arc<Shared>,
    /// Cancel keys.
    pub cancels: Arc<Registry>,
    /// Numbers of prepared statements.
    pub catalog: Catalog,
    /// Rates of rules.
    pub rates: Rates,
    /// Metrics of requests.
    pub accounts: Accounts,
    /// Greatest message of a caller, in bytes.
    pub message_limit: usize,
    place: Place,
    services: Mutex<BTreeMap<ServiceKey, Arc<Service>>>,
    texts: Mutex<Cache>,
    rules: Mutex<Option<Rules>>,
}

/// The rules of one configuration version.
#[derive(Debug, Clone)]
pub struct Rules {
    /// The version.
    pub version: u64,
    /// The rules.
    pub index: Arc<Index>,
}

impl Context {
    /// The context of `host` in availability zone `zone`.
    pub fn new(shared: Arc<Shared>, host: &str, zone: &str, message_limit: usize) -> Context {
        let place = Place {
            zone: shared.intern(|directory| directory.zones.intern(zone)),
            peer: Arc::from(format!("{zone}/{host}")),
        };
        Context {
            shared,
            cancels: Arc::default(),
            catalog: Catalog::default(),
            rates: Rates::default(),
            accounts: Accounts::default(),
            message_limit,
            place,
            services: Mutex::default(),
            texts: Mutex::new(Cache::new(CACHED_TEXTS)),
            rules: Mutex::default(),
        }
    }

    /// The service behind `key`, made on first use.
    pub fn service(&self, key: ServiceKey) -> Arc<Service> {
        let mut services = lock(&self.services);
        let service = services.entry(key).or_insert_with(|| {
            let directory = self.shared.directory();
            let name = directory.services.name(key).unwrap_or_default().to_owned();
            let shared = Arc::clone(&self.shared);
            Arc::new(Service::new(key, name, self.place.clone(), shared))
        });
        Arc::clone(service)
    }

    /// Every service of the configuration in force.
    pub fn services(&self) -> Vec<Arc<Service>> {
        let Some(adopted) = self.shared.adopted() else {
            return Vec::new();
        };
        let keys = adopted.fleet.services.keys();
        keys.map(|key| self.service(*key)).collect()
    }

    /// What `sql` does.
    pub fn classify(&self, sql: &str) -> Statement {
        lock(&self.texts).classify(sql)
    }

    /// The rules in force; `None` before the first configuration.
    pub fn rules(&self) -> Option<Rules> {
        let adopted = self.shared.adopted()?;
        let mut rules = lock(&self.rules);
        if let Some(known) = rules.as_ref()
            && known.version == adopted.version
        {
            return Some(known.clone());
        }
        let fresh = Rules {
            version: adopted.version,
            index: Arc::new(Index::new(Arc::clone(&adopted.fleet))),
        };
        *rules = Some(fresh.clone());
        Some(fresh)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
