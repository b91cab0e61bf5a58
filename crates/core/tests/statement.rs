//! What statements are taken for.

use std::time::Duration;

use flamingopost_core::rule::Access;
use flamingopost_core::statement::{self, Action, Cache, MarkerError, SessionState};

fn tables(sql: &str) -> Vec<String> {
    let statement = statement::classify(sql);
    statement.tables().iter().cloned().collect()
}

#[test]
fn statements_that_only_read_are_classified_as_reads() {
    let reads = [
        "SELECT * FROM lots",
        "select count(*), max(price) from lots where closes > now()",
        "WITH cheap AS (SELECT * FROM lots) SELECT * FROM cheap",
        "VALUES (1), (2)",
        "SELECT * FROM (TABLE lots) x",
        "SHOW search_path",
        "EXPLAIN SELECT * FROM lots",
        "SELECT * FROM group_status()",
        "COPY lots TO STDOUT",
        "COPY (SELECT * FROM lots) TO STDOUT",
        "BEGIN READ ONLY",
        "START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY",
        "DECLARE c CURSOR FOR SELECT * FROM lots",
        "SELECT $1::int + $2",
        "SELECT pg_catalog.lower(name), to_char(now(), 'YYYY'), jsonb_agg(x) FROM lots",
        "SET search_path TO x",
        "",
        ";",
    ];
    for sql in reads {
        assert_eq!(statement::classify(sql).access(), Access::Read, "{sql}");
    }
}

#[test]
fn statements_that_may_write_are_classified_as_writes() {
    let writes = [
        "INSERT INTO bids VALUES (1)",
        "UPDATE lots SET price = 1",
        "DELETE FROM lots",
        "MERGE INTO lots USING bids ON lots.id = bids.lot WHEN MATCHED THEN DELETE",
        "SELECT * FROM lots FOR UPDATE",
        "SELECT * FROM (SELECT * FROM lots FOR SHARE) x",
        "SELECT nextval('lots_id')",
        "SELECT pg_advisory_xact_lock(1)",
        "SELECT my_function()",
        "SELECT * FROM my_function()",
        "SELECT public.lower(name) FROM lots",
        "SELECT * FROM lots WHERE id = (SELECT settle(1))",
        "WITH gone AS (DELETE FROM lots RETURNING *) SELECT * FROM gone",
        "SELECT * INTO copy FROM lots",
        "EXPLAIN ANALYZE INSERT INTO bids VALUES (1)",
        "COPY lots FROM STDIN",
        "COPY lots TO '/tmp/x'",
        "CREATE TABLE x (id int)",
        "CREATE TABLE x AS SELECT * FROM lots",
        "TRUNCATE lots",
        "VACUUM",
        "LOCK TABLE lots",
        "NOTIFY hammer",
        "CALL settle(1)",
        "DO $$ BEGIN PERFORM settle(1); END $$",
        "EXECUTE place_bid(1)",
        "BEGIN",
        "SELECT 1; DELETE FROM lots",
        "GRANT SELECT ON lots TO x",
        "TABLE lots",
        "this is no SQL",
    ];
    for sql in writes {
        assert_eq!(statement::classify(sql).access(), Access::Write, "{sql}");
    }
}

#[test]
fn tables_are_the_touched_relations_only() {
    assert_eq!(
        tables("SELECT * FROM lots JOIN public.bids USING (id)"),
        ["bids", "lots"]
    );
    assert_eq!(
        tables("WITH c AS (SELECT * FROM lots) SELECT * FROM c"),
        ["lots"]
    );
    assert_eq!(
        tables("INSERT INTO Bids SELECT * FROM audit.lots"),
        ["audit.lots", "bids"]
    );
    assert_eq!(tables("SELECT * FROM generate_series(1, 3)"), [""; 0]);
    assert_eq!(tables("UPDATE \"Lots\" SET a = 1"), ["Lots"]);
    assert_eq!(tables("COPY lots FROM STDIN"), ["lots"]);
    assert_eq!(tables("TRUNCATE lots"), ["lots"]);
    assert_eq!(tables("SELECT * FROM (TABLE lots) x"), ["lots"]);
    assert_eq!(tables("DELETE FROM lots USING bids"), ["bids", "lots"]);
}

#[test]
fn transaction_and_session_statements_have_their_own_actions() {
    let cases = [
        ("BEGIN", Action::Begin { read_only: false }),
        ("begin work read only;", Action::Begin { read_only: true }),
        ("START TRANSACTION", Action::Begin { read_only: false }),
        ("COMMIT", Action::Commit { chain: false }),
        ("END", Action::Commit { chain: false }),
        ("COMMIT AND CHAIN", Action::Commit { chain: true }),
        ("ROLLBACK", Action::Rollback { chain: false }),
        ("SAVEPOINT a", Action::Savepoint),
        ("RELEASE SAVEPOINT a", Action::Savepoint),
        ("ROLLBACK TO SAVEPOINT a", Action::Savepoint),
        ("COPY lots FROM STDIN", Action::CopyIn),
        ("COPY lots TO STDOUT", Action::CopyOut),
        (
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            Action::DeclareCursor { hold: true },
        ),
        (
            "DECLARE c CURSOR FOR SELECT 1",
            Action::DeclareCursor { hold: false },
        ),
        (
            "SHOW flamingopost.position",
            Action::Show {
                name: "flamingopost.position".into(),
            },
        ),
        ("RESET ALL", Action::Reset { name: None }),
        (
            "RESET search_path",
            Action::Reset {
                name: Some("search_path".into()),
            },
        ),
        (
            "EXECUTE place_bid(1)",
            Action::Execute {
                name: "place_bid".into(),
            },
        ),
        (
            "DEALLOCATE place_bid",
            Action::Deallocate {
                name: Some("place_bid".into()),
            },
        ),
        ("DEALLOCATE ALL", Action::Deallocate { name: None }),
        ("DISCARD ALL", Action::Discard { all: true }),
        ("DISCARD TEMP", Action::Discard { all: false }),
        (
            "LISTEN hammer",
            Action::Listen {
                channel: "hammer".into(),
            },
        ),
        ("CREATE TEMP TABLE x (id int)", Action::CreateTemporary),
    ];
    for (sql, action) in cases {
        assert_eq!(statement::classify(sql).action(), Some(&action), "{sql}");
    }
}

#[test]
fn set_statements_keep_their_value_and_a_text_to_replay() {
    let set = |sql: &str| match statement::classify(sql).action() {
        Some(Action::Set {
            name,
            value,
            local,
            text,
        }) => (
            name.clone(),
            value.clone().unwrap_or_default(),
            *local,
            text.clone(),
        ),
        other => panic!("{sql} is taken for {other:?}"),
    };
    let (name, value, local, text) = set("SET flamingopost.position = '3.7/18890'");
    assert_eq!(
        (name.as_str(), value.as_str(), local),
        ("flamingopost.position", "3.7/18890", false)
    );
    assert_eq!(text, "SET flamingopost.position = '3.7/18890'");
    assert!(set("SET LOCAL statement_timeout = 5").2);
    assert!(!set("SET SESSION statement_timeout TO 5").2);
    assert_eq!(set("SET TIME ZONE 'UTC'").0, "timezone");
    assert_eq!(set("SET search_path TO a, b").1, "");
}

#[test]
fn session_state_is_tracked_or_pinned() {
    let cases = [
        ("SELECT 1", SessionState::Unchanged),
        ("SET LOCAL a.b = 1", SessionState::Unchanged),
        (
            "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE",
            SessionState::Unchanged,
        ),
        ("SELECT pg_advisory_xact_lock(1)", SessionState::Unchanged),
        ("SET search_path = x", SessionState::Tracked),
        ("PREPARE a AS SELECT 1", SessionState::Tracked),
        ("DISCARD ALL", SessionState::Tracked),
        ("CREATE TEMPORARY TABLE x AS SELECT 1", SessionState::Pinned),
        ("CREATE TEMP VIEW v AS SELECT 1", SessionState::Pinned),
        ("SELECT 1 INTO TEMP x", SessionState::Pinned),
        ("LISTEN hammer", SessionState::Pinned),
        ("SELECT pg_advisory_lock(1)", SessionState::Pinned),
        (
            "SELECT pg_try_advisory_lock(1) FROM lots",
            SessionState::Pinned,
        ),
        ("SELECT set_config('a.b', 'c', false)", SessionState::Pinned),
        (
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            SessionState::Pinned,
        ),
        (
            "SET search_path = x; CREATE TEMP TABLE y (a int)",
            SessionState::Pinned,
        ),
        ("CREATE TABLE pg_temp.x (a int)", SessionState::Pinned),
        ("SELECT * FROM pg_temp.x", SessionState::Pinned),
        ("no SQL at all", SessionState::Pinned),
        ("BEGIN READ ONLY DEFERRABLE", SessionState::Pinned),
        ("TABLE lots", SessionState::Unchanged),
        (
            "INSERT INTO lots VALUES (1) NOT YET",
            SessionState::Unchanged,
        ),
        ("SELECT 1 FOR NO KEY UPDATE", SessionState::Unchanged),
        (
            "SELECT 1 FOR NO KEY UPDATE; SET a.b = 1",
            SessionState::Pinned,
        ),
        (
            "SELECT pg_advisory_lock(1) FOR NO KEY UPDATE",
            SessionState::Pinned,
        ),
    ];
    for (sql, state) in cases {
        assert_eq!(statement::classify(sql).session_state(), state, "{sql}");
    }
}

#[test]
fn a_simple_query_of_several_statements_has_as_many_parts() {
    let statement = statement::classify("BEGIN; INSERT INTO bids VALUES (1); COMMIT;");
    let actions: Vec<_> = statement.parts().iter().map(|part| &part.action).collect();
    assert_eq!(
        actions,
        [
            &Action::Begin { read_only: false },
            &Action::Query,
            &Action::Commit { chain: false }
        ]
    );
    assert_eq!(statement.action(), None);
    assert!(statement::classify(" ; ").parts().is_empty());
}

#[test]
fn a_marker_is_read_at_either_end() {
    let marker = "/* flamingopost: tag=bid key=abc123 deadline_ms=200 max_age_ms=500 */";
    let texts = [
        format!("{marker} SELECT 1"),
        format!("  {marker}SELECT 1"),
        format!("SELECT 1 {marker}"),
        format!("SELECT 1; {marker} ;\n"),
    ];
    for sql in texts {
        let statement = statement::classify(&sql);
        assert_eq!(statement.tag(), Some("bid"), "{sql}");
        assert_eq!(statement.marker.key.as_deref(), Some("abc123"));
        assert_eq!(statement.marker.deadline, Some(Duration::from_millis(200)));
        assert_eq!(statement.marker.max_age, Some(Duration::from_millis(500)));
        assert_eq!(statement.marker.error, None);
        assert_eq!(statement.access(), Access::Read);
    }
    let inside = statement::classify("SELECT '/* flamingopost: tag=bid */'");
    assert_eq!(inside.tag(), None);
}

// A caller misspells `key` in its marker and later sends the bid again after a lost answer. Were
// the marker passed over in silence, the bid would run without its key and then a second time.
#[test]
fn an_invalid_marker_carries_its_error() {
    let error = |text: &str| {
        statement::classify(&format!("/* flamingopost: {text} */ SELECT 1"))
            .marker
            .error
    };
    assert_eq!(error("kye=a"), Some(MarkerError::UnknownName("kye".into())));
    assert_eq!(error("tag"), Some(MarkerError::NotAPair("tag".into())));
    assert_eq!(
        error("tag=a tag=b"),
        Some(MarkerError::Duplicate("tag".into()))
    );
    assert_eq!(error("key="), Some(MarkerError::Empty("key".into())));
    let name = "deadline_ms".to_owned();
    assert_eq!(
        error("deadline_ms=soon"),
        Some(MarkerError::NotMilliseconds {
            name,
            value: "soon".into()
        })
    );
    assert_eq!(error("tag=a"), None);
}

#[test]
fn the_cache_agrees_with_the_parser_and_stays_bounded() {
    let mut cache = Cache::new(8);
    for round in 0..100 {
        let sql = format!(
            "/* flamingopost: key={round} */ SELECT * FROM lots{}",
            round % 20
        );
        assert_eq!(cache.classify(&sql), statement::classify(&sql));
        assert!(cache.len() <= 8);
    }
    let before = cache.len();
    let long = format!("SELECT '{}'", "x".repeat(10_000));
    cache.classify(&long);
    assert_eq!(cache.len(), before);
}

#[test]
fn texts_that_differ_only_in_literals_share_an_entry() {
    let mut cache = Cache::new(8);
    for id in 0..50 {
        let sql = format!("SELECT * FROM lots WHERE id = {id} AND name = 'car {id}'");
        assert_eq!(cache.classify(&sql), statement::classify(&sql));
    }
    cache.classify("SELECT * FROM lots WHERE id = 7 AND name = 'car';\n");
    assert_eq!(cache.len(), 1);
    for sql in [
        "SELECT * FROM lots2",
        "SELECT * FROM lots3",
        "SET a.b = '1'",
        "SET a.b = '2'",
    ] {
        assert_eq!(cache.classify(sql), statement::classify(sql));
    }
    assert_eq!(cache.len(), 5);
}

// One caller sends a text with a literal that the parser cannot read, and every other caller's
// statement of that form would be sent to the primary from then on.
#[test]
fn an_unparsable_text_does_not_decide_for_parsable_ones() {
    let mut cache = Cache::new(8);
    for sql in [
        "SELECT * FROM lots WHERE name = 'a",
        "SELECT * FROM lots WHERE name = 'a' 'b'c",
    ] {
        assert_eq!(cache.classify(sql).access(), Access::Write, "{sql}");
    }
    let sql = "SELECT * FROM lots WHERE name = 'a'";
    assert_eq!(cache.classify(sql).access(), Access::Read);
}

// A co-op creates a function make_booking(), whose name starts like make_date(). Taken for a read, its
// call would be sent to a replica, tried again and hedged: two bookings.
#[test]
fn a_function_named_like_a_built_in_one_may_write() {
    for name in [
        "make_booking",
        "to_settle",
        "has_paid",
        "date_hammer",
        "st_release",
        "json_store",
    ] {
        let statement = statement::classify(&format!("SELECT {name}(1)"));
        assert_eq!(statement.access(), Access::Write, "{name}");
    }
}
