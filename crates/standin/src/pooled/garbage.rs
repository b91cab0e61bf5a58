//! What another writer puts into the list of servers.

use serde_json::json;

use super::site::Site;

/// Table in which servers register themselves.
const SERVERS: &str = "servers";

/// Bytes that are no base64.
const UNREADABLE: &str = "%%%";

/// Id under which another writer puts an entry of its own.
const STRANGER: &str = "ledger-0";

/// What another writer puts into the list of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Garbage {
    /// Bytes that nobody can read, under an id of its own.
    Stranger,
    /// The same in place of the server's entry.
    Unreadable,
    /// The server's entry in a state that nobody knows.
    UnknownState,
    /// The server's entry of a start before the present one, leading and about to leave.
    FormerStart,
}

impl Site {
    /// Another writer puts `what` into the list, in place of the entry of `server` or beside it.
    pub fn spoil(&self, server: &str, what: Garbage) {
        let mut entry = self.newest_entry(server);
        match what {
            Garbage::Stranger => self.overwrite(SERVERS, "", STRANGER, UNREADABLE),
            Garbage::Unreadable => self.overwrite(SERVERS, "", server, UNREADABLE),
            Garbage::UnknownState => {
                entry["state"] = json!("resting");
                self.put_entry(server, &entry);
            }
            Garbage::FormerStart => {
                let born = entry["born"].as_u64().unwrap_or_default();
                entry["born"] = json!(born.saturating_sub(1));
                entry["state"] = json!("draining");
                entry["reported_role"] = json!("primary");
                self.put_entry(server, &entry);
            }
        }
    }

    /// What another writer has put into the list goes, and `server` writes its entry anew.
    pub fn mend(&self, server: &str) {
        self.remove(SERVERS, "", STRANGER);
        self.register(server);
    }
}
