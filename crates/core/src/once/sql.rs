//! Statements for the table of idempotency keys on a backend server.

/// Creates the table of keys if the service has none yet.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS flamingopost_once (\
     key text PRIMARY KEY, request text NOT NULL, tag text NOT NULL, \
     at timestamp NOT NULL DEFAULT CURRENT_TIMESTAMP)";

/// Rolls the transaction back.
pub const ROLLBACK: &str = "ROLLBACK";

/// SQLSTATE for a key that is recorded already.
pub const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE for a table of keys that was never created.
pub const UNDEFINED_TABLE: &str = "42P01";

/// Returns the statements that begin the transaction and record the key with a digest of the
/// request.
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

/// Returns the statements that record the command tag of the request and commit the transaction.
pub fn commit(key: &str, tag: &str) -> String {
    format!(
        "UPDATE flamingopost_once SET tag = {} WHERE key = {}; COMMIT",
        literal(tag),
        literal(key)
    )
}

/// Returns the query for the record of the key.
pub fn look_up(key: &str) -> String {
    format!(
        "SELECT request, tag FROM flamingopost_once WHERE key = {}",
        literal(key)
    )
}

/// Quotes `text` as a string literal that does not depend on `standard_conforming_strings`: a text
/// with backslashes is written in the E form, where they are escaped by doubling.
fn literal(text: &str) -> String {
    let quoted = text.replace('\'', "''");
    if quoted.contains('\\') {
        format!("E'{}'", quoted.replace('\\', "\\\\"))
    } else {
        format!("'{quoted}'")
    }
}
