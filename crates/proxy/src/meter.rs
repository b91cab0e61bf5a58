//! Counters and histograms of the pooled data path.

use std::time::Duration;

use metrics::Label;

use crate::message::Code;
use crate::rejection::Reason;

/// Outcome of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementEnd {
    /// Success at the primary.
    Primary,
    /// Success at a replica.
    Replica,
    /// An error.
    Error(Code),
}

/// Counts one statement on `database` and records its duration.
pub fn statement(database: &str, end: StatementEnd, took: Duration) {
    let outcome = match end {
        StatementEnd::Primary => "primary",
        StatementEnd::Replica => "replica",
        StatementEnd::Error(code) => error_label(code),
    };
    let database = database.to_owned();
    metrics::counter!("flamingopost_statements_total", "database" => database.clone(), "outcome" => outcome)
        .increment(1);
    metrics::histogram!("flamingopost_statement_seconds", "database" => database)
        .record(took.as_secs_f64());
}

/// Reports whether this host is an elector, the number of services that it follows, and the number of
/// them that it serves for its zone.
pub fn duties(is_elector: bool, followed: usize, served: usize) {
    let gauge = |duty, value: usize| {
        // Exact for any number of services that fits into memory.
        metrics::gauge!("flamingopost_duties", "duty" => duty).set(value as f64);
    };
    gauge("elector", usize::from(is_elector));
    gauge("followed_services", followed);
    gauge("served_services", served);
}

/// Whether an operation of a team is within its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limited {
    /// It is.
    Admitted,
    /// It was refused.
    Refused,
}

/// Counts an operation of the team labelled `team`, and records how long it waited for a grant.
pub fn team_operation(team: &str, limited: Limited, waited: Duration) {
    let outcome = match limited {
        Limited::Admitted => "admitted",
        Limited::Refused => "over_limit",
    };
    let team = team.to_owned();
    metrics::counter!("flamingopost_team_operations_total", "team" => team.clone(), "outcome" => outcome)
        .increment(1);
    metrics::histogram!("flamingopost_team_grant_seconds", "team" => team)
        .record(waited.as_secs_f64());
}

/// Records the duration of a statement of the team labelled `team`.
pub fn team_statement(team: &str, took: Duration) {
    metrics::histogram!("flamingopost_team_statement_seconds", "team" => team.to_owned())
        .record(took.as_secs_f64());
}

/// Whether this host is in contact with a majority of the hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It is.
    Majority,
    /// It is not.
    Minority,
}

/// Counts a rejected request for `service`, if it names one, of the team labelled `team`, if there is one.
pub fn rejection(reason: Reason, service: Option<String>, team: Option<String>, contact: Contact) {
    let contact = match contact {
        Contact::Majority => "majority",
        Contact::Minority => "minority",
    };
    let mut labels = vec![
        Label::from_static_parts("reason", reason.label()),
        Label::from_static_parts("contact", contact),
    ];
    labels.extend(service.map(|service| Label::new("service", service)));
    labels.extend(team.map(|team| Label::new("team", team)));
    metrics::counter!("flamingopost_rejections_total", labels).increment(1);
}

/// Counts a connection opened to a server of `service`.
pub fn server_connected(service: &str) {
    metrics::counter!("flamingopost_server_connections_total", "service" => service.to_owned())
        .increment(1);
}

/// Counts an unusable entry of `table`, once for each of its faults.
pub fn unusable_entry(table: &'static str, fault: &'static str) {
    metrics::counter!("flamingopost_unusable_entries_total", "table" => table, "fault" => fault)
        .increment(1);
}

/// Counts a restore of the platform's store from a backup.
pub fn store_restored() {
    metrics::counter!("flamingopost_store_restores_total").increment(1);
}

/// Counts a failed attempt to open the address for `purpose`.
pub fn address_unavailable(purpose: &'static str) {
    metrics::counter!("flamingopost_address_unavailable_total", "purpose" => purpose).increment(1);
}

/// Counts a call to the platform.
pub fn platform_call(call: &'static str, ok: bool) {
    let outcome = if ok { "answered" } else { "failed" };
    metrics::counter!("flamingopost_platform_calls_total", "call" => call, "outcome" => outcome)
        .increment(1);
}

/// Outcome of a request for a feed to another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayedRead {
    /// The host has delivered changes.
    Changed,
    /// The host has reported that there are no changes.
    Unchanged,
    /// The host cannot read the store.
    Outage,
    /// The host has delivered nothing usable.
    Failed,
}

/// Counts a request for `feed` to another host.
pub fn relayed_read(feed: &'static str, outcome: RelayedRead) {
    let outcome = match outcome {
        RelayedRead::Changed => "changed",
        RelayedRead::Unchanged => "unchanged",
        RelayedRead::Outage => "outage",
        RelayedRead::Failed => "failed",
    };
    metrics::counter!("flamingopost_relayed_reads_total", "feed" => feed, "outcome" => outcome)
        .increment(1);
}

/// Direction of a message between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this host.
    Sent,
    /// Received by this host.
    Received,
}

/// Counts a message of `kind` between this host and another one, and its size.
pub fn peer_message(kind: &'static str, direction: Direction, bytes: usize) {
    let direction = match direction {
        Direction::Sent => "sent",
        Direction::Received => "received",
    };
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics::counter!("flamingopost_peer_messages_total", "kind" => kind, "direction" => direction)
        .increment(1);
    metrics::counter!("flamingopost_peer_bytes_total", "kind" => kind, "direction" => direction)
        .increment(bytes);
}

/// Counts rows that were read from `table` of the platform's store and decoded.
pub fn rows_decoded(table: &'static str, rows: usize) {
    let rows = u64::try_from(rows).unwrap_or(u64::MAX);
    metrics::counter!("flamingopost_rows_decoded_total", "table" => table).increment(rows);
}

/// Returns the metric label of an error code.
fn error_label(code: Code) -> &'static str {
    match code {
        Code::Busy => "busy",
        Code::Aborted => "aborted",
        Code::Lagging => "lagging",
        Code::ReadOnly => "read_only",
        Code::Misrouted => "misrouted",
        Code::ConnectionLimit => "connection_limit",
        Code::NoStatement => "no_statement",
        Code::Malformed => "malformed",
        Code::NoDatabase => "no_database",
        Code::Unauthorized => "unauthorized",
        Code::Failed => "failed",
        Code::Timeout => "timeout",
        Code::InDoubt => "in_doubt",
        Code::Other => "other",
    }
}
