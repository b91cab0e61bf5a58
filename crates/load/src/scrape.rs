//! What entry hosts and controllers say about themselves over HTTP.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use flamingopost_wire::status::Status;
use serde::Serialize;

use crate::event::Event;
use crate::history::Loss;

const TIMEOUT: Duration = Duration::from_secs(3);
/// Counter of answered reads, with labels `service`, `allowed` (what the rules allow: `primary`
/// or `replica`) and `server` (what answered).
const READS: &str = "flamingopost_reads_total";
/// Counter of invariants found violated.
const VIOLATIONS: &str = "flamingopost_invariant_violations_total";

/// Counters of all entry hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Counters {
    /// Reads that the rules allow to replicas.
    pub allowed: f64,
    /// Those of them that a replica answered.
    pub by_replica: f64,
    /// Reads answered, whatever the rules allow.
    pub reads: f64,
    /// Invariants found violated.
    pub violations: f64,
}

impl Counters {
    /// What was added since `before`.
    pub fn since(self, before: Counters) -> Counters {
        Counters {
            allowed: self.allowed - before.allowed,
            by_replica: self.by_replica - before.by_replica,
            reads: self.reads - before.reads,
            violations: self.violations - before.violations,
        }
    }

    /// Share of the reads that rules allow to replicas which replicas answered.
    pub fn replica_share(self) -> Option<f64> {
        (self.allowed > 0.0).then(|| self.by_replica / self.allowed)
    }

    /// Adds what `text`, in the form that Prometheus reads, says about `services`.
    pub fn add(&mut self, text: &str, services: &BTreeSet<String>) {
        for sample in text.lines().filter_map(sample) {
            match sample.name {
                READS if sample.of(services) => self.add_read(&sample),
                VIOLATIONS => self.violations += sample.value,
                _ => {}
            }
        }
    }

    fn add_read(&mut self, sample: &Sample<'_>) {
        self.reads += sample.value;
        if sample.labels.get("allowed") == Some(&"replica") {
            self.allowed += sample.value;
            if sample.labels.get("server") == Some(&"replica") {
                self.by_replica += sample.value;
            }
        }
    }
}

#[derive(Debug)]
struct Sample<'a> {
    name: &'a str,
    labels: BTreeMap<&'a str, &'a str>,
    value: f64,
}

impl Sample<'_> {
    fn of(&self, services: &BTreeSet<String>) -> bool {
        let service = self.labels.get("service");
        service.is_some_and(|service| services.contains(*service))
    }
}

fn sample(line: &str) -> Option<Sample<'_>> {
    let (series, value) = line.rsplit_once(' ')?;
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    let labels = labels.trim_end_matches('}').split(',');
    let labels = labels.filter_map(|pair| pair.split_once('='));
    Some(Sample {
        name,
        labels: labels
            .map(|(key, value)| (key, value.trim_matches('"')))
            .collect(),
        value: value.parse().ok()?,
    })
}

/// Reads the counters of all `urls` for `services`; `None` when one of them cannot be read, since
/// a sum without it would say nothing.
pub async fn counters(urls: &[String], services: &BTreeSet<String>) -> Option<Counters> {
    if urls.is_empty() {
        return None;
    }
    let mut counters = Counters::default();
    for url in urls {
        let text = get(url, None).await?;
        counters.add(&text, services);
    }
    Some(counters)
}

/// Reads the losses that controllers reported.
pub async fn losses(urls: &[String], token: Option<&str>) -> Vec<Loss> {
    let mut losses = Vec::new();
    for url in urls {
        let Some(text) = get(url, token).await else {
            continue;
        };
        match serde_json::from_str::<Status>(&text) {
            Ok(status) => losses.extend(reported(status)),
            Err(error) => unread(url, &error.to_string()),
        }
    }
    losses.sort_by(|one, other| {
        (&one.service, &one.ended_by).cmp(&(&other.service, &other.ended_by))
    });
    losses.dedup();
    losses
}

fn reported(status: Status) -> impl Iterator<Item = Loss> {
    status.services.into_iter().flat_map(|one| {
        let service = one.service;
        one.lost.into_iter().map(move |loss| Loss {
            service: service.clone(),
            ended_by: loss.term,
            start: loss.start,
            acknowledged: loss.acknowledged,
        })
    })
}

async fn get(url: &str, token: Option<&str>) -> Option<String> {
    let mut request = reqwest::Client::new().get(url).timeout(TIMEOUT);
    if let Some(token) = token {
        request = request.bearer_auth(token);
    }
    let answer = match request.send().await {
        Ok(answer) => answer,
        Err(error) => {
            unread(url, &error.to_string());
            return None;
        }
    };
    let status = answer.status();
    match answer.text().await {
        Ok(text) if status.is_success() => Some(text),
        Ok(_) => {
            unread(url, status.as_str());
            None
        }
        Err(error) => {
            unread(url, &error.to_string());
            None
        }
    }
}

fn unread(url: &str, error: &str) {
    Event::Unread {
        url: url.to_owned(),
        error: error.to_owned(),
    }
    .log();
}
