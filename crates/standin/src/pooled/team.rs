//! Teams of a stand-in platform.

use serde_json::{Value, json};

/// A team in the operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name, which servers are told.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Operations per second over all hosts, and the burst beyond them. Not limited if absent.
    pub limit: Option<(u32, u32)>,
}

impl Team {
    /// Creates a team that is not limited.
    pub fn new(name: &str, keys: &[&str]) -> Team {
        Team {
            name: name.to_owned(),
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            limit: None,
        }
    }

    /// Limits the team to `rate` operations per second with bursts of `burst`.
    pub fn limited(self, rate: u32, burst: u32) -> Team {
        Team {
            limit: Some((rate, burst)),
            ..self
        }
    }

    /// Returns the team as the configuration has it.
    pub(super) fn to_json(&self) -> Value {
        let mut value = json!({"name": self.name, "api_keys": self.keys, "priority": 1});
        if let Some((rate, burst)) = self.limit {
            value["rate_per_s"] = json!(rate);
            value["burst"] = json!(burst);
        }
        value
    }
}
