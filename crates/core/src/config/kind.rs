//! The kinds of sections and their keys.

use std::fmt;

/// A kind of section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Settings of the whole fleet.
    Fleet,
    /// An availability zone.
    Zone,
    /// A customer.
    Customer,
    /// A class of requests.
    Class,
    /// A service.
    Service,
    /// A backend server.
    Server,
    /// A caller.
    Caller,
    /// A when-then rule.
    Rule,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl Kind {
    /// Every kind, in an order in which none refers to a later one.
    pub const ALL: [Kind; 8] = [
        Kind::Fleet,
        Kind::Zone,
        Kind::Customer,
        Kind::Class,
        Kind::Service,
        Kind::Server,
        Kind::Caller,
        Kind::Rule,
    ];

    /// Returns the kind with the name `word`.
    pub fn find(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.word() == word)
    }

    fn word(self) -> &'static str {
        match self {
            Kind::Fleet => "fleet",
            Kind::Zone => "zone",
            Kind::Customer => "customer",
            Kind::Class => "class",
            Kind::Service => "service",
            Kind::Server => "server",
            Kind::Caller => "caller",
            Kind::Rule => "rule",
        }
    }

    /// Reports whether sections of this kind have names.
    pub fn is_named(self) -> bool {
        self != Kind::Fleet
    }

    /// Returns the keys that sections of this kind may have.
    pub fn keys(self) -> &'static [&'static str] {
        match self {
            Kind::Fleet => &["shards", "default_class"],
            Kind::Zone => &["region"],
            Kind::Customer => &["weight"],
            Kind::Class => &["weight", "deadline"],
            Kind::Service => &[
                "customer",
                "primary",
                "slots",
                "connections",
                "connect_cost",
            ],
            Kind::Server => &[
                "service",
                "zone",
                "address",
                "slots",
                "connections",
                "connect_cost",
                "leaving",
            ],
            Kind::Caller => &["verifier", "customer", "role", "services"],
            Kind::Rule => &[
                "when.service",
                "when.caller",
                "when.role",
                "when.access",
                "when.tag",
                "when.table",
                "then.target",
                "then.max_age",
                "then.repeatable",
                "then.deadline",
                "then.class",
                "then.retries",
                "then.hedge",
                "then.rate",
                "then.ack",
                "then.refuse",
            ],
        }
    }
}
