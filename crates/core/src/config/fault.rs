//! Faults in a configuration and their suggested fixes.

use super::{Expected, Kind};

/// A fault in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Fault {
    /// the configuration is {bytes} bytes long
    TooLong {
        /// Length of the configuration.
        bytes: usize,
    },
    /// `{text}` is not a section heading
    Heading {
        /// Text of the line.
        text: String,
    },
    /// `{text}` has no value
    NoValue {
        /// Text of the line.
        text: String,
    },
    /// `{key}` comes before the first section
    OutsideSection {
        /// The key.
        key: String,
    },
    /// a comment starts with `#`
    HashComment,
    /// a comment follows the value of `{key}`
    TrailingComment {
        /// The key.
        key: String,
    },
    /// there is no kind of section called `{kind}`
    UnknownKind {
        /// The kind.
        kind: String,
        /// The most similar kind, if one is similar enough.
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
        /// The most similar key, if one is similar enough.
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
        /// The kind of value that the key takes.
        expected: Expected,
    },
    /// `{key}` is zero
    Zero {
        /// The key.
        key: String,
        /// The kind of value that the key takes.
        expected: Expected,
    },
    /// `{key}` names the {kind} `{name}`, which is not described
    UnknownName {
        /// The key.
        key: String,
        /// Kind of the section that the name refers to.
        kind: Kind,
        /// The name.
        name: String,
        /// The most similar name, if one is similar enough.
        nearest: Option<String>,
    },
    /// no caller has the role `{role}`
    UnknownRole {
        /// The role.
        role: String,
        /// The most similar role, if one is similar enough.
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
        /// Number of slots.
        slots: u16,
        /// Number of connections.
        connections: u16,
    },
    /// the configuration contains a password
    PlainPassword,
    /// the verifier is an MD5 hash
    Md5Verifier,
    /// the verifier is not a SCRAM-SHA-256 verifier: {reason}
    BadVerifier {
        /// The fault in the verifier.
        reason: VerifierFault,
    },
    /// `{setting}` has no effect without `{needs}`
    Needs {
        /// The setting.
        setting: String,
        /// The setting that it needs.
        needs: String,
    },
    /// `{setting}` contradicts `{other}`
    Contradicts {
        /// The setting.
        setting: String,
        /// The setting that it contradicts.
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
    /// no request reaches rule `{rule}`: rule `{by}` on line {line} matches all of them first
    Unreachable {
        /// The rule.
        rule: String,
        /// The earlier rule.
        by: String,
        /// Line of the earlier rule.
        line: usize,
    },
}

/// A fault in a verifier.
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
    /// Returns how to fix the fault.
    pub fn fix(&self) -> String {
        match self {
            Fault::TooLong { .. } => format!("keep it under {} bytes", super::MAX_BYTES),
            Fault::Heading { .. } => "write `[KIND NAME]` on a line of its own".to_owned(),
            Fault::NoValue { text } => format!("write `{text} = VALUE`, or start it with `;`"),
            Fault::OutsideSection { .. } => "put it below a section heading".to_owned(),
            Fault::HashComment => "start it with `;`".to_owned(),
            Fault::TrailingComment { .. } => "put the comment on a line of its own".to_owned(),
            Fault::UnknownKind { nearest, .. } => suggest_from(nearest, "kind", &kinds()),
            Fault::Unnamed { kind } => format!("write `[{kind} NAME]`"),
            Fault::Named { kind, .. } => format!("write `[{kind}]`"),
            Fault::BadName { .. } => format!("write {}", Expected::Name),
            Fault::DuplicateSection { .. } => "rename one of them, or remove one".to_owned(),
            Fault::DuplicateKey { .. } => "keep one of them".to_owned(),
            Fault::UnknownKey { kind, nearest, .. } => suggest_from(nearest, "key", kind.keys()),
            Fault::MissingKey { key, .. } => format!("add `{key} = ...`"),
            Fault::MissingKind { kind } => format!("add `[{kind} NAME]`"),
            Fault::NoDefaultClass => {
                "add `default_class = CLASS` to `[fleet]`, or a `[class default]`".to_owned()
            }
            Fault::BadValue { expected, .. } | Fault::Zero { expected, .. } => {
                format!("write {expected}")
            }
            Fault::UnknownName { kind, nearest, .. } => suggest_name(nearest, &kind.to_string()),
            Fault::UnknownRole { nearest, .. } => suggest_name(nearest, "role"),
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

/// Returns the names of all kinds of sections.
fn kinds() -> Vec<String> {
    Kind::ALL.iter().map(Kind::to_string).collect()
}

/// Suggests the nearest of the allowed words, or else all of them.
fn suggest_from<S: AsRef<str>>(nearest: &Option<String>, what: &str, all: &[S]) -> String {
    match nearest {
        Some(nearest) => format!("write `{nearest}`, the nearest {what} there is"),
        None => {
            let all: Vec<&str> = all.iter().map(AsRef::as_ref).collect();
            format!("write one of: {}", all.join(", "))
        }
    }
}

/// Suggests the nearest declared name, or else to declare it.
fn suggest_name(nearest: &Option<String>, what: &str) -> String {
    match nearest {
        Some(nearest) => format!("write `{nearest}`, the nearest {what} there is"),
        None => format!("describe that {what}, or name one that is described"),
    }
}
