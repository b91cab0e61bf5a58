//! `flamingopostctl metrics`: shows what an entry host has rejected, and its teams and connections.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ffi::OsString;

use serde::Serialize;

use crate::client::Client;
use crate::error::Error;
use crate::exposition::{self, Sample};
use crate::output::{self, metrics_tables};

xflags::xflags! {
    /// Shows the requests that an entry host of the pooled data path has rejected since it started, by
    /// reason, service and team, and its teams' operations, its statements and its connections to servers.
    ///
    /// EXAMPLES:
    ///     flamingopostctl metrics --metrics 10.0.1.4:9464
    ///     flamingopostctl metrics --json | jq '.rejections[] | select(.contact == "minority")'
    cmd metrics {
        /// IP:PORT of the host's metrics.
        optional --metrics address: String
        /// Print JSON.
        optional --json
    }
}

/// What a host's metrics say.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Rejected requests, most frequent first.
    pub rejections: Vec<Rejections>,
    /// Operations of callers that belong to teams.
    pub teams: Vec<Team>,
    /// Statements, by how they ended.
    pub statements: Vec<Statements>,
    /// Connections opened to servers.
    pub connections: Vec<Connections>,
}

/// Requests rejected for one reason.
#[derive(Debug, Serialize)]
pub struct Rejections {
    /// Why.
    pub reason: String,
    /// The service, or empty if the request was for none.
    pub service: String,
    /// The team's label, or empty where callers belong to none.
    pub team: String,
    /// Whether the host was in contact with a majority of the hosts.
    pub contact: String,
    /// How many.
    pub count: u64,
}

/// Operations of one team on this host.
#[derive(Debug, Default, Serialize)]
pub struct Team {
    /// The team's label.
    pub team: String,
    /// Operations within its limit.
    pub admitted: u64,
    /// Operations refused because of its limit.
    pub over_limit: u64,
    /// Mean time until an operation was admitted or refused, in milliseconds.
    pub mean_grant_ms: f64,
}

/// Statements on one database that ended alike.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Statements {
    /// The database.
    pub database: String,
    /// Who answered, or the error.
    pub outcome: String,
    /// How many.
    pub count: u64,
}

/// Connections to the servers of one service.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Connections {
    /// The service.
    pub service: String,
    /// Connections opened since the host started.
    pub opened: u64,
}

impl Report {
    fn new(samples: &[Sample]) -> Report {
        let named = |name: &'static str| samples.iter().filter(move |it| it.name == name);
        let rejections = named("flamingopost_rejections_total").map(Rejections::new);
        let mut rejections: Vec<Rejections> = rejections.collect();
        rejections.sort_by_key(|it| Reverse(it.count));
        let statements = named("flamingopost_statements_total").map(Statements::new);
        let mut statements: Vec<Statements> = statements.collect();
        statements.sort();
        let connections = named("flamingopost_server_connections_total").map(Connections::new);
        let mut connections: Vec<Connections> = connections.collect();
        connections.sort();
        Report {
            rejections,
            teams: teams(samples),
            statements,
            connections,
        }
    }
}

impl Rejections {
    fn new(sample: &Sample) -> Rejections {
        Rejections {
            reason: sample.label("reason"),
            service: sample.label("service"),
            team: sample.label("team"),
            contact: sample.label("contact"),
            count: sample.count(),
        }
    }
}

impl Statements {
    fn new(sample: &Sample) -> Statements {
        Statements {
            database: sample.label("database"),
            outcome: sample.label("outcome"),
            count: sample.count(),
        }
    }
}

impl Connections {
    fn new(sample: &Sample) -> Connections {
        Connections {
            service: sample.label("service"),
            opened: sample.count(),
        }
    }
}

/// Returns what the samples say of each team.
fn teams(samples: &[Sample]) -> Vec<Team> {
    let mut teams: BTreeMap<String, Team> = BTreeMap::new();
    // Total seconds and number of operations that waited for a grant.
    let mut waits: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for sample in samples {
        let team = sample.label("team");
        match (sample.name.as_str(), sample.label("outcome").as_str()) {
            ("flamingopost_team_operations_total", "admitted") => {
                teams.entry(team).or_default().admitted = sample.count();
            }
            ("flamingopost_team_operations_total", "over_limit") => {
                teams.entry(team).or_default().over_limit = sample.count();
            }
            ("flamingopost_team_grant_seconds_sum", _) => {
                waits.entry(team).or_default().0 = sample.value;
            }
            ("flamingopost_team_grant_seconds_count", _) => {
                waits.entry(team).or_default().1 = sample.value;
            }
            _ => {}
        }
    }
    let with_wait = teams.into_iter().map(|(name, team)| {
        let (seconds, operations) = waits.get(&name).copied().unwrap_or_default();
        Team {
            team: name,
            mean_grant_ms: 1_000.0 * seconds / operations.max(1.0),
            ..team
        }
    });
    with_wait.collect()
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Metrics::from_vec(args)?;
    let client = Client::open_metrics(args.metrics)?;
    let text = client.get_text("/metrics")?;
    let samples = exposition::parse(&text).map_err(|line| Error::Metrics {
        address: client.address().to_owned(),
        line,
    })?;
    output::print(args.json, &Report::new(&samples), metrics_tables::show)
}
