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
const CALM: Duration = Duration::from_secs(2);

/// The same while it does not.
const ALONE: Duration = Duration::from_secs(1);

/// How many are asked each time. Who knows of a version at least doubles with each round, so all of
/// a fleet of 480 do after ten.
const FANOUT: usize = 2;

/// Asks all peers of the settings once, then some at random until the process stops.
pub async fn run(shared: Arc<Shared>, spread: Handle) {
    let first: Vec<String> = shared.peers().all().into_keys().collect();
    let asked = first.iter().map(|address| ask(&shared, address));
    for answer in join_all(asked).await {
        spread.tell(Event::Asked(answer.map(Box::new)));
    }
    while shared.stop().phase() != Phase::Stopped {
        let interval = if shared.is_silent() { ALONE } else { CALM };
        tokio::time::sleep(jittered(interval)).await;
        shared.peers().forget(shared.now());
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
