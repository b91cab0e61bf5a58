//! `flamingopostctl verifier`: the SCRAM verifier of a password.

use crate::workdir::{TESFA, Workdir};

#[test]
fn a_verifier_is_valid_in_a_configuration_and_hides_the_password() {
    let workdir = Workdir::new();
    let run = workdir.run_with_input(&["verifier"], "lot-view-demo\n");
    assert_eq!(run.code, 0);
    assert!(!run.out.contains("lot-view-demo"));
    let old = TESFA.lines().find(|line| line.starts_with("verifier"));
    let new = format!("verifier = {}", run.out.trim());
    let text = TESFA.replace(old.expect("a verifier"), &new);
    assert_eq!(
        workdir
            .file("fleet.ini", &text)
            .run(&["check", "fleet.ini"])
            .code,
        0
    );
}

#[test]
fn two_verifiers_of_one_password_differ() {
    let workdir = Workdir::new();
    let generate = || {
        let run = workdir.run_with_input(&["verifier", "--json"], "lot-view-demo");
        run.json()["verifier"].clone()
    };
    assert_ne!(generate(), generate());
}

#[test]
fn an_empty_password_is_refused() {
    let run = Workdir::new().run_with_input(&["verifier"], "\n");
    assert_eq!((run.code, run.out.as_str()), (1, ""));
}
