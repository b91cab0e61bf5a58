//! What all sessions of a run share.

use std::sync::Mutex;
use std::time::Instant;

use tokio_postgres::Config;

use crate::class::Class;
use crate::plan::Plan;
use crate::progress::Progress;

/// What all sessions of a run share.
#[derive(Debug)]
pub struct Field {
    /// The plan.
    pub plan: Plan,
    /// Where to connect.
    pub targets: Vec<Config>,
    /// Start of arrivals.
    pub start: Instant,
    /// Name of the run, unique among runs against one deployment.
    pub run: String,
    /// Number of the run's first register.
    pub first_register: i64,
    /// Whether sessions go to backend servers directly, as the naive baseline does.
    pub naive: bool,
    /// Keys of transactions that started lately.
    pub recent: Recent,
    /// Counts for the progress line.
    pub progress: Progress,
}

impl Field {
    /// Time since the start of arrivals in µs.
    pub fn micros(&self) -> i64 {
        self.start.elapsed().as_micros() as i64
    }

    /// Where requests of `class` go when their session is at `target`. The servers of the baseline
    /// have one database, whatever services the classes name.
    pub fn config(&self, target: usize, class: &Class) -> Config {
        let mut config = self.targets[target].clone();
        if let (Some(service), false) = (&class.service, self.naive) {
            config.dbname(service);
        }
        config
    }

    /// The service that requests of `class` go to.
    pub fn service(&self, class: &Class) -> String {
        let own = || self.targets[0].get_dbname().unwrap_or_default().to_owned();
        match &class.service {
            Some(service) if !self.naive => service.clone(),
            _ => own(),
        }
    }

    /// Where session `number` starts: sessions spread over the entry hosts, while the baseline
    /// looks for the primary from the first server on.
    pub fn first_target(&self, number: u32) -> usize {
        if self.naive {
            0
        } else {
            number as usize % self.targets.len()
        }
    }

    /// Chance that a session moves before a request.
    pub fn roam(&self) -> f64 {
        if self.naive {
            0.0
        } else {
            self.plan.roam.clamp(0.0, 1.0)
        }
    }
}

const RECENT: usize = 8;

/// The last keys of transactions, for readers to look at while they run.
#[derive(Debug, Default)]
pub struct Recent {
    keys: Mutex<Vec<String>>,
}

impl Recent {
    /// Adds a key, in place of an old one when there are many.
    pub fn push(&self, key: &str) {
        let mut keys = self.lock();
        if keys.len() == RECENT {
            keys.remove(0);
        }
        keys.push(key.to_owned());
    }

    /// One of the last keys, or an empty text before the first.
    pub fn pick(&self, draw: u64) -> String {
        let keys = self.lock();
        match keys.len() {
            0 => String::new(),
            count => keys[(draw % count as u64) as usize].clone(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        // A panic elsewhere leaves the list whole: each change is one call.
        self.keys
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
