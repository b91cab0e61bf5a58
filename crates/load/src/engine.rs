//! Plays a plan: prepares tables, runs sessions and faults, and reads what is left at the end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flamingopost_daemon::event::Event as _;
use tokio_postgres::{Config, SimpleQueryMessage};

use crate::caller::Caller;
use crate::error::Error;
use crate::event::Event;
use crate::fault::{self, Fault, Injected};
use crate::field::{Field, Recent};
use crate::history::{Final, History};
use crate::plan::Plan;
use crate::progress::Progress;
use crate::session::Session;
use crate::template::{Fill, Template};

/// Time for one connection or one statement outside the load.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time within which the tables have to be prepared, or read at the end.
const BOUND: Duration = Duration::from_secs(20);
/// Pause before that is tried again.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for what is still on its way when arrivals end. An operation whose outcome is unknown may
/// take effect that late; the final reading must not come before.
const SETTLE: Duration = Duration::from_secs(2);

/// How a run reaches the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Through entry hosts.
    Product,
    /// To the primary directly, with neither leases nor budgets, connecting again when it breaks.
    Naive,
}

/// What a run gave.
#[derive(Debug)]
pub struct Played {
    /// Everything that happened.
    pub history: History,
    /// Faults that were injected.
    pub faults: Vec<Injected>,
    /// Name of the run.
    pub run: String,
}

/// Decodes the connection URLs of a plan.
pub fn configs(urls: &[String]) -> Result<Vec<Config>, Error> {
    urls.iter()
        .map(|url| {
            url.parse().map_err(|source| Error::Url {
                url: url.clone(),
                source,
            })
        })
        .collect()
}

/// A name that no other run against the same deployment has.
pub fn name(way: Way) -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let letter = match way {
        Way::Product => 'p',
        Way::Naive => 'n',
    };
    format!("{letter}{:x}", since.as_millis())
}

/// Plays `plan` and reads the final tables.
pub async fn play(plan: &Plan, way: Way) -> Result<Played, Error> {
    let urls = match way {
        Way::Product => &plan.targets,
        Way::Naive => &plan.baseline,
    };
    let targets = configs(urls)?;
    prepare(plan, &targets, way).await?;
    let run = name(way);
    let field = Arc::new(Field {
        first_register: first_register(),
        plan: plan.clone(),
        targets,
        start: Instant::now(),
        run: run.clone(),
        naive: way == Way::Naive,
        recent: Recent::default(),
        progress: Progress::default(),
    });
    Event::RunStarted {
        run: run.clone(),
        rate: plan.rate,
        sessions: plan.sessions,
        seconds: plan.duration.as_secs(),
    }
    .log();
    let (mut history, faults) = arrivals(&field, faults(plan, way)).await;
    Event::RunEnded {
        run: run.clone(),
        requests: history.operations.len(),
    }
    .log();
    tokio::time::sleep(SETTLE).await;
    history.finals = finals(&field).await?;
    Ok(Played {
        history,
        faults,
        run,
    })
}

fn faults(plan: &Plan, way: Way) -> Vec<Fault> {
    match way {
        Way::Product => plan.faults.clone(),
        Way::Naive => plan.faults.iter().filter_map(Fault::for_baseline).collect(),
    }
}

async fn arrivals(field: &Arc<Field>, faults: Vec<Fault>) -> (History, Vec<Injected>) {
    let progress = {
        let field = Arc::clone(field);
        tokio::spawn(async move { Progress::report(&field).await })
    };
    let faults = tokio::spawn(fault::inject(faults, field.start + field.plan.warm_up));
    let sessions: Vec<_> = (0..field.plan.sessions)
        .map(|number| tokio::spawn(Session::new(Arc::clone(field), number).run()))
        .collect();
    let mut history = History::default();
    for session in sessions {
        match session.await {
            Ok(operations) => history.operations.extend(operations),
            // A history with holes proves nothing: the defect of the tool ends it.
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }
    progress.abort();
    let faults = faults.await.unwrap_or_default();
    history
        .operations
        .sort_by_key(|operation| operation.start_us);
    (history, faults)
}

/// Registers of earlier runs keep their last values, so each run takes others.
fn first_register() -> i64 {
    const RANGE: i64 = 1 << 20;
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as i64 * RANGE / 1000 % (RANGE << 20)
}

/// The targets with the database `service`; the servers of the baseline have one only.
fn named(targets: &[Config], service: Option<&str>, way: Way) -> Vec<Config> {
    let mut targets = targets.to_vec();
    if let (Some(service), Way::Product) = (service, way) {
        for target in &mut targets {
            target.dbname(service);
        }
    }
    targets
}

async fn prepare(plan: &Plan, targets: &[Config], way: Way) -> Result<(), Error> {
    for statement in &plan.setup {
        let targets = named(targets, statement.service.as_deref(), way);
        let done = anywhere(&targets, &statement.sql).await;
        done.map_err(|reason| Error::Prepare {
            statement: statement.sql.clone(),
            reason,
        })?;
    }
    Ok(())
}

/// Lists the keys that took effect, as the primary has them.
async fn finals(field: &Field) -> Result<Option<Vec<Final>>, Error> {
    if field.plan.finals.is_empty() {
        return Ok(None);
    }
    let targets = if field.naive {
        primary(&field.targets).await
    } else {
        field.targets.clone()
    };
    let mut all = Vec::new();
    let way = if field.naive {
        Way::Naive
    } else {
        Way::Product
    };
    for (list, statement) in field.plan.finals.iter().enumerate() {
        let targets = named(&targets, statement.service.as_deref(), way);
        all.extend(read_final(field, &targets, list, &statement.sql).await?);
    }
    Ok(Some(all))
}

async fn read_final(
    field: &Field,
    targets: &[Config],
    list: usize,
    template: &Template,
) -> Result<Vec<Final>, Error> {
    let fill = Fill {
        run: field.run.clone(),
        ..Fill::default()
    };
    let statement = template.text(&fill);
    let rows = match anywhere(targets, &statement).await {
        Ok(rows) => rows,
        Err(reason) => return Err(Error::Final { statement, reason }),
    };
    let mut counts = BTreeMap::<String, u64>::new();
    for row in &rows {
        if let SimpleQueryMessage::Row(row) = row
            && let Some(key) = row.get(0)
        {
            *counts.entry(key.to_owned()).or_default() += 1;
        }
    }
    let finals = counts.into_iter();
    Ok(finals
        .map(|(key, count)| Final { list, key, count })
        .collect())
}

/// The backend server that leads the highest term. A replaced primary that has not noticed still
/// calls itself one; what it holds is not what the service holds.
async fn primary(servers: &[Config]) -> Vec<Config> {
    let mut best: Option<(i64, &Config)> = None;
    for server in servers {
        let status = tokio::time::timeout(PATIENCE, once(server, "SELECT * FROM group_status()"));
        let Ok(Ok(rows)) = status.await else {
            continue;
        };
        let row = rows.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        let Some(row) = row.filter(|row| row.get("role") == Some("primary")) else {
            continue;
        };
        let term = row
            .get("term")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if best.is_none_or(|(known, _)| term > known) {
            best = Some((term, server));
        }
    }
    best.map(|(_, server)| server.clone()).into_iter().collect()
}

/// Runs `sql` through the first target that answers it, for as long as [`BOUND`] allows.
async fn anywhere(targets: &[Config], sql: &str) -> Result<Vec<SimpleQueryMessage>, String> {
    let end = Instant::now() + BOUND;
    let mut reason = "no server to ask".to_owned();
    while Instant::now() < end {
        for target in targets {
            match tokio::time::timeout(PATIENCE, in_transaction(target, sql)).await {
                Ok(Ok(rows)) => return Ok(rows),
                Ok(Err(error)) => reason = told(&error),
                Err(_) => reason = "no answer".to_owned(),
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(reason)
}

fn told(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(answer) => format!("{} {}", answer.code().code(), answer.message()),
        None => error.to_string(),
    }
}

/// Runs `sql` in a transaction that may write, which only a primary takes.
async fn in_transaction(
    target: &Config,
    sql: &str,
) -> Result<Vec<SimpleQueryMessage>, tokio_postgres::Error> {
    let mut caller = Caller::connect(target, None, PATIENCE).await?;
    caller.simple("BEGIN").await?;
    let rows = caller.simple(sql).await?;
    caller.simple("COMMIT").await?;
    Ok(rows)
}

async fn once(
    target: &Config,
    sql: &str,
) -> Result<Vec<SimpleQueryMessage>, tokio_postgres::Error> {
    let mut caller = Caller::connect(target, None, PATIENCE).await?;
    caller.simple(sql).await
}
