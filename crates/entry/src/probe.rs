//! Probes: how far each server's data reach and how old they may be, where traffic does not tell.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::route::server::Freshness;
use flamingopost_core::session::state::State;
use flamingopost_core::term::Term;
use flamingopost_daemon::event::Event as _;

use crate::context::Context;
use crate::event::Event;
use crate::pool;
use crate::service::{Service, Way};

/// Time between two probes of a server whose service is in use.
const BUSY: Duration = Duration::from_millis(100);
/// Time between two probes of a server whose service nobody uses.
const QUIET: Duration = Duration::from_secs(1);
/// A service counts as used this long after its last request.
const USED: Duration = Duration::from_secs(5);
/// Time in which a probe has to be answered.
const LIMIT: Duration = Duration::from_secs(1);

const STATUS: &str = "SELECT * FROM group_status()";
const TERM_COLUMN: usize = 0;
const AGE_COLUMN: usize = 4;

/// Servers that a probe is under way to: a slow server gets one at a time.
type Asked = Arc<Mutex<BTreeSet<ServerKey>>>;

/// Probes the servers of all services until the host has stopped.
pub async fn run(context: Arc<Context>) {
    let stop = context.shared.stop().clone();
    let asked = Asked::default();
    let mut ticks = tokio::time::interval(BUSY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let every = QUIET.as_millis() / BUSY.as_millis();
    let mut tick: u128 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.stopped() => return,
        }
        let now = context.shared.now();
        for (place, service) in context.services().into_iter().enumerate() {
            // Services nobody uses are spread over the ticks, so that a thousand of them do not
            // all come at once.
            let turn = place as u128 + tick;
            if tick.is_multiple_of(every) {
                judge(&context, &service);
            }
            if service.unused(now) < USED || turn.is_multiple_of(every) {
                probe_service(&service, &asked);
            }
        }
        tick += 1;
    }
}

/// Sets replicas aside that are slow against their peers, and takes them back.
fn judge(context: &Context, service: &Service) {
    for (server, standing) in service.judge() {
        let directory = context.shared.directory();
        let server = directory
            .servers
            .name(server)
            .unwrap_or_default()
            .to_owned();
        let standing = format!("{standing:?}").to_lowercase();
        let service = service.name.clone();
        Event::Judged {
            service,
            server,
            standing,
        }
        .log();
    }
}

fn probe_service(service: &Arc<Service>, asked: &Asked) {
    for (server, way) in service.ways() {
        way.pool.trim();
        service.want(server, &way);
        if lock(asked).insert(server) {
            let (service, asked) = (Arc::clone(service), Arc::clone(asked));
            tokio::spawn(async move {
                let answered = tokio::time::timeout(LIMIT, probe(&service, &way));
                if answered.await.is_err() {
                    service.failed(server);
                }
                lock(&asked).remove(&server);
            });
        }
    }
}

async fn probe(service: &Service, way: &Way) {
    let mut lent = match way.pool.lend(&State::default(), LIMIT / 2).await {
        Ok(lent) => lent,
        Err(pool::Error::Connect(error)) => {
            return service.stumbled(way.pool.server(), &error);
        }
        // All connections are in use: the answers on them tell what a probe would.
        Err(pool::Error::Late) => return,
    };
    let sent = service.now();
    match lent.back().ask(STATUS).await {
        Ok(row) => {
            service.heard(lent.back(), fresh(&row), sent);
            lent.give_back();
        }
        Err(error) => service.stumbled(way.pool.server(), &error),
    }
}

fn fresh(row: &[Option<String>]) -> Option<Freshness> {
    let number = |column: usize| row.get(column)?.as_ref()?.parse::<i64>().ok();
    let age = u64::try_from(number(AGE_COLUMN)?).ok()?;
    Some(Freshness {
        term: Term::from_number(number(TERM_COLUMN)?),
        age: Duration::from_millis(age),
    })
}

fn lock(asked: &Asked) -> std::sync::MutexGuard<'_, BTreeSet<ServerKey>> {
    asked.lock().unwrap_or_else(PoisonError::into_inner)
}
