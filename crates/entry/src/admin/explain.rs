//! Which rule applies to a statement, and where it would go now.

use flamingopost_core::directory::Directory;
use flamingopost_core::key::CallerKey;
use flamingopost_core::route::{self, ReadRequest, TargetRole};
use flamingopost_core::rule::{Access, Request};
use flamingopost_core::session::Session;
use flamingopost_core::statement::Statement;
use flamingopost_wire::explanation::{Explanation, Route};

use crate::context::{Context, Rules};
use crate::service::Service;

/// Why nothing can be explained.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// this host has no configuration yet
    NoConfiguration,
    /// the configuration has no service "{service}", or no caller "{caller}"
    Unknown {
        /// The service.
        service: String,
        /// The caller.
        caller: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// A fixed word that scripts may test.
    pub fn kind(&self) -> &'static str {
        match self {
            Error::NoConfiguration => "no_configuration",
            Error::Unknown { .. } => "unknown",
        }
    }
}

/// Explains what would become of `sql` as the first statement of a session that brings no
/// position.
///
/// # Errors
/// There is nothing to explain it by.
pub fn explain(
    context: &Context,
    service: &str,
    caller: &str,
    sql: &str,
) -> Result<Explanation, Error> {
    let rules = context.rules().ok_or(Error::NoConfiguration)?;
    let directory = context.shared.directory();
    let statement = context.classify(sql);
    let unknown = || Error::Unknown {
        service: service.to_owned(),
        caller: caller.to_owned(),
    };
    let explanation = Explanation::new(&rules.index, &directory, service, caller, &statement);
    let mut explanation = explanation.ok_or_else(unknown)?;
    let service = directory.services.find(service).ok_or_else(unknown)?;
    let caller = directory.callers.find(caller).ok_or_else(unknown)?;
    let service = context.service(service);
    explanation.route = Some(route(&service, &rules, caller, &statement, &directory));
    Ok(explanation)
}

fn route(
    service: &Service,
    rules: &Rules,
    caller: CallerKey,
    statement: &Statement,
    directory: &Directory,
) -> Route {
    let facts = rules.index.fleet().callers.get(&caller);
    let choice = rules.index.choose(&Request {
        service: service.key,
        caller,
        role: facts.map_or("", |facts| &facts.role),
        statement,
    });
    let found = service.with_table(|table, now| {
        if statement.access() == Access::Write {
            return table.write(now);
        }
        let then = &choice.then;
        let mut session = Session::new(now);
        let marker = statement.marker.max_age;
        match session.need(then.target, then.max_age, marker, table.history()) {
            Err(refusal) => route::Route::Refuse(refusal),
            Ok(need) => {
                let max_wait = choice.deadline(&statement.marker);
                let random_bits = rand::random();
                table.read(
                    &ReadRequest {
                        need,
                        max_wait,
                        random_bits,
                    },
                    now,
                )
            }
        }
    });
    describe(found, directory)
}

fn describe(route: route::Route, directory: &Directory) -> Route {
    match route {
        route::Route::Go { server, part } => Route::Go {
            server: directory
                .servers
                .name(server)
                .unwrap_or_default()
                .to_owned(),
            part: match part {
                TargetRole::Primary(term) => format!("primary of {term}"),
                TargetRole::Replica => "replica".to_owned(),
            },
        },
        route::Route::Wait { wait } => Route::Wait {
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        },
        route::Route::Refuse(refusal) => Route::Refuse {
            sqlstate: refusal.sqlstate().to_owned(),
            message: refusal.to_string(),
        },
    }
}
