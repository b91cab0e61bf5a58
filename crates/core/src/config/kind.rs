//! The kinds of sections and the keys of each.

/// A kind of section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Kind {
    /// fleet
    Fleet,
    /// zone
    Zone,
    /// customer
    Customer,
    /// class
    Class,
    /// service
    Service,
    /// server
    Server,
    /// caller
    Caller,
    /// rule
    Rule,
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

    /// The kind called `word`.
    pub fn find(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.to_string() == word)
    }

    /// Whether its sections have names.
    pub fn is_named(self) -> bool {
        self != Kind::Fleet
    }

    /// Keys that its sections may have.
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
