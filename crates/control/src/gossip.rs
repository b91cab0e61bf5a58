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

/// How often peers are asked.
const INTERVAL: Duration = Duration::from_secs(1);

/// How many are asked each time. A version known to one process is known to all of a fleet of
/// 480 after ten rounds at most, since each round at least doubles who knows it.
const FANOUT: usize = 3;

/// Asks all peers of the settings once, then some at random until the process stops.
pub async fn run(shared: Arc<Shared>, spread: Handle) {
    let first: Vec<String> = shared.peers().all().into_keys().collect();
    let asked = first.iter().map(|address| ask(&shared, address));
    for answer in join_all(asked).await {
        spread.tell(Event::Asked(answer.map(Box::new)));
    }
    while shared.stop().phase() != Phase::Stopped {
        tokio::time::sleep(jittered(INTERVAL)).await;
        let chosen = choose(&shared);
        let asked = chosen.iter().map(|address| ask(&shared, address));
        for knowledge in join_all(asked).await.into_iter().flatten() {
            spread.tell(Event::Told(Box::new(knowledge)));
        }
    }
}

fn choose(shared: &Shared) -> Vec<String> {
    let known: Vec<String> = shared.peers().all().into_keys().collect();
    known.sample(&mut rand::rng(), FANOUT).cloned().collect()
}

async fn ask(shared: &Shared, address: &str) -> Option<Knowledge> {
    let client = shared.links().get(address).ok()?;
    let version = shared.config().map_or(0, |config| config.version);
    let knowledge = client.knowledge(version).await.ok()?;
    learn(shared, address, &knowledge);
    Some(knowledge)
}

fn learn(shared: &Shared, address: &str, knowledge: &Knowledge) {
    let process = knowledge.process.clone();
    shared.peers().answered(address, process, shared.now());
    for (host, address) in &knowledge.peers {
        shared.learn_host(host, address);
    }
    for (shard, controller) in &knowledge.controllers {
        shared.lead_at(*shard, controller.epoch, &controller.rpc);
    }
}
