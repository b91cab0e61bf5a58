//! Help, wrong usage, unreachable hosts and refused tokens.

use std::net::SocketAddr;

use crate::fake_host::FakeHost;
use crate::workdir::Workdir;

const COMMANDS: [&str; 11] = [
    "check", "diff", "submit", "history", "show", "explain", "status", "metrics", "drain",
    "promote", "verifier",
];

#[test]
fn help_lists_every_command_and_each_has_examples() {
    let workdir = Workdir::new();
    let help = workdir.run(&["--help"]);
    assert_eq!(help.code, 0);
    for command in COMMANDS {
        assert!(help.out.contains(&format!("\n    {command} ")), "{command}");
        let command_help = workdir.run(&[command, "--help"]);
        assert_eq!(command_help.code, 0);
        assert!(
            command_help
                .out
                .contains(&format!("EXAMPLES:\n      flamingopostctl {command}")),
            "{}",
            command_help.out
        );
    }
}

#[test]
fn wrong_usage_has_its_exit_code() {
    let workdir = Workdir::new();
    for args in [
        &[][..],
        &["chekc"],
        &["check"],
        &["check", "--wrong", "x"],
        &["history"],
        &["metrics"],
    ] {
        let run = workdir.run(args);
        assert_eq!(run.code, 2, "{args:?}");
        assert!(run.out.is_empty() && !run.err.is_empty());
    }
}

#[test]
fn a_host_that_cannot_be_reached_has_its_exit_code() {
    let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
    let run = Workdir::new().run_at(closed_port, &["status", "--json"]);
    assert_eq!(run.code, 5);
    assert_eq!(run.json()["error"], "unreachable");
}

#[test]
fn a_wrong_token_has_its_exit_code() {
    let fake = FakeHost::new(&[]);
    let workdir = Workdir::new();
    let admin = fake.address.to_string();
    let args = ["history", "--admin", &admin, "--token-file", "token"];
    let run = workdir.file("token", "wrong\n").run(&args);
    assert_eq!(run.code, 6);
    assert!(fake.requests().is_empty());
}
