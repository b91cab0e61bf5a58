//! What of a statement's text counts.

/// Whether a server that ran `ran` ran what a caller sent as `sent`: the position to wait for may be
/// added on the way, and the name of a prepared statement changed.
///
/// ```
/// use flamingopost_standin::pooled::is_same_statement;
///
/// assert!(is_same_statement("FETCH car", "WAITLSN 1.7 FETCH car"));
/// assert!(is_same_statement("EXECUTE s1 car", "EXECUTE q9 car"));
/// assert!(!is_same_statement("FETCH car", "FETCH boat"));
/// ```
pub fn is_same_statement(sent: &str, ran: &str) -> bool {
    essence(sent) == essence(ran)
}

/// Whether a statement can only succeed at a server, whose proof its answer then carries.
pub fn is_proved(text: &str) -> bool {
    let verb = text.split(' ').next().unwrap_or_default();
    matches!(verb, "FETCH" | "STORE" | "EXECUTE" | "COMMIT")
}

fn essence(text: &str) -> Vec<&str> {
    let mut words: Vec<&str> = text.split(' ').collect();
    if words.first() == Some(&"WAITLSN") {
        words.drain(..2);
    }
    if words.first() == Some(&"EXECUTE") && words.len() > 1 {
        words.remove(1);
    }
    words
}
