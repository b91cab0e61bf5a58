//! HTTP for operators: which rule applies to a statement, and how the statement is routed.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::{CallerKey, ServiceKey};
use flamingopost_core::rule::{Access, Ack, Choice, Index, Request, Target};
use flamingopost_core::statement::{SessionState, Statement};
use serde::{Deserialize, Serialize};

/// Response of `GET /v1/explain?service=&caller=&sql=` on an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The caller's role.
    pub role: String,
    /// `read` or `write`.
    pub access: String,
    /// Tables that the statement refers to.
    pub tables: BTreeSet<String>,
    /// Tag in the statement's marker.
    pub tag: Option<String>,
    /// Effect of the statement on the session state: `unchanged`, `tracked` or `pinned`.
    pub session_state: String,
    /// Error in the statement's marker.
    pub mistake: Option<String>,
    /// The rule that applies; absent if none matches.
    pub rule: Option<Rule>,
    /// The resulting treatment.
    pub treatment: Treatment,
    /// Where the statement would be sent now; absent if the route was not determined.
    pub route: Option<Route>,
}

/// A rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Name of the rule.
    pub name: String,
    /// Line of the rule in the configuration.
    pub line: usize,
}

/// How a statement is treated. Requests of its marker are taken into account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Treatment {
    /// `primary` or `replica`.
    pub target: String,
    /// Maximum staleness of the data, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Whether the statement may be executed more than once.
    pub repeatable: bool,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Class of the request.
    pub class: String,
    /// Weight of the class.
    pub weight: u32,
    /// Maximum number of retries.
    pub retries: u8,
    /// Delay before a hedged request is sent, in milliseconds.
    pub hedge_ms: Option<u64>,
    /// Maximum requests per second at one entry host.
    pub rate: Option<u32>,
    /// Servers that must have a write before it is acknowledged: `primary`, or `replica` for the
    /// primary and at least one replica.
    pub ack: String,
    /// Why the statement is refused; absent if it is not.
    pub refuse: Option<String>,
}

/// Where a statement would be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Route {
    /// The statement is sent to a server.
    Go {
        /// The server.
        server: String,
        /// Role of the server: `primary of TERM` or `replica`.
        part: String,
    },
    /// The statement waits for a server.
    Wait {
        /// Time until the next routing attempt, in milliseconds.
        wait_ms: u64,
    },
    /// The statement is refused.
    Refuse {
        /// SQLSTATE of the refusal.
        sqlstate: String,
        /// Message of the refusal.
        message: String,
    },
}

impl Explanation {
    /// Returns the decision of `index` for `statement` from `caller` to `service`, without a route.
    /// Returns `None` if the fleet does not have the service or the caller.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use flamingopost_core::directory::Directory;
    /// use flamingopost_core::fleet::Fleet;
    /// use flamingopost_core::rule::Index;
    /// use flamingopost_core::statement;
    /// use flamingopost_wire::explanation::Explanation;
    ///
    /// let index = Index::new(Arc::new(Fleet::default()));
    /// let statement = statement::classify("SELECT 1");
    /// let result = Explanation::new(&index, &Directory::default(), "ledger", "clerk", &statement);
    /// assert_eq!(result, None);
    /// ```
    pub fn new(
        index: &Index,
        directory: &Directory,
        service: &str,
        caller: &str,
        statement: &Statement,
    ) -> Option<Explanation> {
        let fleet = index.fleet().as_ref();
        let (service, caller) = find_keys(fleet, directory, service, caller)?;
        let role = fleet.callers.get(&caller)?.role.clone();
        let choice = index.choose(&Request {
            service,
            caller,
            role: &role,
            statement,
        });
        let rule = choice.rule.and_then(|place| fleet.rules.get(place));
        Some(Explanation {
            access: access(statement.access()).to_owned(),
            tables: statement.tables().clone(),
            tag: statement.tag().map(str::to_owned),
            session_state: session_state(statement.session_state()).to_owned(),
            mistake: statement.marker.error.as_ref().map(ToString::to_string),
            rule: rule.map(|rule| Rule {
                name: rule.name.clone(),
                line: rule.line,
            }),
            treatment: Treatment::new(fleet, directory, &choice, statement),
            route: None,
            role,
        })
    }
}

impl Treatment {
    fn new(
        fleet: &Fleet,
        directory: &Directory,
        choice: &Choice<'_>,
        statement: &Statement,
    ) -> Treatment {
        let then = choice.then.as_ref();
        let class = directory.classes.name(then.class).unwrap_or_default();
        let weight = fleet.classes.get(&then.class).map(|class| class.weight);
        Treatment {
            target: target(then.target).to_owned(),
            max_age_ms: choice.max_age(&statement.marker).map(to_millis),
            repeatable: then.repeatable,
            deadline_ms: to_millis(choice.deadline(&statement.marker)),
            class: class.to_owned(),
            weight: weight.unwrap_or_default(),
            retries: then.retries,
            hedge_ms: then.hedge.map(to_millis),
            rate: then.rate,
            ack: ack(then.ack).to_owned(),
            refuse: then.refuse.clone(),
        }
    }
}

fn find_keys(
    fleet: &Fleet,
    directory: &Directory,
    service: &str,
    caller: &str,
) -> Option<(ServiceKey, CallerKey)> {
    let service = directory.services.find(service)?;
    let caller = directory.callers.find(caller)?;
    fleet
        .services
        .contains_key(&service)
        .then_some((service, caller))
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn access(access: Access) -> &'static str {
    match access {
        Access::Read => "read",
        Access::Write => "write",
    }
}

fn session_state(state: SessionState) -> &'static str {
    match state {
        SessionState::Unchanged => "unchanged",
        SessionState::Tracked => "tracked",
        SessionState::Pinned => "pinned",
    }
}

fn target(target: Target) -> &'static str {
    match target {
        Target::Primary => "primary",
        Target::Replica => "replica",
    }
}

fn ack(ack: Ack) -> &'static str {
    match ack {
        Ack::Primary => "primary",
        Ack::Replica => "replica",
    }
}
