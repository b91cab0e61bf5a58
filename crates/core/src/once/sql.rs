//! Statements that keep the record of keys on a backend server.

/// Creates the record where a service has none yet.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS flamingopost_once (\
     key text PRIMARY KEY, request text NOT NULL, tag text NOT NULL, \
     at timestamp NOT NULL DEFAULT CURRENT_TIMESTAMP)";

/// Ends a transaction that is to leave nothing.
pub const ROLLBACK: &str = "ROLLBACK";

/// SQLSTATE of a key that is recorded already.
pub const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE of a record that was never created.
pub const UNDEFINED_TABLE: &str = "42P01";

/// Begins the transaction and records the key, with a digest of the request.
///
/// ```
/// use flamingopost_core::once::sql;
///
/// let text = sql::begin("bid-77", "9f2c");
/// assert!(text.starts_with("BEGIN; INSERT INTO flamingopost_once"));
/// ```
pub fn begin(key: &str, request: &str) -> String {
    format!(
        "BEGIN; INSERT INTO flamingopost_once (key, request, tag) VALUES ({}, {}, '')",
        literal(key),
        literal(request)
    )
}

/// Stores the command tag of the request and commits it with its effect.
pub fn commit(key: &str, tag: &str) -> String {
    format!(
        "UPDATE flamingopost_once SET tag = {} WHERE key = {}; COMMIT",
        literal(tag),
        literal(key)
    )
}

/// Looks up what was recorded for the key.
pub fn look_up(key: &str) -> String {
    format!(
        "SELECT request, tag FROM flamingopost_once WHERE key = {}",
        literal(key)
    )
}

/// A string literal that reads the same whatever `standard_conforming_strings` says: a backslash
/// is only special in the E form, and is doubled there.
fn literal(text: &str) -> String {
    let quoted = text.replace('\'', "''");
    if quoted.contains('\\') {
        format!("E'{}'", quoted.replace('\\', "\\\\"))
    } else {
        format!("'{quoted}'")
    }
}
