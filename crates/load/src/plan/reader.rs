//! Decodes a plan from INI, section by section.

use std::path::Path;
use std::time::Duration;

use displaydoc::Display;
use flamingopost_daemon::value::Value;
use ini::{Ini, Properties};

use super::{Mistake, Plan, Statement};
use crate::class::{Class, Kind, Protocol};
use crate::fault::{self, Aim, Fault};
use crate::template::{self, Template};

/// Time during which arrivals are measured where a plan gives none.
const DURATION: Duration = Duration::from_secs(20);

/// Time of arrivals before the measured ones where a plan gives none: pools fill and servers warm
/// up in about one second.
const WARM_UP: Duration = Duration::from_secs(2);

/// How long past its deadline an answer is awaited where a plan gives no time.
const PATIENCE: Duration = Duration::from_secs(1);

/// Deadline of a class that gives none.
const DEADLINE: Duration = Duration::from_secs(1);

/// Collects mistakes while it decodes.
#[derive(Debug, Default)]
pub(super) struct Reader {
    pub(super) mistakes: Vec<Mistake>,
}

impl Reader {
    pub(super) fn plan(&mut self, path: &Path, ini: &Ini) -> Plan {
        let mut plan = Plan {
            name: stem(path),
            duration: DURATION,
            warm_up: WARM_UP,
            rate: 100.0,
            sessions: 30,
            seed: 1,
            roam: 0.05,
            patience: PATIENCE,
            registers: 16,
            targets: Vec::new(),
            metrics: Vec::new(),
            status: Vec::new(),
            token: None,
            setup: Vec::new(),
            finals: Vec::new(),
            classes: Vec::new(),
            faults: Vec::new(),
            baseline: Vec::new(),
        };
        for (section, properties) in ini.iter() {
            self.section(&mut plan, section, properties);
        }
        if plan.classes.is_empty() {
            self.mistakes.push(Mistake::NoClass);
        }
        if plan.targets.is_empty() {
            self.mistakes.push(Mistake::Missing {
                section: "target".to_owned(),
                key: "urls",
            });
        }
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    fn section(&mut self, plan: &mut Plan, section: Option<&str>, properties: &Properties) {
        let name = section.unwrap_or_default();
        match name.split_once(' ').unwrap_or((name, "")) {
            ("", "") if properties.is_empty() => {}
            ("run", "") => self.run(plan, properties),
            ("target", "") => self.target(plan, properties),
            ("setup", service) => plan.setup.extend(self.setup(name, service, properties)),
            ("final", service) => plan.finals.extend(self.finals(name, service, properties)),
            ("class", class) => {
                let class = self.class(name, class, properties);
                plan.classes.push(class);
            }
            ("fault", fault) => {
                if let Some(fault) = self.fault(name, fault, properties) {
                    plan.faults.push(fault);
                }
            }
            ("baseline", "") => self.baseline(plan, properties),
            _ => self.mistakes.push(Mistake::Section(name.to_owned())),
        }
    }

    fn run(&mut self, plan: &mut Plan, properties: &Properties) {
        for (key, value) in properties.iter() {
            match key {
                "duration" => self.set("run", key, value, length, &mut plan.duration),
                "warm-up" => self.set("run", key, value, length, &mut plan.warm_up),
                "patience" => self.set("run", key, value, length, &mut plan.patience),
                "rate" => self.set("run", key, value, positive, &mut plan.rate),
                "roam" => self.set("run", key, value, str::parse, &mut plan.roam),
                "sessions" => self.set("run", key, value, str::parse, &mut plan.sessions),
                "registers" => self.set("run", key, value, str::parse, &mut plan.registers),
                "seed" => self.set("run", key, value, str::parse, &mut plan.seed),
                _ => self.unknown("run", key),
            }
        }
    }

    fn target(&mut self, plan: &mut Plan, properties: &Properties) {
        for (key, value) in properties.iter() {
            match key {
                "urls" => plan.targets = list(value),
                "metrics" => plan.metrics = list(value),
                "status" => plan.status = list(value),
                "token" => plan.token = Some(value.to_owned()),
                _ => self.unknown("target", key),
            }
        }
        self.urls("target", &plan.targets);
    }

    fn baseline(&mut self, plan: &mut Plan, properties: &Properties) {
        for (key, value) in properties.iter() {
            match key {
                "urls" => plan.baseline = list(value),
                _ => self.unknown("baseline", key),
            }
        }
        self.urls("baseline", &plan.baseline);
    }

    fn urls(&mut self, section: &str, urls: &[String]) {
        for url in urls {
            if let Err(error) = url.parse::<tokio_postgres::Config>() {
                self.value(section, "urls", url, &error.to_string());
            }
        }
    }

    fn setup(
        &mut self,
        section: &str,
        service: &str,
        properties: &Properties,
    ) -> Vec<Statement<String>> {
        let mut statements = Vec::new();
        for (key, value) in properties.iter() {
            match key.strip_prefix("sql.") {
                Some(_) => statements.push(Statement {
                    service: named(service),
                    sql: value.to_owned(),
                }),
                None => self.unknown(section, key),
            }
        }
        statements
    }

    fn finals(
        &mut self,
        section: &str,
        service: &str,
        properties: &Properties,
    ) -> Vec<Statement<Template>> {
        let mut statements = Vec::new();
        for statement in self.setup(section, service, properties) {
            if let Some(sql) = self.template(section, "sql", &statement.sql) {
                let service = statement.service;
                statements.push(Statement { service, sql });
            }
        }
        statements
    }

    fn class(&mut self, section: &str, name: &str, properties: &Properties) -> Class {
        let mut class = Class {
            name: name.to_owned(),
            service: None,
            kind: Kind::Read,
            share: 1,
            weight: 1,
            deadline: DEADLINE,
            attempts: 1,
            protocol: Protocol::Simple,
            transaction: false,
            sees: None,
            statements: Vec::new(),
        };
        for (key, value) in properties.iter() {
            match key {
                "service" => class.service = Some(value.to_owned()),
                "kind" => self.set(section, key, value, str::parse, &mut class.kind),
                "share" => self.set(section, key, value, str::parse, &mut class.share),
                "weight" => self.set(section, key, value, str::parse, &mut class.weight),
                "deadline" => self.set(section, key, value, length, &mut class.deadline),
                "attempts" => self.set(section, key, value, str::parse, &mut class.attempts),
                "protocol" => self.set(section, key, value, str::parse, &mut class.protocol),
                "transaction" => self.set(section, key, value, self::value, &mut class.transaction),
                "sees" => class.sees = Some(value.to_owned()),
                _ if key.starts_with("sql.") => {
                    class.statements.extend(self.template(section, key, value));
                }
                _ => self.unknown(section, key),
            }
        }
        if class.statements.len() > 1 && !class.transaction {
            let reason = "several statements need transaction = yes";
            self.value(section, "transaction", "no", reason);
        }
        if class.statements.is_empty() {
            self.mistakes.push(Mistake::Missing {
                section: section.to_owned(),
                key: "sql.1",
            });
        }
        class
    }

    fn template(&mut self, section: &str, key: &str, value: &str) -> Option<Template> {
        match value.parse() {
            Ok(template) => Some(template),
            Err(error) => {
                let error: template::Error = error;
                self.value(section, key, value, &error.to_string());
                None
            }
        }
    }

    fn fault(&mut self, section: &str, name: &str, properties: &Properties) -> Option<Fault> {
        let mut at = None;
        let mut post = None;
        let mut baseline = None;
        let mut to = Aim::All;
        let mut failover = false;
        for (key, value) in properties.iter() {
            match key {
                "at" => self.set(section, key, value, |text| length(text).map(Some), &mut at),
                "post" => self.set(
                    section,
                    key,
                    value,
                    |text| fault::post(text).map(Some),
                    &mut post,
                ),
                "baseline" => {
                    let parse = |text: &str| fault::post(text).map(Some);
                    self.set(section, key, value, parse, &mut baseline);
                }
                "to" => self.set(section, key, value, str::parse, &mut to),
                "failover" => self.set(section, key, value, self::value, &mut failover),
                _ => self.unknown(section, key),
            }
        }
        for (key, missing) in [("at", at.is_none()), ("post", post.is_none())] {
            if missing && !properties.contains_key(key) {
                self.mistakes.push(Mistake::Missing {
                    section: section.to_owned(),
                    key,
                });
            }
        }
        Some(Fault {
            name: name.to_owned(),
            at: at?,
            post: post?,
            to,
            baseline,
            failover,
        })
    }

    fn set<T, E: std::fmt::Display>(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
        into: &mut T,
    ) {
        match parse(value) {
            Ok(parsed) => *into = parsed,
            Err(error) => self.value(section, key, value, &error.to_string()),
        }
    }

    fn value(&mut self, section: &str, key: &str, value: &str, reason: &str) {
        self.mistakes.push(Mistake::Value {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            reason: reason.to_owned(),
        });
    }

    fn unknown(&mut self, section: &str, key: &str) {
        self.mistakes.push(Mistake::Key {
            section: section.to_owned(),
            key: key.to_owned(),
        });
    }
}

/// write a number above 0
#[derive(Debug, Clone, PartialEq, Eq, Display)]
struct NotPositive;

fn positive(text: &str) -> Result<f64, NotPositive> {
    match text.parse::<f64>() {
        Ok(number) if number > 0.0 && number.is_finite() => Ok(number),
        _ => Err(NotPositive),
    }
}

/// write {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
struct WrongShape(&'static str);

fn value<V: Value>(text: &str) -> Result<V, WrongShape> {
    V::read(text).ok_or(WrongShape(V::SHAPE))
}

fn length(text: &str) -> Result<Duration, WrongShape> {
    value(text)
}

fn named(service: &str) -> Option<String> {
    (!service.is_empty()).then(|| service.to_owned())
}

fn list(text: &str) -> Vec<String> {
    text.split(',')
        .map(|item| item.trim().to_owned())
        .filter(|item| !item.is_empty())
        .collect()
}

fn stem(path: &Path) -> String {
    path.file_stem()
        .map(|stem| stem.to_string_lossy().into_owned())
        .unwrap_or_default()
}
