//! Queries other control processes, so that configuration versions spread without the platform.

use std::sync::Arc;
use std::time::Duration;

use flamingopost_daemon::stop::Phase;
use flamingopost_wire::knowledge::Knowledge;
use flamingopost_wire::rpc::ControlClient;
use futures::future::join_all;
use rand::seq::IndexedRandom;

use crate::poll::jittered;
use crate::shared::Shared;
use crate::spread::{Event, Handle};

/// Interval between queries while the platform answers. New versions then arrive by the head row,
/// and queries only keep the list of live processes current.
const INTERVAL: Duration = Duration::from_secs(2);

/// Interval between queries while the platform does not answer.
const OUTAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of peers queried in each round. The number of processes that know a version at least
/// doubles with each round, so all 480 of a fleet know it after ten rounds.
const FANOUT: usize = 2;

/// Queries all peers named in the settings once, then random peers until the process stops.
pub async fn run(shared: Arc<Shared>, spread: Handle) {
    let first: Vec<String> = shared.peers().all().into_keys().collect();
    let queries = first.iter().map(|address| query(&shared, address));
    for answer in join_all(queries).await {
        spread.send(Event::StartupAnswer(answer.map(Box::new)));
    }
    while shared.stop().phase() != Phase::Stopped {
        let interval = if shared.is_platform_silent() {
            OUTAGE_INTERVAL
        } else {
            INTERVAL
        };
        tokio::time::sleep(jittered(interval)).await;
        shared.peers().remove_expired(shared.now());
        let chosen = choose(&shared);
        let queries = chosen.iter().map(|address| query(&shared, address));
        for knowledge in join_all(queries).await.into_iter().flatten() {
            spread.send(Event::PeerAnswer(Box::new(knowledge)));
        }
    }
}

fn choose(shared: &Shared) -> Vec<String> {
    let known: Vec<String> = shared.peers().all().into_keys().collect();
    known.sample(&mut rand::rng(), FANOUT).cloned().collect()
}

async fn query(shared: &Shared, address: &str) -> Option<Knowledge> {
    let client = shared.links().get(address).ok()?;
    let version = shared.config().map_or(0, |config| config.version);
    let knowledge = client.knowledge(version).await.ok()?;
    record_knowledge(shared, address, &knowledge);
    Some(knowledge)
}

fn record_knowledge(shared: &Shared, address: &str, knowledge: &Knowledge) {
    let process = knowledge.process.clone();
    shared.peers().record_answer(address, process, shared.now());
    for (host, address) in &knowledge.peers {
        shared.record_host(host, address);
    }
    for (shard, controller) in &knowledge.controllers {
        shared.record_controller_address(*shard, controller.epoch, &controller.rpc);
    }
}
