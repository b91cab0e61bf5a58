//! How a request is treated: the rule that applies to it, worked out for this request.

use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::key::CallerKey;
use flamingopost_core::refusal::Refusal;
use flamingopost_core::rule::{Request as Matched, Then};
use flamingopost_core::statement::Statement;

use crate::account::{Book, Owner};
use crate::context::Context;
use crate::gate::Asker;
use crate::request::Request;
use crate::service::Service;

/// When to come back while the host has no configuration.
const CONFIGURATION: Duration = Duration::from_secs(1);
/// Name of the marker comment in refusals.
const MARKER: &str = "flamingopost marker";

/// How one request is treated.
pub struct Treatment {
    /// The rule's treatment.
    pub then: Then,
    /// When the request arrived.
    pub arrived: Duration,
    /// When it has to be answered.
    pub deadline: Duration,
    /// Greatest age of data that the caller stated with the statement.
    pub max_age: Option<Duration>,
    /// Who asks, for admission.
    pub asker: Asker,
    /// Where it is accounted.
    pub book: Arc<Book>,
    /// Key by which a resubmission is known.
    pub key: Option<String>,
}

/// The steps of the chain that need no server: match rules, then what they refuse. `tag` is the
/// session's, for a statement whose marker has none.
///
/// # Errors
/// The rule or its rate refuses the request, or its marker cannot be understood.
pub fn choose(
    context: &Context,
    service: &Service,
    caller: CallerKey,
    request: &Request,
    tag: Option<&str>,
    arrived: Duration,
) -> Result<Treatment, Refusal> {
    let rules = context.rules().ok_or(Refusal::NoServer {
        retry_after: CONFIGURATION,
    })?;
    let nothing;
    let statement = match request.statement() {
        Some(statement) => statement,
        None => {
            nothing = context.classify("");
            &nothing
        }
    };
    check_marker(statement)?;
    let statement = statement.with_default_tag(tag);
    let statement = statement.as_ref();
    let fleet = rules.index.fleet();
    let role = fleet.callers.get(&caller);
    let choice = rules.index.choose(&Matched {
        service: service.key,
        caller,
        role: role.map_or("", |caller| &caller.role),
        statement,
    });
    let name = |rule: usize| fleet.rules[rule].name.clone();
    if let (Some(rule), Some(reason)) = (choice.rule, &choice.then.refuse) {
        return Err(Refusal::RuleRefuses {
            rule: name(rule),
            reason: reason.clone(),
        });
    }
    if let (Some(rule), Some(rate)) = (choice.rule, choice.then.rate) {
        let passed = context.rates.take(rules.version, rule, rate, arrived);
        passed.map_err(|retry_after| Refusal::RateLimited {
            rule: name(rule),
            retry_after,
        })?;
    }
    let customer = match (role, fleet.services.get(&service.key)) {
        (Some(caller), _) => caller.customer,
        (None, Some(service)) => service.customer,
        (None, None) => Default::default(),
    };
    let class = choice.then.class;
    let deadline = arrived + choice.deadline(&statement.marker);
    let weight = fleet.classes.get(&class).map_or(1, |class| class.weight);
    let share = fleet.customers.get(&customer);
    let owner = Owner {
        service: service.key,
        customer,
        class,
    };
    Ok(Treatment {
        arrived,
        deadline,
        max_age: statement.marker.max_age,
        asker: Asker {
            class,
            weight,
            customer,
            share: share.map_or(1, |customer| customer.weight),
            deadline,
        },
        book: context.accounts.book(owner, || context.shared.directory()),
        key: statement.marker.key.clone(),
        then: choice.then.into_owned(),
    })
}

/// A key that was passed over in silence would let a resubmission run twice.
fn check_marker(statement: &Statement) -> Result<(), Refusal> {
    match &statement.marker.error {
        Some(mistake) => Err(Refusal::BadParameter {
            parameter: MARKER,
            value: mistake.to_string(),
        }),
        None => Ok(()),
    }
}
