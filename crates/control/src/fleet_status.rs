//! Gathers the state of the whole fleet from the controllers of all shards.

use std::collections::BTreeMap;

use flamingopost_wire::rpc::ControlClient as _;
use flamingopost_wire::status::{Host, Ordered, Status};
use futures::future::join_all;

use crate::shard_message::{GetStatus, SwitchOver};
use crate::shards::Shards;
use crate::shared::Shared;

/// Merges the states reported by the controllers of all shards. Shards whose controller does not
/// answer are missing.
pub async fn gather(shared: &Shared, shards: &Shards) -> Status {
    let mut status = local(shards).await;
    let own = &shared.process().rpc;
    let mut others: Vec<String> = shared
        .controllers()
        .into_values()
        .map(|controller| controller.rpc)
        .filter(|rpc| rpc != own)
        .collect();
    others.sort();
    others.dedup();
    let answers = others.iter().map(|rpc| remote(shared, rpc));
    for answer in join_all(answers).await.into_iter().flatten() {
        merge(&mut status, answer);
    }
    sort(&mut status);
    status
}

/// Returns the state of the shards that this process leads.
pub async fn local(shards: &Shards) -> Status {
    let mut status = Status::default();
    for actor in shards.all() {
        if let Ok(Some(report)) = actor.send(GetStatus).await {
            merge(&mut status, report);
        }
    }
    status
}

/// Requests a planned promotion from the controller of `service`. Returns `None` if no controller
/// answers.
pub async fn switch_over(shared: &Shared, shards: &Shards, service: &str) -> Option<Ordered> {
    let Some(number) = shard_of(shared, service) else {
        return shared.is_current().then_some(Ordered::NoSuchService);
    };
    if let Some(actor) = shards.get(number)
        && let Ok(ordered) = actor.send(SwitchOver(service.to_owned())).await
        && ordered != Ordered::NoSuchService
    {
        return Some(ordered);
    }
    let controller = shared.controllers().remove(&number)?;
    if controller.rpc == shared.process().rpc {
        return None;
    }
    let client = shared.links().get(&controller.rpc).ok()?;
    client.order(service.to_owned()).await.ok()
}

/// Returns the shard of `service`, or `None` if the configuration has no such service.
pub fn shard_of(shared: &Shared, service: &str) -> Option<u16> {
    let key = shared.directory().services.find(service)?;
    let config = shared.config()?;
    Some(config.fleet.services.get(&key)?.shard)
}

async fn remote(shared: &Shared, rpc: &str) -> Option<Status> {
    let client = shared.links().get(rpc).ok()?;
    client.status().await.ok()
}

fn merge(status: &mut Status, other: Status) {
    status.services.extend(other.services);
    status.controllers.extend(other.controllers);
    status.hosts.extend(other.hosts);
}

/// Merges the entries of each host into one and sorts the status. A host has a lease on each shard;
/// the one that ends first is shown.
fn sort(status: &mut Status) {
    let mut hosts: BTreeMap<(String, u64), Host> = BTreeMap::new();
    for host in status.hosts.drain(..) {
        let key = (host.host.clone(), host.incarnation);
        match hosts.get_mut(&key) {
            None => {
                hosts.insert(key, host);
            }
            Some(known) => {
                known.lease_left_ms = known.lease_left_ms.min(host.lease_left_ms);
                known.connections += host.connections;
                known.config = known.config.max(host.config);
            }
        }
    }
    status.hosts = hosts.into_values().collect();
    status.services.sort_by(|a, b| a.service.cmp(&b.service));
    status
        .controllers
        .sort_by_key(|controller| controller.shard);
}
