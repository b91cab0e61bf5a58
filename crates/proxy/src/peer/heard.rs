//! Contact of a host with another one, as reported to a third.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// When a host last heard from another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Name of the host that was heard.
    pub host: String,
    /// Time since then, in milliseconds.
    age: u32,
}

impl Heard {
    /// Reports that `host` was last heard `age` ago.
    pub fn new(host: String, age: Duration) -> Heard {
        Heard {
            host,
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the time since the host was last heard.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age))
    }
}
