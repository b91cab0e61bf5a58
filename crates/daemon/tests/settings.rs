//! Settings files: all problems are reported at once, each with its line and a fix.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use flamingopost_daemon::log::{Format, Level};
use flamingopost_daemon::settings::{ProblemKind, Reader};
use flamingopost_daemon::value::Value;
use proptest::prelude::*;

const WRONG: &str = "[host]
name =
drain = 30
[listen]
callers = localhost:6432
caller = 10.1.0.11:6432
[limit]
callers = 5
[log]
level = loud
level = info
";

fn read(reader: &mut Reader) -> Option<(String, SocketAddr)> {
    let name = reader.required("host", "name", "dumdum-1");
    let zone: Option<String> = reader.required("host", "zone", "dumdum");
    let callers = reader.required("listen", "callers", "10.1.0.11:6432");
    reader.optional("host", "drain", Duration::from_secs(30));
    reader.optional("limits", "callers", 20_000_usize);
    reader.optional("log", "level", Level::Info);
    reader.optional("log", "format", Format::Text);
    zone?;
    Some((name?, callers?))
}

#[test]
fn all_problems_are_reported_at_once() {
    let mut reader = Reader::parse("entry.ini", WRONG);
    let decoded = read(&mut reader);
    let text = reader.finish(decoded).unwrap_err().to_string();
    let lines: Vec<&str> = text.lines().collect();
    let wanted = [
        "entry.ini:11: `level` appears twice in [log]: keep one",
        "entry.ini:2: [host] lacks `name`: add for example `name = dumdum-1`",
        "entry.ini: [host] lacks `zone`: add for example `zone = dumdum`",
        "entry.ini:5: `callers = localhost:6432` in [listen] is wrong: \
         write an IP address and a port, for example 10.1.2.3:6432",
        "entry.ini:3: `drain = 30` in [host] is wrong: \
         write a time with its unit, for example 250ms, 3s or 5m",
        "entry.ini:8: section [limit] is unknown: remove it, or use one of host, limits, listen, log",
        "entry.ini:6: `caller` is unknown in [listen]: remove it, or use one of callers",
    ];
    for line in wanted {
        assert!(lines.contains(&line), "{line}\nis not in\n{text}");
    }
    assert_eq!(lines.len(), wanted.len(), "{text}");
}

/// Guards against a process that tolerates a problem of a value that it needs.
#[test]
fn only_problems_of_optional_and_unknown_settings_are_tolerated() {
    let valid = "[host]\nname = a\nzone = b\n[listen]\ncallers = 10.1.0.11:6432\n";
    let tolerable = [
        "[log]\nlevel = loud\n",
        "[log]\nlevel = info\nlevel = warn\n",
        "[host]\ndrain = -3s\n",
        "[limits]\ncallers = \"many\n",
        "[listen]\ncaller = 10.1.0.11:6432\n",
        "[limit]\ncallers = 5\n",
    ];
    for added in tolerable {
        let mut reader = Reader::parse("entry.ini", &format!("{valid}{added}"));
        let decoded = read(&mut reader);
        let (_, tolerated) = reader.finish_lenient(decoded).expect(added);
        assert_eq!(tolerated.0.len(), 1, "{added}: {tolerated}");
    }
    let rejected = [
        valid.replace("name = a", "name ="),
        valid.replace("10.1.0.11:6432", "localhost:6432"),
        valid.replace("name = a", "name = a\nname = b"),
        valid.replace("name = a", "name = \"a"),
        format!("{valid}[oops\n"),
        valid.trim_end().to_owned(),
    ];
    for text in rejected {
        let mut reader = Reader::parse("entry.ini", &text);
        let decoded = read(&mut reader);
        assert!(reader.finish_lenient(decoded).is_err(), "{text}");
    }
}

#[test]
fn syntax_errors_are_reported_with_their_line() {
    let mut reader = Reader::parse("entry.ini", "[host]\nname = a\n[oops\n");
    let decoded = read(&mut reader);
    let problems = reader.finish(decoded).unwrap_err().0;
    assert!(
        matches!(problems[0].kind, ProblemKind::Syntax(_)),
        "{problems:?}"
    );
    assert!(problems[0].line >= 3, "{problems:?}");
}

#[test]
fn missing_file_is_reported_as_unreadable() {
    let mut reader = Reader::open(Path::new("no-such-file.ini"));
    let decoded = read(&mut reader);
    let problems = reader.finish(decoded).unwrap_err().0;
    assert!(matches!(problems[0].kind, ProblemKind::Unreadable(_)));
}

#[test]
fn empty_optional_values_take_their_defaults() {
    let text = "[control]\npeers = \nwait =\nrelay = \t\npath =\n";
    let mut reader = Reader::parse("a.ini", text);
    let peers: Vec<SocketAddr> = reader.optional("control", "peers", Vec::new());
    let wait = reader.optional("control", "wait", Duration::from_secs(3));
    let relay = reader.optional("control", "relay", true);
    let path: Option<PathBuf> = reader.maybe("control", "path");
    reader.finish(Some(())).unwrap();
    assert_eq!(
        (peers.len(), wait, relay, path),
        (0, Duration::from_secs(3), true, None)
    );
}

#[test]
fn quoted_texts_are_decoded() {
    let cases = [
        (
            "plain ; text # with = and : 'quotes\" ",
            "plain ; text # with = and : 'quotes\"",
        ),
        (r#""  \"a\" \\ \u00e9 ; # = ""#, "  \"a\" \\ \u{e9} ; # = "),
        (r#""ends with \\""#, "ends with \\"),
        (r#"'a "b" \c'"#, r#"a "b" \c"#),
        (r#""null""#, "null"),
    ];
    for (written, expected) in cases {
        let text = format!("[host]\nname = {written}\nzone = a\n");
        let mut reader = Reader::parse("a.ini", &text);
        let name: Option<String> = reader.required("host", "name", "dumdum-1");
        let zone: Option<String> = reader.required("host", "zone", "dumdum");
        let read = reader.finish(name.zip(zone));
        assert_eq!(read, Ok((expected.to_owned(), "a".to_owned())), "{written}");
    }
}

#[test]
fn invalid_quotes_are_reported() {
    for written in [r#""open"#, r#""""#, r#""a" b"#, r#""a\xb""#, "''", "null"] {
        let mut reader = Reader::parse("a.ini", &format!("[host]\nname = {written}\n"));
        let name: Option<String> = reader.required("host", "name", "dumdum-1");
        let problems = reader.finish(name).unwrap_err().0;
        assert_eq!((problems.len(), problems[0].line), (1, 2), "{problems:?}");
    }
}

/// Guards against a process that runs with a part of a value.
#[test]
fn text_whose_last_value_may_be_cut_off_is_reported() {
    for text in [
        "[host]\nport = 745",
        "[host]\nport = \"745",
        "[host]\nport = '745'",
    ] {
        let mut reader = Reader::parse("a.ini", text);
        let port: Option<u16> = reader.required("host", "port", "7455");
        let problems = reader.finish(port).unwrap_err();
        let cut_off = "a.ini:2: may be cut off: end the last line with a line break";
        assert_eq!(problems.0[0].to_string(), cut_off);
    }
    for text in [
        "[host]\nport = 745\n",
        "[host]\nport = \"745\"",
        "[host]\nport = \"745\" ",
    ] {
        let mut reader = Reader::parse("a.ini", text);
        let port: Option<u16> = reader.required("host", "port", "7455");
        assert_eq!(reader.finish(port), Ok(745));
    }
}

/// Guards against a process that ends without a cause.
#[test]
fn a_rejection_has_at_least_one_problem() {
    let mut reader = Reader::parse("a.ini", "[host]\nports = ,\n");
    let ports: Vec<u16> = reader.optional("host", "ports", Vec::new());
    let problems = reader.finish(ports.first()).unwrap_err();
    assert_eq!(
        problems.to_string(),
        "a.ini: has values that do not fit each other"
    );
}

#[test]
fn lists_and_durations_are_parsed() {
    let text = "[control]\npeers = 10.1.0.1:1, 10.1.0.2:2\nwait = 5m\nrelay = yes\n";
    let mut reader = Reader::parse("a.ini", text);
    let peers: Vec<SocketAddr> = reader.optional("control", "peers", Vec::new());
    let wait = reader.optional("control", "wait", Duration::ZERO);
    let relay = reader.optional("control", "relay", false);
    reader.finish(Some(())).unwrap();
    assert_eq!(
        (peers.len(), wait, relay),
        (2, Duration::from_secs(300), true)
    );
}

#[test]
fn whole_numbers_are_parsed_in_each_notation() {
    for text in ["4300", "4300.0", "4.3e3", "43E+2", "430000e-2"] {
        assert_eq!(usize::read(text), Some(4_300), "{text}");
    }
    assert_eq!(u64::read("18446744073709551615"), Some(u64::MAX));
    for text in [
        "4300.5", "-1", "1e300", "1e400", "NaN", "inf", "4_300", "0x1", "", ".",
    ] {
        assert_eq!(u64::read(text), None, "{text}");
    }
    assert_eq!(u16::read("65536.0"), None);
}

#[test]
fn times_are_parsed_in_each_notation() {
    for text in ["7000ms", "7e3ms", "7000.0ms", "7s", "7.0 s", "0.7e1s"] {
        assert_eq!(Duration::read(text), Some(Duration::from_secs(7)), "{text}");
    }
    assert_eq!(Duration::read("0.5m"), Some(Duration::from_secs(30)));
    let century = Duration::from_secs(36_525 * 24 * 60 * 60);
    assert_eq!(Duration::read("3155760000s"), Some(century));
    let invalid = [
        "3155760001s",
        "18446744073709551615s",
        "1e300m",
        "1e400ms",
        "-1s",
        "-0.5ms",
        "NaNs",
        "nans",
        "infs",
        "infinityms",
        "trues",
        "falsems",
        "s",
        "ms",
        "7",
        "7h",
        "7 sm",
        "",
    ];
    for text in invalid {
        assert_eq!(Duration::read(text), None, "{text}");
    }
}

proptest! {
    #[test]
    fn no_text_of_a_value_panics(text in "\\PC{0,12}|[0-9.eE+-]{0,24}(ms|s|m)?") {
        let _ = (u16::read(&text), usize::read(&text), f64::read(&text));
        let _ = (bool::read(&text), SocketAddr::read(&text), Vec::<u16>::read(&text));
        if let Some(time) = Duration::read(&text) {
            prop_assert!(time <= Duration::from_secs(36_525 * 24 * 60 * 60));
        }
    }

    #[test]
    fn each_text_in_json_arrives_as_it_is(name in ".{1,16}") {
        let quoted = serde_json::to_string(&name).unwrap();
        let mut reader = Reader::parse("a.ini", &format!("[host]\nname = {quoted}\nzone = a\n"));
        let read: Option<String> = reader.required("host", "name", "dumdum-1");
        let zone: Option<String> = reader.required("host", "zone", "dumdum");
        prop_assert_eq!(reader.finish(read.zip(zone)), Ok((name, "a".to_owned())));
    }

    #[test]
    fn no_file_panics(text in "([a-z\\[\\]=:;#'\"\\\\ \t\r\n]|\\PC){0,64}") {
        let mut reader = Reader::parse("a.ini", &text);
        let name: Option<String> = reader.required("host", "name", "dumdum-1");
        let _ = reader.finish(name);
    }

    #[test]
    fn whole_times_are_exact(count in 0_u32..) {
        let count = u64::from(count);
        prop_assert_eq!(Duration::read(&format!("{count}ms")), Some(Duration::from_millis(count)));
        prop_assert_eq!(Duration::read(&format!("{count}.0ms")), Some(Duration::from_millis(count)));
        let seconds = count / 2;
        prop_assert_eq!(Duration::read(&format!("{seconds}s")), Some(Duration::from_secs(seconds)));
    }
}
