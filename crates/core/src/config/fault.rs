//! What can be wrong in a configuration, and what would be right.

use super::{Expected, Kind};

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Fault {
    /// the configuration is {bytes} bytes long
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// `{text}` is no section heading
    Heading {
        /// The line.
        text: String,
    },
    /// `{text}` has no value
    NoValue {
        /// The line.
        text: String,
    },
    /// `{key}` stands before the first section
    OutsideSection {
        /// The key.
        key: String,
    },
    /// a comment starts with `#`
    HashComment,
    /// a comment stands behind the value of `{key}`
    TrailingComment {
        /// The key.
        key: String,
    },
    /// there is no kind of section called `{kind}`
    UnknownKind {
        /// The kind.
        kind: String,
        /// The nearest kind there is.
        nearest: Option<String>,
    },
    /// section `[{kind}]` has no name
    Unnamed {
        /// Its kind.
        kind: Kind,
    },
    /// section `[{kind}]` has a name, `{name}`
    Named {
        /// Its kind.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// `{name}` cannot be the name of a {kind}
    BadName {
        /// Its kind.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// {kind} `{name}` was already described on line {first}
    DuplicateSection {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
        /// Line of the first one.
        first: usize,
    },
    /// `{key}` was already given on line {first}
    DuplicateKey {
        /// The key.
        key: String,
        /// Line of the first one.
        first: usize,
    },
    /// a {kind} has no key `{key}`
    UnknownKey {
        /// Kind of the section.
        kind: Kind,
        /// The key.
        key: String,
        /// The nearest key there is.
        nearest: Option<String>,
    },
    /// {kind} `{name}` lacks `{key}`
    MissingKey {
        /// Kind of the section.
        kind: Kind,
        /// Its name.
        name: String,
        /// The key.
        key: &'static str,
    },
    /// there is no section of kind `{kind}`
    MissingKind {
        /// The kind.
        kind: Kind,
    },
    /// there is no class for requests that no rule matches
    NoDefaultClass,
    /// `{key}` cannot be `{value}`
    BadValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// What it has to be.
        expected: Expected,
    },
    /// `{key}` is zero
    Zero {
        /// The key.
        key: String,
        /// What it has to be.
        expected: Expected,
    },
    /// `{key}` names the {kind} `{name}`, which is not described
    UnknownName {
        /// The key.
        key: String,
        /// Kind of what it names.
        kind: Kind,
        /// The name.
        name: String,
        /// The nearest name there is.
        nearest: Option<String>,
    },
    /// no caller has the role `{role}`
    UnknownRole {
        /// The role.
        role: String,
        /// The nearest role there is.
        nearest: Option<String>,
    },
    /// service `{service}` has no servers
    NoServers {
        /// The service.
        service: String,
    },
    /// `primary` names server `{server}`, which serves another service
    ForeignPrimary {
        /// The server.
        server: String,
        /// The servers of the service.
        own: Vec<String>,
    },
    /// address {address} is already that of server `{other}` on line {first}
    DuplicateAddress {
        /// The address.
        address: String,
        /// The other server.
        other: String,
        /// Line of the other address.
        first: usize,
    },
    /// {slots} slots cannot be used through {connections} connections
    SlotsBeyondConnections {
        /// Slots.
        slots: u16,
        /// Connections.
        connections: u16,
    },
    /// a password stands in the configuration
    PlainPassword,
    /// the verifier is an MD5 hash
    Md5Verifier,
    /// the verifier is no SCRAM-SHA-256 verifier: {reason}
    BadVerifier {
        /// What is wrong in it.
        reason: VerifierFault,
    },
    /// `{setting}` has no effect without `{needs}`
    Needs {
        /// What is set.
        setting: String,
        /// What it needs.
        needs: String,
    },
    /// `{setting}` contradicts `{other}`
    Contradicts {
        /// What is set.
        setting: String,
        /// What it contradicts.
        other: String,
    },
    /// `{key}` of {time} is not before the deadline of {deadline}
    PastDeadline {
        /// The key.
        key: &'static str,
        /// Its time.
        time: String,
        /// The deadline.
        deadline: String,
    },
    /// no request reaches rule `{rule}`: rule `{by}` on line {line} matches them all before
    Unreachable {
        /// The rule.
        rule: String,
        /// The earlier rule.
        by: String,
        /// Line of the earlier rule.
        line: usize,
    },
}

/// What is wrong in a verifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum VerifierFault {
    /// it does not have the form SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER
    Form,
    /// fewer than 4096 iterations
    Iterations,
    /// its salt is not base64 or is empty
    Salt,
    /// its keys are not 32 bytes of base64 each
    Keys,
}

impl Fault {
    /// What would be right.
    pub fn fix(&self) -> String {
        match self {
            Fault::TooLong { .. } => format!("keep it under {} bytes", super::MAX_BYTES),
            Fault::Heading { .. } => "write `[KIND NAME]` on a line of its own".to_owned(),
            Fault::NoValue { text } => format!("write `{text} = VALUE`, or start it with `;`"),
            Fault::OutsideSection { .. } => "put it below a section heading".to_owned(),
            Fault::HashComment => "start it with `;`".to_owned(),
            Fault::TrailingComment { .. } => "put the comment on a line of its own".to_owned(),
            Fault::UnknownKind { nearest, .. } => suggest_one_of(nearest, "kind", &kinds()),
            Fault::Unnamed { kind } => format!("write `[{kind} NAME]`"),
            Fault::Named { kind, .. } => format!("write `[{kind}]`"),
            Fault::BadName { .. } => format!("write {}", Expected::Name),
            Fault::DuplicateSection { .. } => "rename one of them, or remove one".to_owned(),
            Fault::DuplicateKey { .. } => "keep one of them".to_owned(),
            Fault::UnknownKey { kind, nearest, .. } => suggest_one_of(nearest, "key", kind.keys()),
            Fault::MissingKey { key, .. } => format!("add `{key} = ...`"),
            Fault::MissingKind { kind } => format!("add `[{kind} NAME]`"),
            Fault::NoDefaultClass => {
                "add `default_class = CLASS` to `[fleet]`, or a `[class default]`".to_owned()
            }
            Fault::BadValue { expected, .. } | Fault::Zero { expected, .. } => {
                format!("write {expected}")
            }
            Fault::UnknownName { kind, nearest, .. } => {
                suggest_declared(nearest, &kind.to_string())
            }
            Fault::UnknownRole { nearest, .. } => suggest_declared(nearest, "role"),
            Fault::NoServers { service } => {
                format!("add a `[server NAME]` with `service = {service}`, or remove the service")
            }
            Fault::ForeignPrimary { own, .. } => format!("write one of: {}", own.join(", ")),
            Fault::DuplicateAddress { .. } => "give each server an address of its own".to_owned(),
            Fault::SlotsBeyondConnections { slots, .. } => {
                format!("allow at least {slots} connections, or fewer slots")
            }
            Fault::PlainPassword | Fault::Md5Verifier | Fault::BadVerifier { .. } => {
                "write `verifier = ...` with what `flamingopostctl verifier` prints".to_owned()
            }
            Fault::Needs { setting, needs } => format!("add `{needs}`, or remove `{setting}`"),
            Fault::Contradicts { .. } => "keep one of them".to_owned(),
            Fault::PastDeadline { key, deadline, .. } => {
                format!("set `{key}` to less than {deadline}, or raise the deadline")
            }
            Fault::Unreachable { by, .. } => {
                format!("move it above `{by}`, narrow `{by}`, or remove it")
            }
        }
    }
}

fn kinds() -> Vec<String> {
    Kind::ALL.iter().map(Kind::to_string).collect()
}

fn suggest_one_of<S: AsRef<str>>(nearest: &Option<String>, what: &str, all: &[S]) -> String {
    match nearest {
        Some(nearest) => format!("write `{nearest}`, the nearest {what} there is"),
        None => {
            let all: Vec<&str> = all.iter().map(AsRef::as_ref).collect();
            format!("write one of: {}", all.join(", "))
        }
    }
}

fn suggest_declared(nearest: &Option<String>, what: &str) -> String {
    match nearest {
        Some(nearest) => format!("write `{nearest}`, the nearest {what} there is"),
        None => format!("describe that {what}, or name one that is described"),
    }
}
