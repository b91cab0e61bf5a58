//! Asks other control processes what they know: versions spread with the platform gone.

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

/// How often peers are asked while the platform answers: the head row tells of versions then, and
/// this only keeps known who is there.
const INTERVAL: Duration = Duration::from_secs(2);

/// The same while it does not.
const OUTAGE_INTERVAL: Duration = Duration::from_secs(1);

/// How many are asked each time. Who knows of a version at least doubles with each round, so all of
/// a fleet of 480 do after ten.
const FANOUT: usize = 2;

/// Asks all peers of the settings once, then some at random until the process stops.
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
