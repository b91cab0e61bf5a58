//! Answers lease renewals on behalf of a shard's controller.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::budget::Grant;
use flamingopost_core::budget::server_budget::HostInstance;
use flamingopost_core::key::HostKey;
use flamingopost_core::leadership::{self, Reply};
use flamingopost_core::lease::Instance;
use flamingopost_core::membership::Member;
use flamingopost_wire::lease;

use crate::budgets::Renewer;
use crate::shard::{Shard, millis, process};

impl Shard {
    pub(crate) fn renew(&mut self, renewal: lease::Renewal) -> lease::Reply {
        let now = self.shared.now();
        self.shared.observe_version(renewal.config);
        let decoded = self.decode(&renewal);
        let holder = decoded.holder;
        let member = Member {
            zone: decoded.zone,
            last_heartbeat: now,
            config: renewal.config,
            stopping: renewal.stopping,
        };
        self.membership.heartbeat(process(holder), member);
        match self.controller.on_renewal(&decoded, now) {
            Reply::Refused { controller } => lease::Reply::Refused(self.refusal(controller)),
            Reply::Granted {
                version,
                valid,
                view,
            } => {
                let grants = self.grant_connections(&renewal, holder, valid, now);
                let directory = self.shared.directory();
                let view =
                    view.map(|view| flamingopost_wire::view::Shard::encode(&view, &directory));
                lease::Reply::Granted(lease::Grant {
                    version: version.into(),
                    valid_ms: millis(valid),
                    view,
                    allotment: grants
                        .iter()
                        .map(|(name, g)| (name.clone(), g.leased))
                        .collect(),
                    floors: encode_floors(&grants),
                    drain: self.drained_hosts.contains(&holder.host),
                    config: self.shared.highest_version(),
                })
            }
        }
    }

    fn grant_connections(
        &mut self,
        renewal: &lease::Renewal,
        holder: Instance,
        valid: Duration,
        now: Duration,
    ) -> BTreeMap<String, Grant> {
        let budget_holder = HostInstance {
            host: holder.host,
            incarnation: holder.incarnation,
        };
        if renewal.stopping {
            self.budgets.release(budget_holder);
            self.lease_ends.remove(&holder);
            self.granted_connections.remove(&holder);
            return BTreeMap::new();
        }
        self.holder_addresses.insert(holder, renewal.rpc.clone());
        self.lease_ends.insert(holder, now + valid);
        let directory = self.shared.directory();
        let demand = renewal.demand.iter();
        let demand = demand
            .filter_map(|(name, count)| Some((directory.servers.find(name)?, *count)))
            .collect();
        let renewer = Renewer {
            holder: budget_holder,
            zone: self
                .shared
                .intern(|names| names.zones.intern(&renewal.zone)),
            valid,
        };
        let grants = self.budgets.renew(renewer, &demand, now);
        let total = grants.values().map(|grant| u32::from(grant.leased)).sum();
        self.granted_connections.insert(holder, total);
        let named = grants.iter().filter_map(|(key, grant)| {
            let name = directory.servers.name(*key)?.to_owned();
            Some((name, *grant))
        });
        named.collect()
    }

    fn decode(&self, renewal: &lease::Renewal) -> leadership::Renewal {
        self.shared.intern(|directory| leadership::Renewal {
            holder: Instance {
                host: directory.hosts.intern(&renewal.host),
                incarnation: renewal.incarnation,
            },
            zone: directory.zones.intern(&renewal.zone),
            version: renewal.version.map(Into::into),
            reports: renewal
                .reports
                .iter()
                .filter_map(|(name, report)| Some((directory.servers.find(name)?, report.into())))
                .collect(),
            stopping: renewal.stopping,
        })
    }

    fn refusal(&self, controller: Option<HostKey>) -> lease::Refusal {
        let directory = self.shared.directory();
        let host = controller.and_then(|key| directory.hosts.name(key));
        let redirect = host
            .filter(|host| **host != self.shared.process().host)
            .and_then(|host| self.shared.rpc_of(host));
        lease::Refusal {
            redirect,
            config: self.shared.highest_version(),
        }
    }
}

fn encode_floors(grants: &BTreeMap<String, Grant>) -> BTreeMap<String, lease::Floor> {
    let granted_floors = grants.iter().filter(|(_, grant)| grant.floor > 0);
    granted_floors
        .map(|(name, grant)| {
            let floor = lease::Floor {
                connections: grant.floor,
                valid_ms: millis(grant.floor_valid),
            };
            (name.clone(), floor)
        })
        .collect()
}
