//! Operators' HTTP under `/v1`: configuration, history, status, drains, planned promotions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix_web::web::{self, Data, Json, Path, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use flamingopost_core::config;
use flamingopost_core::digest::Digest;
use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::submission::{Outcome, Record};
use flamingopost_daemon::event::Event as _;
use flamingopost_platform::head::{self, HEAD_KEY, Head};
use flamingopost_platform::table::Table as _;
use flamingopost_wire::status::{Claim, Claimed, Ordered};
use flamingopost_wire::submission::{self as wire, Stored};
use serde::{Deserialize, Serialize};

use crate::drain;
use crate::event::Event as Log;
use crate::fleet_status;
use crate::shard_message;
use crate::shards::Shards;
use crate::shared::Shared;
use crate::spread::{self, Handle};
use crate::submit;

/// File name under which problems of a submitted configuration are reported.
const FILE: &str = "configuration";

/// Dependencies of the routes.
#[derive(Clone)]
pub struct Operators {
    /// The process's shared state.
    pub shared: Arc<Shared>,
    /// The process's shards.
    pub shards: Shards,
    /// Receives accepted versions immediately.
    pub spread: Handle,
}

/// Reasons why a request other than a submission failed.
#[derive(Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Failure {
    /// The named object does not exist.
    NotFound,
    /// The current state of the service does not allow the operation.
    Refused { reason: Ordered },
    /// The platform or the controller is unreachable; nothing was done.
    Unavailable,
    /// The platform did not answer; the operation may have been carried out.
    Unknown,
}

/// Returns a function that registers the routes.
pub fn routes(operators: Operators) -> impl Fn(&mut ServiceConfig) + Clone + Send + 'static {
    move |config: &mut ServiceConfig| {
        config
            .app_data(Data::new(operators.clone()))
            .route("/config", web::get().to(newest))
            .route("/config", web::post().to(post))
            .route("/config/{version}", web::get().to(version))
            .route("/history", web::get().to(history))
            .route("/status", web::get().to(status))
            .route("/drain", web::post().to(drain))
            .route("/drain", web::delete().to(undrain))
            .route("/promote", web::post().to(promote))
            .route("/claim", web::post().to(claim));
    }
}

async fn newest(operators: Data<Operators>) -> HttpResponse {
    let shared = &operators.shared;
    match shared.platform().read(HEAD_KEY).await {
        Ok(Some(row)) => match Head::decode(&row.body) {
            Ok(head) => with_body(shared, head).await,
            Err(_) => unavailable(),
        },
        Ok(None) => fail(Failure::NotFound),
        // While the platform is unreachable, the version in force is the newest one available.
        Err(_) => in_force(shared),
    }
}

async fn version(operators: Data<Operators>, version: Path<u64>) -> HttpResponse {
    let shared = &operators.shared;
    let key = head::history_key(*version);
    match shared.platform().read(&key).await {
        Ok(Some(row)) => match Head::decode(&row.body) {
            Ok(head) => with_body(shared, head).await,
            Err(_) => unavailable(),
        },
        Ok(None) => fail(Failure::NotFound),
        Err(_) => match shared.config() {
            Some(config) if config.version == *version => in_force(shared),
            _ => unavailable(),
        },
    }
}

async fn with_body(shared: &Shared, head: Head) -> HttpResponse {
    let Ok(digest) = head.digest.parse() else {
        return unavailable();
    };
    let body = match shared.config() {
        Some(config) if config.digest == digest => Some(config.body.to_string()),
        _ => fetch(shared, digest).await,
    };
    match body {
        None => unavailable(),
        Some(body) => HttpResponse::Ok().json(Stored {
            version: head.version,
            digest: head.digest,
            body,
            submitted_by: head.operator,
            submission: head.submission,
        }),
    }
}

async fn fetch(shared: &Shared, digest: Digest) -> Option<String> {
    let body = head::fetch_body(shared.platform(), digest).await.ok()??;
    let whole = Digest::of(&body) == digest;
    whole.then(|| String::from_utf8(body).ok()).flatten()
}

fn in_force(shared: &Shared) -> HttpResponse {
    match shared.config() {
        None => unavailable(),
        Some(config) => HttpResponse::Ok().json(Stored {
            version: config.version,
            digest: config.digest.to_string(),
            body: config.body.to_string(),
            submitted_by: String::new(),
            submission: String::new(),
        }),
    }
}

async fn history(operators: Data<Operators>) -> HttpResponse {
    let shared = &operators.shared;
    let newest = match shared.platform().read(HEAD_KEY).await {
        Ok(Some(row)) => Head::decode(&row.body).map_or(0, |head| head.version),
        Ok(None) => 0,
        Err(_) => return unavailable(),
    };
    let mut entries = BTreeMap::new();
    // The page of the newest version and the previous page hold at least the last 100 versions, so
    // two reads suffice regardless of the length of the history.
    let pages = [newest.saturating_sub(100), newest].map(head::history_page_prefix);
    for page in pages {
        let Ok(rows) = shared.platform().list(&page).await else {
            return unavailable();
        };
        let heads = rows.iter().filter_map(|row| Head::decode(&row.body).ok());
        entries.extend(heads.map(|head| (head.version, history_entry(head))));
    }
    let newest_first: Vec<wire::Record> = entries.into_values().rev().collect();
    HttpResponse::Ok().json(newest_first)
}

async fn post(operators: Data<Operators>, submission: Json<wire::Submission>) -> HttpResponse {
    let submission = submission.into_inner();
    let shared = &operators.shared;
    // The number of shards must not change, and it is only known once a configuration is in force.
    if submission.base > 0 && shared.config().is_none() {
        return refuse(wire::Refused::Unavailable);
    }
    let problems = problems(shared, &submission.body);
    if !problems.is_empty() {
        return refuse(wire::Refused::Invalid { problems });
    }
    let record = Record {
        // Saturates at the greatest version, which has no record and is therefore refused below.
        version: submission.base.saturating_add(1),
        digest: Digest::of(submission.body.as_bytes()),
        submission: submission.submission,
        operator: submission.operator,
    };
    let body = &submission.body;
    let outcome = submit::run(shared.platform(), shared.clock(), record.clone(), body).await;
    Log::Submitted {
        operator: record.operator.clone(),
        version: record.version,
        outcome: format!("{outcome:?}"),
    }
    .log();
    if outcome == Outcome::Accepted {
        // Adopted here immediately; other processes learn the version from later messages.
        let head = Head::new(&record, Duration::ZERO);
        operators.spread.send(spread::Event::Head(Some(head)));
    }
    answer(outcome, record.version)
}

/// Returns all problems of `body`. Parses it with a separate directory, so that names of a refused
/// configuration are not interned.
fn problems(shared: &Shared, body: &str) -> Vec<wire::Problem> {
    match config::parse(FILE, body, &mut Directory::default()) {
        Err(report) => wire::Problem::all(&report),
        Ok(fleet) => changed_shard_count(shared, &fleet, body)
            .into_iter()
            .collect(),
    }
}

/// Returns a problem if the number of shards differs from that in force. Changing the number moves
/// services to other controllers. For a while both the old and the new controller would claim a
/// service and could open two terms of it.
fn changed_shard_count(shared: &Shared, fleet: &Fleet, body: &str) -> Option<wire::Problem> {
    let current = shared.config()?.fleet.shards;
    if fleet.shards == current {
        return None;
    }
    let line = body.lines().position(|line| {
        let key = line.split('=').next().unwrap_or_default();
        key.trim() == "shards"
    });
    Some(wire::Problem {
        file: FILE.to_owned(),
        line: line.map_or(1, |index| index + 1),
        what: format!("the number of shards cannot be changed from {current}"),
        fix: format!("write `shards = {current}`"),
    })
}

fn answer(outcome: Outcome, version: u64) -> HttpResponse {
    match outcome {
        Outcome::Accepted => HttpResponse::Ok().json(wire::Accepted { version }),
        Outcome::Conflict(winner) => refuse(wire::Refused::Conflict {
            winner: wire::Winner {
                version: winner.version,
                operator: winner.operator,
                submission: winner.submission,
            },
        }),
        Outcome::NoSuchBase { newest } => refuse(wire::Refused::Invalid {
            problems: vec![wire::Problem {
                file: FILE.to_owned(),
                line: 0,
                what: format!("there is no version {} to start from", version - 1),
                fix: format!("start from version {newest}, the newest"),
            }],
        }),
        Outcome::Unavailable => refuse(wire::Refused::Unavailable),
        Outcome::Unknown => refuse(wire::Refused::Unknown),
    }
}

fn refuse(refused: wire::Refused) -> HttpResponse {
    let mut response = match &refused {
        wire::Refused::Conflict { .. } => HttpResponse::Conflict(),
        wire::Refused::Invalid { .. } => HttpResponse::UnprocessableEntity(),
        wire::Refused::Unavailable | wire::Refused::Unknown => HttpResponse::ServiceUnavailable(),
    };
    response.json(refused)
}

async fn status(operators: Data<Operators>) -> impl Responder {
    Json(fleet_status::gather(&operators.shared, &operators.shards).await)
}

async fn drain(operators: Data<Operators>, order: Json<wire::Drain>) -> HttpResponse {
    change_drain(&operators, &order, drain::Action::Drain).await
}

async fn undrain(operators: Data<Operators>, order: Json<wire::Drain>) -> HttpResponse {
    change_drain(&operators, &order, drain::Action::Undo).await
}

async fn change_drain(
    operators: &Operators,
    order: &wire::Drain,
    action: drain::Action,
) -> HttpResponse {
    match drain::run(&operators.shared, &operators.shards, order, action).await {
        Ok(drain) => HttpResponse::Ok().json(drain),
        Err(drain::Error::NoSuchName) => fail(Failure::NotFound),
        Err(drain::Error::Unavailable) => fail(Failure::Unavailable),
        Err(drain::Error::Unknown) => fail(Failure::Unknown),
    }
}

#[derive(Debug, Deserialize)]
struct Promote {
    service: String,
}

async fn promote(operators: Data<Operators>, order: Json<Promote>) -> HttpResponse {
    match fleet_status::switch_over(&operators.shared, &operators.shards, &order.service).await {
        Some(Ordered::Begun) => HttpResponse::Accepted().json(Ordered::Begun),
        Some(Ordered::NoSuchService) => fail(Failure::NotFound),
        Some(reason) => fail(Failure::Refused { reason }),
        None => unavailable(),
    }
}

async fn claim(operators: Data<Operators>, order: Json<Claim>) -> HttpResponse {
    let claimed = match operators.shards.get(order.shard) {
        None => Claimed::NoSuchShard,
        Some(actor) => {
            let claim = shard_message::Claim(order.gone.clone());
            actor.send(claim).await.unwrap_or(Claimed::NoSuchShard)
        }
    };
    let mut response = match claimed {
        Claimed::Begun => HttpResponse::Accepted(),
        Claimed::Leads => HttpResponse::Ok(),
        Claimed::NoSuchShard => HttpResponse::NotFound(),
        Claimed::Named { .. } => HttpResponse::Conflict(),
    };
    response.json(claimed)
}

fn unavailable() -> HttpResponse {
    fail(Failure::Unavailable)
}

fn fail(failure: Failure) -> HttpResponse {
    let mut response = match &failure {
        Failure::Refused { .. } => HttpResponse::Conflict(),
        Failure::Unavailable | Failure::Unknown => HttpResponse::ServiceUnavailable(),
        Failure::NotFound => HttpResponse::NotFound(),
    };
    response.json(failure)
}

fn history_entry(head: Head) -> wire::Record {
    wire::Record {
        version: head.version,
        digest: head.digest,
        submission: head.submission,
        operator: head.operator,
        at: Some(head.at_ms / 1_000),
    }
}
