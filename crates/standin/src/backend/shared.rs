//! What the connections and the replication of one server share.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use flamingopost_daemon::event::Event as _;
use tokio::sync::{Semaphore, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::engine::{Engine, Store};
use super::error::{Error, GroupError};
use super::fault::Switch;
use super::log::Entry;
use super::registry::Registry;
use super::replica;
use super::server::Settings;
use super::state::{Promotion, Role, State};
use crate::event::Event;

/// One server.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) switch: Switch,
    pub(crate) registry: Registry,
    /// Held from a transaction's first write to its end, so there is one writer at a time.
    pub(crate) writer: Arc<tokio::sync::Mutex<()>>,
    pub(crate) slots: Option<Arc<Semaphore>>,
    /// Statements run since the start.
    pub(crate) statements: AtomicU64,
    /// Counts changes of the schema and rebuilds, which make what connections cached stale.
    pub(crate) generation: AtomicU64,
    state: Mutex<State>,
    changed: watch::Sender<()>,
    store: Mutex<Store>,
    /// Runs what comes from the primary; also keeps the database open.
    applier: Mutex<Engine>,
    follower: Mutex<Option<AbortHandle>>,
}

impl Shared {
    pub(crate) fn new(settings: Settings) -> Result<Shared, super::server::StartError> {
        let store = Store::new()?;
        let applier = Engine::open(&store.path(), &settings.service, 0)?;
        applier.create_schema()?;
        let slots = match settings.slots {
            0 => None,
            slots => Some(Arc::new(Semaphore::new(usize::from(slots)))),
        };
        Ok(Shared {
            switch: Switch::new(settings.faults.clone()),
            settings,
            registry: Registry::default(),
            writer: Arc::default(),
            slots,
            statements: AtomicU64::new(0),
            generation: AtomicU64::new(0),
            state: Mutex::new(State::new()),
            changed: watch::Sender::new(()),
            store: Mutex::new(store),
            applier: Mutex::new(applier),
            follower: Mutex::new(None),
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Opens a connection to the engine.
    pub(crate) fn engine(&self, pid: i32) -> Result<Engine, Error> {
        let path = lock(&self.store).path();
        Ok(Engine::open(&path, &self.settings.service, pid)?)
    }

    /// Whether `engine` is connected to data that a rebuild has replaced.
    pub(crate) fn is_moved(&self, engine: &Engine) -> bool {
        let path = lock(&self.store).path();
        engine.connection.path().map(Path::new) != Some(path.as_path())
    }

    /// Tells those who wait that the state has changed.
    pub(crate) fn notify(&self) {
        self.changed.send_replace(());
    }

    /// Waits until `holds`, or until `deadline`; tells whether it held.
    pub(crate) async fn wait(&self, deadline: Instant, holds: impl Fn(&State) -> bool) -> bool {
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if holds(&self.state()) {
                return true;
            }
            let change = tokio::time::timeout_at(deadline, changed.changed());
            if change.await.is_err() {
                return false;
            }
        }
    }

    pub(crate) fn promote(&self, term: i64, reach: Option<Position>) -> Result<(), GroupError> {
        let promotion = self.state().promote(term, reach)?;
        if promotion == Promotion::Taken {
            Event::Promoted {
                server: self.settings.name.clone(),
                term: Term::from_number(term).to_string(),
            }
            .log();
            self.stop_following();
            self.notify();
        }
        Ok(())
    }

    /// Begins to follow `primary`; connection `pid` asked for it.
    pub(crate) fn follow(
        self: &Arc<Self>,
        primary: SocketAddr,
        term: i64,
        pid: i32,
    ) -> Result<(), GroupError> {
        let already = {
            let state = self.state();
            state.primary == Some(primary) && state.term == Some(term)
        };
        if already {
            return Ok(());
        }
        let before = self.state().follow(primary, term)?;
        if before == Role::Primary {
            // An open transaction of the old term holds the writer's lock and could never commit.
            self.registry.break_all(Some(pid));
        }
        Event::Following {
            server: self.settings.name.clone(),
            term: Term::from_number(term).to_string(),
            primary,
        }
        .log();
        self.stop_following();
        let task = tokio::spawn(replica::follow(Arc::clone(self), primary, term));
        *lock(&self.follower) = Some(task.abort_handle());
        self.notify();
        Ok(())
    }

    pub(crate) fn stop_following(&self) {
        if let Some(task) = lock(&self.follower).take() {
            task.abort();
        }
    }

    /// Runs entries from the primary of `term`, for as long as this server follows it. The caller
    /// holds the writer's lock.
    pub(crate) fn apply(&self, term: i64, entries: Vec<Entry>) -> Result<(), Error> {
        let applier = lock(&self.applier);
        for entry in entries {
            let mut state = self.state();
            if state.role != Role::Replica || state.term != Some(term) {
                return Err(GroupError::NotLeading.into());
            }
            applier.apply(&entry)?;
            if changes_schema(&entry) {
                self.generation.fetch_add(1, Ordering::Release);
            }
            state.log.push(entry);
        }
        Ok(())
    }

    /// Cuts off what follows log position `last` and rebuilds the data without it. The caller
    /// holds the writer's lock.
    pub(crate) fn rewind(&self, last: u64) -> Result<(), Error> {
        self.state().rebuilding = true;
        let rebuilt = self.rebuild(last);
        self.state().rebuilding = false;
        rebuilt
    }

    fn rebuild(&self, last: u64) -> Result<(), Error> {
        let path = {
            let mut store = lock(&self.store);
            store.begin_anew();
            store.path()
        };
        let engine = Engine::open(&path, &self.settings.service, 0)?;
        engine.create_schema()?;
        let mut state = self.state();
        state.log.truncate(last);
        for entry in state.log.after(0, last as usize) {
            engine.apply(entry)?;
        }
        *lock(&self.applier) = engine;
        self.generation.fetch_add(1, Ordering::Release);
        Ok(())
    }
}

/// Whether an entry creates, alters or drops something.
pub(crate) fn changes_schema(entry: &Entry) -> bool {
    entry.statements.iter().any(|statement| {
        let verb = statement.sql.get(..4).unwrap_or_default();
        ["crea", "drop", "alte"].contains(&verb.to_lowercase().as_str())
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
