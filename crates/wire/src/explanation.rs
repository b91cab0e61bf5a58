//! Operators' HTTP: which rule applies to a statement, and where it would go.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::{CallerKey, ServiceKey};
use flamingopost_core::rule::{Access, Ack, Choice, Index, Request, Target};
use flamingopost_core::statement::{SessionState, Statement};
use serde::{Deserialize, Serialize};

/// `GET /v1/explain?service=&caller=&sql=` on an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The caller's role.
    pub role: String,
    /// `read` or `write`.
    pub access: String,
    /// Tables that the statement touches.
    pub tables: BTreeSet<String>,
    /// The tag of its marker.
    pub tag: Option<String>,
    /// What it leaves on its connection: `unchanged`, `tracked` or `pinned`.
    pub session_state: String,
    /// What in its marker cannot be understood.
    pub mistake: Option<String>,
    /// The rule that applies; absent where none matches.
    pub rule: Option<Rule>,
    /// The treatment that follows.
    pub treatment: Treatment,
    /// Where it would go now; absent where nobody has looked.
    pub route: Option<Route>,
}

/// A rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// Its line in the configuration.
    pub line: usize,
}

/// A treatment, with what the marker asks taken into account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Treatment {
    /// `primary` or `replica`.
    pub target: String,
    /// Greatest data age in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Class.
    pub class: String,
    /// Weight of the class.
    pub weight: u32,
    /// Retries.
    pub retries: u8,
    /// Wait before a second copy, in milliseconds.
    pub hedge_ms: Option<u64>,
    /// Most requests a second at one entry host.
    pub rate: Option<u32>,
    /// `primary` or `replica`.
    pub ack: String,
    /// Why it is refused.
    pub refuse: Option<String>,
}

/// Where a statement would go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Route {
    /// To a server.
    Go {
        /// The server.
        server: String,
        /// What it is: `primary of TERM` or `replica`.
        part: String,
    },
    /// Nowhere yet.
    Wait {
        /// When it would look again.
        wait_ms: u64,
    },
    /// Nowhere.
    Refuse {
        /// SQLSTATE of the refusal.
        sqlstate: String,
        /// Its message.
        message: String,
    },
}

impl Explanation {
    /// What `index` decides for `statement` from `caller` to `service`; the route is left out.
    /// `None` when the fleet does not have them.
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
    /// let explanation = Explanation::new(&index, &Directory::default(), "ledger", "clerk", &statement);
    /// assert_eq!(explanation, None);
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
