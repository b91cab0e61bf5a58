//! Reads the platform's list of hosts and the operators' drains on behalf of all shards.

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
use crate::shard_message::UpdateHints;
use crate::shards::Shards;
use crate::shared::Shared;

/// Interval between two reads of the drains. A drain takes effect well within three seconds.
const INTERVAL: Duration = Duration::from_millis(500);

/// Number of intervals between two reads of the host list, which lags in any case.
const TURNS_PER_LIST: u32 = 2;

/// State of hosts and servers according to the platform and the operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hints {
    /// Hosts on the list that do not run a backend server.
    pub hosts: BTreeMap<HostKey, Hint>,
    /// Availability zones in which the list has live hosts.
    pub live_zones: BTreeSet<ZoneKey>,
    /// Backend servers that the list reports as leaving.
    pub leaving_servers: BTreeSet<ServerKey>,
    /// Backend servers that operators have drained.
    pub drained_servers: BTreeSet<ServerKey>,
    /// Entry hosts that operators have drained.
    pub drained_hosts: BTreeSet<HostKey>,
}

/// Passes the hints to all shards until the process stops.
pub async fn run(shared: Arc<Shared>, reader: Reader, shards: Shards) {
    let mut hints = Hints::default();
    let mut turn = 0;
    while shared.stop().phase() != Phase::Stopped {
        // Only controllers use the hints; about 400 other processes need not read them.
        if shared.is_controller() {
            if turn % TURNS_PER_LIST == 0
                && let Ok(list) = shared.platform().hosts().await
            {
                apply_host_list(&shared, &list, &mut hints);
            }
            turn = turn.wrapping_add(1);
            if let Some(rows) = reader.read_recent(drain::KEY).await.rows {
                let row = rows.get(drain::KEY);
                let drain = row.map_or_else(Drain::default, |row| Drain::decode(&row.body));
                apply_drain(&shared, &drain, &mut hints);
            }
            // Sent even if nothing has changed, because a shard's actor may have started since.
            shards.broadcast(|| UpdateHints(Arc::new(hints.clone())));
        }
        tokio::time::sleep(jittered(INTERVAL)).await;
    }
}

fn apply_host_list(shared: &Shared, list: &[Host], hints: &mut Hints) {
    let Some(config) = shared.config() else {
        return;
    };
    let mut fresh = Hints {
        drained_servers: std::mem::take(&mut hints.drained_servers),
        drained_hosts: std::mem::take(&mut hints.drained_hosts),
        ..Hints::default()
    };
    for host in list {
        let server = find_server(shared, &config.fleet, host);
        match (server, host.state) {
            (Some(server), State::Leaving) => {
                fresh.leaving_servers.insert(server);
            }
            (Some(_), State::Live) => {}
            (None, state) => apply_host(shared, host, state, &mut fresh),
        }
    }
    *hints = fresh;
}

fn apply_host(shared: &Shared, host: &Host, state: State, hints: &mut Hints) {
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
        hints.live_zones.insert(zone);
    }
    hints.hosts.insert(key, hint);
}

/// Finds the backend server that runs on a listed host, by name or by address.
fn find_server(shared: &Shared, fleet: &Fleet, host: &Host) -> Option<ServerKey> {
    let named = shared.directory().servers.find(&host.host);
    let named = named.filter(|key| fleet.servers.contains_key(key));
    named.or_else(|| {
        let mut servers = fleet.servers.iter();
        let found = servers.find(|(_, server)| server.address.to_string() == host.address);
        found.map(|(key, _)| *key)
    })
}

fn apply_drain(shared: &Shared, drain: &Drain, hints: &mut Hints) {
    let directory = shared.directory();
    let servers = drain.servers.iter();
    hints.drained_servers = servers
        .filter_map(|name| directory.servers.find(name))
        .collect();
    let hosts = drain.hosts.iter();
    hints.drained_hosts = hosts
        .filter_map(|name| directory.hosts.find(name))
        .collect();
    for host in &hints.drained_hosts {
        hints.hosts.insert(*host, Hint::Leaving);
    }
}
