//! The platform's host list, which lags behind.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// A host on the list: an entry host or the host of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address of the host, `IP:PORT`.
    pub address: String,
    /// State reported by the platform.
    pub state: State,
}

/// State of a host as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host runs, or ran a while ago.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// The host list. It lags behind: it is a hint and never evidence that a host is gone.
#[async_trait]
pub trait List: Send + Sync {
    /// Reads the list.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;
}
