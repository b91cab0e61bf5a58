//! Tables of what an entry host's metrics say.

use comfy_table::Table;

use super::{join_tables, table};
use crate::cmd::metrics::Report;

/// Returns every table that has rows.
pub fn show(report: &Report) -> String {
    join_tables([
        rejections(report),
        teams(report),
        statements(report),
        connections(report),
    ])
}

fn rejections(report: &Report) -> Table {
    let mut rows = table(&["rejected for", "service", "team", "contact", "requests"]);
    for it in &report.rejections {
        rows.add_row([
            it.reason.clone(),
            name_or_dash(&it.service),
            name_or_dash(&it.team),
            it.contact.clone(),
            it.count.to_string(),
        ]);
    }
    rows
}

fn teams(report: &Report) -> Table {
    let mut rows = table(&["team", "admitted", "over limit", "mean grant, ms"]);
    for it in &report.teams {
        rows.add_row([
            it.team.clone(),
            it.admitted.to_string(),
            it.over_limit.to_string(),
            format!("{:.1}", it.mean_grant_ms),
        ]);
    }
    rows
}

fn statements(report: &Report) -> Table {
    let mut rows = table(&["database", "outcome", "statements"]);
    for it in &report.statements {
        rows.add_row([
            it.database.clone(),
            it.outcome.clone(),
            it.count.to_string(),
        ]);
    }
    rows
}

fn connections(report: &Report) -> Table {
    let mut rows = table(&["servers of", "connections opened"]);
    for it in &report.connections {
        rows.add_row([it.service.clone(), it.opened.to_string()]);
    }
    rows
}

fn name_or_dash(name: &str) -> String {
    match name.is_empty() {
        true => "-".to_owned(),
        false => name.to_owned(),
    }
}
