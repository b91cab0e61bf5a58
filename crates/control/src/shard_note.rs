//! Logs the notes of a shard's state machine as events of the catalogue.

use flamingopost_core::key::{ServerKey, ServiceKey};
use flamingopost_core::leadership::Note;
use flamingopost_daemon::event::Event as _;

use crate::event::Event;
use crate::shard::Shard;

/// Logs `note` as an event and records promotion times in the metrics.
pub(crate) fn log(shard: &Shard, note: Note) {
    let number = shard.number;
    match note {
        Note::Claimed { epoch } => Event::Claimed {
            shard: number,
            epoch,
        }
        .log(),
        Note::Settled { epoch } => Event::Settled {
            shard: number,
            epoch,
        }
        .log(),
        Note::Replaced { epoch } => Event::Replaced {
            shard: number,
            epoch,
        }
        .log(),
        Note::Promoting { service, reason } => Event::Promoting {
            service: service_name(shard, service),
            reason: format!("{reason:?}"),
        }
        .log(),
        Note::Opened {
            service,
            term,
            primary,
            took,
        } => {
            metrics::histogram!("flamingopost_promotion_seconds").record(took.as_secs_f64());
            Event::Opened {
                service: service_name(shard, service),
                term: term.to_string(),
                primary: server_name(shard, primary),
                millis: took.as_millis(),
            }
            .log();
        }
        Note::Lost { service, loss } => {
            let acknowledged = loss.acknowledged;
            Event::Lost {
                service: service_name(shard, service),
                term: loss.opened.to_string(),
                start: loss.start,
                acknowledged: acknowledged.map_or_else(|| "unknown".to_owned(), |p| p.to_string()),
            }
            .log();
        }
    }
}

fn service_name(shard: &Shard, key: ServiceKey) -> String {
    let directory = shard.shared.directory();
    directory.services.name(key).unwrap_or_default().to_owned()
}

fn server_name(shard: &Shard, key: ServerKey) -> String {
    let directory = shard.shared.directory();
    directory.servers.name(key).unwrap_or_default().to_owned()
}
