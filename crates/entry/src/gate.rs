//! Admission before one backend server: decisions of `core::admission`, carried to waiting tasks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_core::admission::ticket::Ticket;
use flamingopost_core::admission::{self, Admission, Completion};
use flamingopost_core::clock::Clock;
use flamingopost_core::key::{ClassKey, CustomerKey};
use flamingopost_core::refusal::Refusal;
use tokio::sync::oneshot;

/// Who asks to be let through.
#[derive(Debug, Clone, Copy)]
pub struct Asker {
    /// Class of the request.
    pub class: ClassKey,
    /// Weight of the class.
    pub weight: u32,
    /// Who pays.
    pub customer: CustomerKey,
    /// The customer's weight.
    pub share: u32,
    /// When the request has to be answered.
    pub deadline: Duration,
}

/// Whether a waiting request may go.
type Verdict = Result<(), Refusal>;

/// The gate of one server.
pub struct Gate {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

struct Inner {
    gate: admission::Gate,
    waiting: BTreeMap<u64, oneshot::Sender<Verdict>>,
    last: u64,
}

/// The right to have one statement run on the server; given back when dropped.
pub struct Pass {
    gate: Arc<Gate>,
    id: u64,
    end: Completion,
}

/// A request in the queue; leaves it when dropped.
struct Place<'a> {
    gate: &'a Gate,
    id: u64,
    left: bool,
}

impl Gate {
    /// The gate of a server that runs `slots` statements at once.
    pub fn new(clock: Arc<dyn Clock>, slots: u16) -> Gate {
        let inner = Inner {
            gate: admission::Gate::new(slots),
            waiting: BTreeMap::new(),
            last: 0,
        };
        Gate {
            clock,
            inner: Mutex::new(inner),
        }
    }

    /// Waits until `asker` may run.
    ///
    /// # Errors
    /// It would not be answered in time, or heavier requests go first.
    pub async fn enter(self: &Arc<Gate>, asker: Asker) -> Result<Pass, Refusal> {
        let (id, verdict) = self.arrive(asker);
        let receiver = match verdict {
            Ok(verdict) => {
                verdict?;
                return Ok(self.pass(id));
            }
            Err(receiver) => receiver,
        };
        let place = Place {
            gate: self,
            id,
            left: false,
        };
        place.wait(receiver, asker.deadline).await?;
        Ok(self.pass(id))
    }

    /// Lets a statement of an open transaction through at once.
    pub fn resume(self: &Arc<Gate>, class: ClassKey) -> Pass {
        let now = self.clock.now();
        let mut inner = self.lock();
        let id = inner.number();
        inner.gate.start_now(id, class, now);
        drop(inner);
        self.pass(id)
    }

    /// Connections there is use for now.
    pub fn demand(&self) -> u16 {
        self.lock().gate.demand()
    }

    /// The host may have so many connections to the server: no more requests run at once.
    pub fn allow(&self, connections: u16) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let next = inner.gate.set_connections(connections, now);
        inner.tell_all(next);
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.lock().gate.waiting()
    }

    /// The request's number and its verdict, or where the verdict will come.
    fn arrive(&self, asker: Asker) -> (u64, Result<Verdict, oneshot::Receiver<Verdict>>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let id = inner.number();
        let ticket = Ticket {
            id,
            class: asker.class,
            weight: asker.weight,
            customer: asker.customer,
            share: asker.share,
            deadline: asker.deadline,
        };
        let next = inner.gate.arrive(ticket, now);
        let mut own = None;
        for step in next {
            let (target, verdict) = split(step);
            if target == id {
                own = Some(verdict);
            } else {
                inner.tell(target, verdict);
            }
        }
        if let Some(verdict) = own {
            return (id, Ok(verdict));
        }
        let (sender, receiver) = oneshot::channel();
        inner.waiting.insert(id, sender);
        (id, Err(receiver))
    }

    /// Requests that run, and how many may at the moment.
    pub fn load(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.gate.running(), inner.gate.slots())
    }

    fn due(&self) -> Option<Duration> {
        self.lock().gate.deadline()
    }

    fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let next = inner.gate.tick(now);
        inner.tell_all(next);
    }

    fn pass(self: &Arc<Gate>, id: u64) -> Pass {
        Pass {
            gate: Arc::clone(self),
            id,
            end: Completion::Failed,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    fn tell_all(&mut self, next: Vec<Admission>) {
        for step in next {
            let (id, verdict) = split(step);
            self.tell(id, verdict);
        }
    }

    fn tell(&mut self, id: u64, verdict: Verdict) {
        if let Some(sender) = self.waiting.remove(&id) {
            // A receiver that is gone takes its place out itself, see `Place`.
            let _ = sender.send(verdict);
        }
    }
}

fn split(step: Admission) -> (u64, Verdict) {
    match step {
        Admission::Start(id) => (id, Ok(())),
        Admission::Refuse(id, refusal) => (id, Err(refusal)),
    }
}

impl Place<'_> {
    async fn wait(
        mut self,
        mut receiver: oneshot::Receiver<Verdict>,
        deadline: Duration,
    ) -> Verdict {
        loop {
            // Admission gives a request up while there is still time to tell; a server that
            // hangs brings no event that would let it say so.
            let due = self.gate.due().map_or(deadline, |due| due.min(deadline));
            let left = due.saturating_sub(self.gate.clock.now());
            let pause = left.max(Duration::from_millis(1));
            match tokio::time::timeout(pause, &mut receiver).await {
                Ok(verdict) => {
                    self.left = true;
                    return verdict.unwrap_or(Err(Refusal::HostStopping));
                }
                Err(_) => self.gate.tick(),
            }
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        // The caller went away. The request may have been started in this very moment, so both
        // ends are told: whichever does not know it ignores it.
        let now = self.gate.clock.now();
        let mut inner = self.gate.lock();
        inner.waiting.remove(&self.id);
        let mut next = inner.gate.abandon(self.id, now);
        next.extend(inner.gate.finish(self.id, Completion::Failed, now));
        inner.tell_all(next);
    }
}

impl Pass {
    /// The server answered, so the time taken says something about it.
    pub fn answered(mut self) {
        self.end = Completion::Answered;
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut inner = self.gate.lock();
        let next = inner.gate.finish(self.id, self.end, now);
        inner.tell_all(next);
    }
}
