//! The platform's lagging list of hosts.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// One host on the list: an entry host or a backend server's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Its address, `IP:PORT`.
    pub address: String,
    /// What the platform says of it.
    pub state: State,
}

/// What the platform says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs, or did a while ago.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// The list of hosts. It lags: it is a hint and never evidence that a host is gone.
#[async_trait]
pub trait List: Send + Sync {
    /// Reads the list.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;
}
