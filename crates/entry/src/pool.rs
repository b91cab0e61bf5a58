//! Connections of this host to one backend server, lent out for a transaction at a time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::key::ServerKey;
use flamingopost_core::session::state;
use tokio::sync::oneshot;

use crate::back::{self, Back};

/// Connections that are being opened to one server at once. More would spend the server's time on
/// log-ins exactly when it comes back and everybody wants it.
const OPENING_AT_ONCE: u16 = 2;

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// How many connections this host may have open to a server, asked anew at each opening.
pub trait Allotment: Send + Sync {
    /// The limit now.
    fn limit(&self, server: ServerKey) -> u16;
}

/// The pool of one server.
pub struct Pool {
    server: ServerKey,
    address: SocketAddr,
    service: String,
    peer: Arc<str>,
    allotment: Arc<dyn Allotment>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Back>,
    /// Every connection that exists: idle, lent and being opened.
    open: u16,
    opening: u16,
    waiters: VecDeque<oneshot::Sender<Offer>>,
}

/// What a waiter gets.
#[derive(Debug)]
enum Offer {
    /// A connection.
    Connection(Box<Back>),
    /// Room to open one.
    Room,
}

/// Why there is no connection.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Connect(back::Error),
    /// no connection came free in time
    Late,
}

impl std::error::Error for Error {}

/// How a request gets a connection where none is idle.
enum Next {
    Open,
    Wait(oneshot::Receiver<Offer>),
}

/// A connection lent to one session. Dropped without [`Lent::give_back`], it is closed: that is
/// what happens to a connection whose session vanished in the middle of something.
pub struct Lent {
    back: Option<Back>,
    pool: Arc<Pool>,
}

impl Pool {
    /// An empty pool of connections to `server` for database `service`, as `peer`.
    pub fn new(
        server: ServerKey,
        address: SocketAddr,
        service: String,
        peer: Arc<str>,
        allotment: Arc<dyn Allotment>,
    ) -> Pool {
        Pool {
            server,
            address,
            service,
            peer,
            allotment,
            state: Mutex::default(),
        }
    }

    /// The server.
    pub fn server(&self) -> ServerKey {
        self.server
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lends a connection within `wait`; where there is a choice, one that already carries what a
    /// session in `state` set.
    ///
    /// # Errors
    /// None came free in time, or none could be opened.
    pub async fn lend(
        self: &Arc<Pool>,
        state: &state::State,
        wait: Duration,
    ) -> Result<Lent, Error> {
        match self.next(state) {
            Ok(back) => Ok(self.lent(back)),
            Err(Next::Open) => self.open(wait).await,
            Err(Next::Wait(offer)) => self.wait(offer, wait).await,
        }
    }

    /// Lends a connection if one is idle, where nobody waits for it.
    pub fn lend_idle(self: &Arc<Pool>, session: &state::State) -> Option<Lent> {
        let mut state = self.lock();
        let back = state.pick(session)?;
        if back.stale() {
            state.open -= 1;
            return None;
        }
        drop(state);
        Some(self.lent(back))
    }

    async fn wait(
        self: &Arc<Pool>,
        mut offer: oneshot::Receiver<Offer>,
        wait: Duration,
    ) -> Result<Lent, Error> {
        let offered = match tokio::time::timeout(wait, &mut offer).await {
            Ok(offered) => offered.ok(),
            Err(_) => {
                // Between the timeout and here an offer may have been made; it must not be lost,
                // or the pool would count a connection that nobody can use.
                offer.close();
                offer.try_recv().ok()
            }
        };
        match offered {
            Some(Offer::Connection(back)) => Ok(self.lent(*back)),
            Some(Offer::Room) => self.open(wait).await,
            None => Err(Error::Late),
        }
    }

    /// Opens a connection in a slot already counted in `open` and `opening`.
    async fn open(self: &Arc<Pool>, wait: Duration) -> Result<Lent, Error> {
        let slot = Slot {
            pool: Arc::clone(self),
            filled: false,
        };
        let limit = CONNECT_LIMIT.min(wait.max(Duration::from_millis(1)));
        let back = Back::connect(self.server, self.address, &self.service, &self.peer, limit).await;
        match back {
            Ok(back) => Ok(slot.fill(back)),
            Err(error) => Err(Error::Connect(error)),
        }
    }

    fn next(&self, session: &state::State) -> Result<Back, Next> {
        let limit = self.limit();
        let mut state = self.lock();
        while let Some(back) = state.pick(session) {
            if !back.stale() {
                return Ok(back);
            }
            state.open -= 1;
        }
        if state.open < limit && state.opening < OPENING_AT_ONCE {
            state.count_opening(limit);
            return Err(Next::Open);
        }
        let (sender, receiver) = oneshot::channel();
        state.waiters.push_back(sender);
        Err(Next::Wait(receiver))
    }

    fn lent(self: &Arc<Pool>, back: Back) -> Lent {
        invariant::check(Invariant::MixedTransactions, back.clean(), || {
            format!("{back:?} lent in the middle of something")
        });
        Lent {
            back: Some(back),
            pool: Arc::clone(self),
        }
    }

    /// Takes a clean connection back, or one that has to be closed (`None`).
    fn put(&self, back: Option<Back>) {
        let limit = self.limit();
        let mut state = self.lock();
        match back {
            Some(back) if state.open <= limit => state.offer(back),
            // It is not clean, or the allotment shrank: it is closed here.
            _ => {
                state.open -= 1;
                state.offer_room(limit);
            }
        }
    }

    /// Closes idle connections past the allotment, and gives room to waiters where it grew.
    pub fn trim(&self) {
        let limit = self.limit();
        let mut state = self.lock();
        while state.open > limit && state.idle.pop().is_some() {
            state.open -= 1;
        }
        state.offer_room(limit);
    }

    /// Connections open, idle and requests waiting.
    pub fn counts(&self) -> Counts {
        let state = self.lock();
        Counts {
            open: state.open,
            idle: state.idle.len(),
            waiting: state.waiters.len(),
        }
    }

    fn limit(&self) -> u16 {
        self.allotment.limit(self.server)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a pool is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Connections open.
    pub open: u16,
    /// Of these, idle ones.
    pub idle: usize,
    /// Requests that wait for one.
    pub waiting: usize,
}

impl State {
    fn pick(&mut self, session: &state::State) -> Option<Back> {
        let fits = |back: &Back| session.replay(&back.carried).is_empty();
        match self.idle.iter().rposition(fits) {
            Some(place) => Some(self.idle.swap_remove(place)),
            None => self.idle.pop(),
        }
    }

    fn count_opening(&mut self, limit: u16) {
        self.open += 1;
        self.opening += 1;
        let open = self.open;
        invariant::check(Invariant::ConnectionLimit, open <= limit, || {
            format!("{open} connections where {limit} are allotted")
        });
    }

    fn offer(&mut self, back: Back) {
        let mut offer = Offer::Connection(Box::new(back));
        while let Some(waiter) = self.waiters.pop_front() {
            match waiter.send(offer) {
                Ok(()) => return,
                Err(refused) => offer = refused,
            }
        }
        if let Offer::Connection(back) = offer {
            self.idle.push(*back);
        }
    }

    fn offer_room(&mut self, limit: u16) {
        while self.open < limit && self.opening < OPENING_AT_ONCE {
            let Some(waiter) = self.waiters.pop_front() else {
                return;
            };
            if waiter.send(Offer::Room).is_ok() {
                self.count_opening(limit);
            }
        }
    }
}

/// A place counted in a pool while its connection is being opened.
struct Slot {
    pool: Arc<Pool>,
    filled: bool,
}

impl Slot {
    fn fill(mut self, back: Back) -> Lent {
        self.filled = true;
        let limit = self.pool.limit();
        let mut state = self.pool.lock();
        state.opening -= 1;
        state.offer_room(limit);
        drop(state);
        self.pool.lent(back)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.filled {
            return;
        }
        let limit = self.pool.limit();
        let mut state = self.pool.lock();
        state.opening -= 1;
        state.open -= 1;
        state.offer_room(limit);
    }
}

impl Lent {
    /// The connection.
    ///
    /// # Panics
    /// Never: it is there until the loan ends.
    pub fn back(&mut self) -> &mut Back {
        self.back.as_mut().expect("lent until given back")
    }

    /// The server behind it.
    pub fn server(&self) -> ServerKey {
        self.pool.server
    }

    /// Returns the connection for others to use; one that is not clean is closed instead.
    pub fn give_back(mut self) {
        let back = self.back.take().filter(Back::clean);
        self.pool.put(back);
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        if self.back.take().is_some() {
            self.pool.put(None);
        }
    }
}
