//! `flamingopost-capacity model PLAN.ini`
//!
//! Computes the cost of each role at a given size from slopes measured with the other subcommands,
//! and compares it with the budgets.

use std::fmt;
use std::path::{Path, PathBuf};

use ini::Ini;
use serde::Serialize;

use super::print;
use crate::error::Error;
use crate::flags;

const MILLION: f64 = 1e6;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A computed cost and its budget.
#[derive(Debug, Serialize)]
struct Cost {
    role: &'static str,
    what: &'static str,
    unit: &'static str,
    cost: f64,
    budget: f64,
}

#[derive(Debug, Serialize)]
struct Figures {
    costs: Vec<Cost>,
}

/// A plan file with its sizes, slopes and budgets.
struct Plan {
    path: PathBuf,
    ini: Ini,
}

/// Runs the subcommand.
pub fn run(flags: flags::Model) -> Result<(), Error> {
    let plan = Plan::read(&flags.plan)?;
    let mut costs = entry_host_costs(&plan)?;
    costs.extend(controller_costs(&plan)?);
    costs.extend(table_service_costs(&plan)?);
    costs.extend(duration_costs(&plan)?);
    print(&Figures { costs }, flags.json)
}

/// Returns the cost of control for an entry host: leases of every shard, connections to the servers
/// of the services that have it as a home, new configurations, and reads of the head row.
fn entry_host_costs(plan: &Plan) -> Result<Vec<Cost>, Error> {
    let services = plan.size("databases")? * plan.size("homes")? / plan.size("nodes")?;
    let servers = services * plan.slope("servers_a_service")?;
    let changes = plan.size("changes_a_day")? / SECONDS_PER_DAY;
    let configuration = plan.slope("configuration_bytes_a_service")? * plan.size("databases")?;
    let bytes = plan.slope("turn_bytes_a_second")?
        + plan.slope("shard_bytes_a_second")? * plan.size("shards")?
        + plan.slope("server_bytes_a_second")? * servers
        + changes * configuration;
    let adopt = plan.slope("adopt_us_a_service")? * plan.size("databases")?;
    let percent = plan.slope("turn_core_percent")?
        + plan.slope("server_core_percent")? * servers
        + changes * adopt / MILLION * 100.0;
    let memory = plan.slope("control_fixed_bytes")?
        + plan.slope("configuration_memory_bytes_a_service")? * plan.size("databases")?;
    node_costs(plan, "entry host", percent, bytes, memory)
}

/// Returns the cost that leading one shard adds on its host in two designs: every host renews its
/// own lease, as implemented, or a relay holds one lease for all hosts of a rack, which is not
/// implemented.
fn controller_costs(plan: &Plan) -> Result<Vec<Cost>, Error> {
    let hosts = plan.size("nodes")?;
    let racks = hosts / plan.size("hosts_a_rack")?;
    let (host_interval, rack_interval) = (
        plan.slope("renewal_interval_s")?,
        plan.slope("rack_renewal_interval_s")?,
    );
    let mut costs =
        shard_leader_costs(plan, "controller of a shard, on top", hosts, host_interval)?;
    costs.extend(shard_leader_costs(
        plan,
        "the same by leases of racks",
        racks,
        rack_interval,
    )?);
    Ok(costs)
}

/// Returns the cost of leading a shard with `holders` leases, each renewed every `interval`
/// seconds.
fn shard_leader_costs(
    plan: &Plan,
    role: &'static str,
    holders: f64,
    interval: f64,
) -> Result<Vec<Cost>, Error> {
    let renewals = holders / interval;
    let services = plan.size("databases")? / plan.size("shards")?;
    let reads = 1.0 / plan.slope("authority_read_interval_s")?;
    let percent = renewals * plan.slope("controller_renewal_us")? / MILLION * 100.0;
    let bytes = renewals * plan.slope("controller_renewal_bytes")?
        + reads * plan.slope("row_bytes_a_service")? * services;
    let memory = holders * plan.slope("holder_memory_bytes")?;
    node_costs(plan, role, percent, bytes, memory)
}

/// Returns the rates of table service reads and writes by the whole fleet.
fn table_service_costs(plan: &Plan) -> Result<Vec<Cost>, Error> {
    let processes = plan.size("nodes")? * plan.slope("processes_a_node")?;
    let polls = processes / plan.slope("row_poll_interval_s")?;
    let authority = plan.size("shards")? / plan.slope("authority_read_interval_s")?;
    let standbys =
        plan.size("shards")? * plan.slope("standbys")? / plan.slope("authority_read_interval_s")?;
    let changes = plan.size("changes_a_day")?
        + plan.size("replacements_a_day")?
        + plan.size("promotions_a_day")? * plan.slope("writes_a_promotion")?;
    let cost = |what, cost, budget| Cost {
        role: "table service",
        what,
        unit: "a second",
        cost,
        budget,
    };
    Ok(vec![
        cost(
            "reads",
            polls + authority + standbys,
            plan.budget("table_reads")?,
        ),
        cost(
            "writes",
            changes / SECONDS_PER_DAY,
            plan.budget("table_writes")?,
        ),
    ])
}

/// Returns the durations of a promotion and of a configuration change, as sums of bounded steps.
fn duration_costs(plan: &Plan) -> Result<Vec<Cost>, Error> {
    let reachable = plan.slope("suspicion_s")? + plan.slope("promotion_s")?;
    let zone_cut = reachable + plan.slope("lease_lapse_s")?;
    let controller_lost = zone_cut + plan.slope("authority_lapse_s")? + plan.slope("claim_s")?;
    let configuration = plan.slope("row_poll_interval_s")?
        + plan.slope("body_fetch_s")?
        + plan.slope("adopt_us_a_service")? * plan.size("databases")? / MILLION;
    let cost = |what, cost, budget| Cost {
        role: "fleet",
        what,
        unit: "s",
        cost,
        budget,
    };
    let promotion = plan.budget("promotion_s")?;
    Ok(vec![
        cost("promotion, leases answered", reachable, promotion),
        cost("promotion, a zone of holders cut off", zone_cut, promotion),
        cost(
            "promotion, controller lost with it",
            controller_lost,
            promotion,
        ),
        cost(
            "configuration in force",
            configuration,
            plan.budget("configuration_s")?,
        ),
    ])
}

/// Returns the processor, network and memory costs of `role` with their budgets.
fn node_costs(
    plan: &Plan,
    role: &'static str,
    percent: f64,
    bytes: f64,
    memory: f64,
) -> Result<Vec<Cost>, Error> {
    let cost = |what, unit, cost, budget| Cost {
        role,
        what,
        unit,
        cost,
        budget,
    };
    Ok(vec![
        cost(
            "processor time",
            "% of a core",
            percent,
            plan.budget("core_percent")?,
        ),
        cost(
            "traffic",
            "KB/s",
            bytes / 1e3,
            plan.budget("kilobytes_a_second")?,
        ),
        cost("memory", "MB", memory / MILLION, plan.budget("megabytes")?),
    ])
}

impl Plan {
    fn read(path: &Path) -> Result<Plan, Error> {
        let ini = Ini::load_from_file(path).map_err(|source| Error::Plan {
            path: path.to_owned(),
            source,
        })?;
        Ok(Plan {
            path: path.to_owned(),
            ini,
        })
    }

    fn size(&self, key: &'static str) -> Result<f64, Error> {
        self.number("size", key)
    }

    fn slope(&self, key: &'static str) -> Result<f64, Error> {
        self.number("slope", key)
    }

    fn budget(&self, key: &'static str) -> Result<f64, Error> {
        self.number("budget", key)
    }

    fn number(&self, section: &'static str, key: &'static str) -> Result<f64, Error> {
        let text = self.ini.get_from(Some(section), key);
        let number = text.and_then(|text| text.trim().parse().ok());
        number.ok_or_else(|| Error::Number {
            path: self.path.clone(),
            section,
            key,
        })
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for cost in &self.costs {
            let verdict = if cost.cost <= cost.budget {
                "within"
            } else {
                "OVER"
            };
            writeln!(
                f,
                "{:<30} {:<38} {:>10.3} of {:>7} {:<12} {verdict}",
                cost.role, cost.what, cost.cost, cost.budget, cost.unit
            )?;
        }
        Ok(())
    }
}
