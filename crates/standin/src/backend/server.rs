//! A stand-in database server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flamingopost_core::position::Position;
use flamingopost_daemon::event::Event as _;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::error::GroupError;
use super::fault::Faults;
use super::session;
use super::shared::Shared;
use crate::admin;
use crate::event::Event;

/// How a server is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name, for messages and to tell it apart in its group.
    pub name: String,
    /// Its availability zone, the name by which the others of its group know it in a cut.
    pub zone: String,
    /// The database it serves.
    pub service: String,
    /// Where it listens for the PostgreSQL protocol; port 0 takes any.
    pub listen: SocketAddr,
    /// Where it listens for faults by command, if it does; port 0 takes any.
    pub admin: Option<SocketAddr>,
    /// Statements that run at once; 0 for no limit.
    pub slots: u16,
    /// Connections that it accepts.
    pub connections: u16,
    /// What a new connection takes.
    pub connect_cost: Duration,
    /// What a statement takes on top of the engine's work.
    pub statement_cost: Duration,
    /// Faults that it has from its start.
    pub faults: Faults,
}

impl Settings {
    /// A server of `service` without costs, on free loopback ports.
    ///
    /// ```
    /// use flamingopost_standin::backend::Settings;
    ///
    /// let settings = Settings::new("auction-1", "auction-ledger");
    /// assert!(settings.listen.ip().is_loopback());
    /// ```
    pub fn new(name: &str, service: &str) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            name: name.to_owned(),
            zone: String::new(),
            service: service.to_owned(),
            listen: any,
            admin: None,
            slots: 0,
            connections: 100,
            connect_cost: Duration::ZERO,
            statement_cost: Duration::ZERO,
            faults: Faults::default(),
        }
    }

    pub(crate) fn peer_name(&self) -> &str {
        if self.zone.is_empty() {
            &self.name
        } else {
            &self.zone
        }
    }
}

/// Why a server did not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen or keep data: {0}
    Io(io::Error),
    /// the SQL engine does not start: {0}
    Engine(rusqlite::Error),
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> StartError {
        StartError::Io(error)
    }
}

impl From<rusqlite::Error> for StartError {
    fn from(error: rusqlite::Error) -> StartError {
        StartError::Engine(error)
    }
}

/// What a server has done, for checks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Its name.
    pub name: String,
    /// Its term, `EPOCH.COUNT`.
    pub term: String,
    /// `primary` or `replica`.
    pub role: String,
    /// Its position, `EPOCH.COUNT/LOG`.
    pub position: String,
    /// Log entries that it has applied.
    pub entries: u64,
    /// Statements that it has run since its start.
    pub statements: u64,
    /// Connections open now that count against its limit.
    pub connections: usize,
}

/// A running server. Dropping it stops it.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    admin: Option<admin::Listener>,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Starts a server on the current runtime. It is a replica until it is promoted.
    ///
    /// # Errors
    /// An address that is taken, or no room for its data.
    pub async fn start(settings: Settings) -> Result<Server, StartError> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let admin_address = settings.admin;
        let shared = Arc::new(Shared::new(settings)?);
        let (bound, ready) = oneshot::channel();
        let accepting = tokio::spawn(accept(Arc::clone(&shared), listener, address, bound));
        // The other end is only dropped with the task, which runs until it is aborted.
        let _ = ready.await;
        let admin = admin_address
            .map(|address| admin::backend(Arc::clone(&shared), address))
            .transpose()?;
        Ok(Server {
            shared,
            address,
            admin,
            accepting,
        })
    }

    /// Where it listens for the PostgreSQL protocol.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it listens for faults by command, if it does.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(admin::Listener::address)
    }

    /// How it is set up.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    pub(crate) fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Its faults.
    pub fn faults(&self) -> Faults {
        self.shared.switch.get()
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&self.shared, faults);
    }

    /// What it has done.
    pub fn summary(&self) -> Summary {
        summary(&self.shared)
    }

    /// Makes it lead `term` from here on, as `group_promote` does.
    ///
    /// # Errors
    /// It knows a term at or above it.
    pub fn promote(&self, term: i64) -> Result<(), PromoteError> {
        self.shared.promote(term, None).map_err(PromoteError)
    }

    /// Its position.
    pub fn position(&self) -> Position {
        self.shared.state().position()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
        self.shared.stop_following();
        self.shared.registry.break_all(None);
    }
}

/// a promotion is refused: {0}
#[derive(Debug, displaydoc::Display)]
pub struct PromoteError(GroupError);

impl std::error::Error for PromoteError {}

/// Puts faults in force. A dead server loses its connections.
pub(crate) fn set_faults(shared: &Shared, faults: Faults) {
    let dies = faults.dead;
    Event::Faults {
        server: shared.settings.name.clone(),
        faults: format!("{faults:?}"),
    }
    .log();
    shared.switch.set(faults);
    if dies {
        shared.registry.break_all(None);
    }
}

pub(crate) fn summary(shared: &Shared) -> Summary {
    let connections = shared.registry.counted();
    let state = shared.state();
    let term = flamingopost_core::term::Term::from_number(state.term_number());
    Summary {
        name: shared.settings.name.clone(),
        term: term.to_string(),
        role: state.role.name().to_owned(),
        position: state.position().to_string(),
        entries: state.log.last(),
        statements: shared.statements.load(Ordering::Relaxed),
        connections,
    }
}

/// Accepts connections; a dead server has no listener, so that new ones are refused.
async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    address: SocketAddr,
    bound: oneshot::Sender<()>,
) {
    let mut faults = shared.switch.subscribe();
    let mut listener = Some(listener);
    let _ = bound.send(());
    loop {
        let dead = faults.borrow_and_update().dead;
        listener = match (dead, listener.take()) {
            (true, _) => None,
            (false, Some(listener)) => Some(listener),
            (false, None) => TcpListener::bind(address).await.ok(),
        };
        tokio::select! {
            changed = faults.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            socket = next(listener.as_ref()) => serve(&shared, socket),
            // The port of a revived server may be free only after a moment.
            () = tokio::time::sleep(REBIND), if listener.is_none() && !dead => {}
        }
    }
}

const REBIND: Duration = Duration::from_millis(20);

async fn next(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => std::future::pending().await,
    }
}

fn serve(shared: &Arc<Shared>, socket: io::Result<TcpStream>) {
    let Ok(socket) = socket else {
        return;
    };
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let mut faults = shared.switch.subscribe();
        let session = session::serve(Arc::clone(&shared), socket);
        // A connection that has not come as far as to be registered dies with the process too.
        tokio::select! {
            _ = session => {}
            _ = faults.wait_for(|faults| faults.dead) => {}
        }
    });
}
