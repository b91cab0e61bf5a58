//! What a host that ran as a process is found to have done.

use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::time::Duration;

use flamingopost_soak::process::{Host, Settings};

/// A program that logs a panic, writes another one to standard error, and ends.
const PANICS: &str = "#!/bin/sh
echo '{\"payload\":\"task a panicked\",\"kv\":{\"event\":106},\"tid\":1}'
echo '{\"payload\":\"no panic\",\"kv\":{\"event\":1061},\"tid\":1}'
echo 'thread main panicked at main.rs:1' >&2
exit 3
";

/// Creates a host that runs the shell script `text`.
fn host(folder: &Path, text: &str) -> Host {
    let program = folder.join("program");
    std::fs::write(&program, text).expect("a file");
    let permissions = std::fs::Permissions::from_mode(0o700);
    std::fs::set_permissions(&program, permissions).expect("an executable file");
    let address = "127.0.0.1:1".parse().expect("an address");
    let settings = Settings {
        program,
        folder: folder.to_owned(),
        name: "entry-1".to_owned(),
        zone: "zone-1".to_owned(),
        callers: address,
        probe: address,
        peers: address,
        announced: address,
        store: address,
        orders: address,
        grace: Duration::ZERO,
        unread_log: false,
    };
    Host::new(settings).expect("a host")
}

/// Guards against panics that nobody notices because the process goes on or is started again.
#[test]
fn panics_of_all_starts_are_found() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = host(folder.path(), PANICS);
    for _ in 0..2 {
        host.start().expect("a process");
        while host.is_running() {
            std::thread::sleep(Duration::from_millis(1));
        }
        assert!(host.handles_signals(), "it has logged");
        let status = host.unexpected_exit().expect("an exit");
        assert_eq!(status.code(), Some(3));
    }
    let panics = host.panics();
    let logged = panics.iter().filter(|line| line.contains("task a"));
    let unlogged = panics.iter().filter(|line| line.contains("main.rs:1"));
    assert_eq!((logged.count(), unlogged.count()), (2, 2), "{panics:?}");
    assert_eq!(panics.len(), 4);
}
