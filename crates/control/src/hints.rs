//! The platform's list of hosts and the operators' drains, for all shards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::{HostKey, ServerKey, ZoneKey};
use flamingopost_core::membership::Hint;
use flamingopost_daemon::stop::Phase;
use flamingopost_platform::hosts::{Host, List as _, State};

use crate::drain::{self, Drain};
use crate::poll::{Reader, jittered};
use crate::shard_message::Hinted;
use crate::shards::Shards;
use crate::shared::Shared;

/// How often drains are looked at; an order is in force well within three seconds.
const INTERVAL: Duration = Duration::from_millis(500);

/// How many of these turns pass between two reads of the list, which lags anyway.
const LIST_EVERY: u32 = 2;

/// What others say of hosts and servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hints {
    /// Hosts on the list that are no backend server's.
    pub hosts: BTreeMap<HostKey, Hint>,
    /// Zones in which the list has live hosts.
    pub zones: BTreeSet<ZoneKey>,
    /// Backend servers that the list calls leaving.
    pub leaving: BTreeSet<ServerKey>,
    /// Backend servers that operators have drained.
    pub drained: BTreeSet<ServerKey>,
    /// Entry hosts that operators have drained.
    pub ended: BTreeSet<HostKey>,
}

/// Tells all shards of changes until the process stops.
pub async fn run(shared: Arc<Shared>, reader: Reader, shards: Shards) {
    let mut hints = Hints::default();
    let mut turn = 0;
    while shared.stop().phase() != Phase::Stopped {
        // Only controllers have use for it: four hundred others need not ask.
        if shared.is_controller() {
            if turn % LIST_EVERY == 0
                && let Ok(list) = shared.platform().hosts().await
            {
                take_list(&shared, &list, &mut hints);
            }
            turn = turn.wrapping_add(1);
            if let Some(rows) = reader.glance(drain::KEY).await.rows {
                let row = rows.get(drain::KEY);
                let drain = row.map_or_else(Drain::default, |row| Drain::decode(&row.body));
                take_drain(&shared, &drain, &mut hints);
            }
            // Told again though nothing changed: a shard may have started since.
            shards.tell(|| Hinted(Arc::new(hints.clone())));
        }
        tokio::time::sleep(jittered(INTERVAL)).await;
    }
}

fn take_list(shared: &Shared, list: &[Host], hints: &mut Hints) {
    let Some(config) = shared.config() else {
        return;
    };
    let mut fresh = Hints {
        drained: std::mem::take(&mut hints.drained),
        ended: std::mem::take(&mut hints.ended),
        ..Hints::default()
    };
    for host in list {
        let server = find(shared, &config.fleet, host);
        match (server, host.state) {
            (Some(server), State::Leaving) => {
                fresh.leaving.insert(server);
            }
            (Some(_), State::Live) => {}
            (None, state) => take_host(shared, host, state, &mut fresh),
        }
    }
    *hints = fresh;
}

fn take_host(shared: &Shared, host: &Host, state: State, hints: &mut Hints) {
    let (key, zone) = shared.intern(|directory| {
        (
            directory.hosts.intern(&host.host),
            directory.zones.intern(&host.zone),
        )
    });
    let hint = match state {
        State::Live => Hint::Live,
        State::Leaving => Hint::Leaving,
    };
    if hint == Hint::Live {
        hints.zones.insert(zone);
    }
    hints.hosts.insert(key, hint);
}

/// The backend server that a host on the list is, by its name or its address.
fn find(shared: &Shared, fleet: &Fleet, host: &Host) -> Option<ServerKey> {
    let named = shared.directory().servers.find(&host.host);
    let named = named.filter(|key| fleet.servers.contains_key(key));
    named.or_else(|| {
        let mut servers = fleet.servers.iter();
        let found = servers.find(|(_, server)| server.address.to_string() == host.address);
        found.map(|(key, _)| *key)
    })
}

fn take_drain(shared: &Shared, drain: &Drain, hints: &mut Hints) {
    let directory = shared.directory();
    let servers = drain.servers.iter();
    hints.drained = servers
        .filter_map(|name| directory.servers.find(name))
        .collect();
    let hosts = drain.hosts.iter();
    hints.ended = hosts
        .filter_map(|name| directory.hosts.find(name))
        .collect();
    for host in &hints.ended {
        hints.hosts.insert(*host, Hint::Leaving);
    }
}
