//! The settings file of the entry host, as docs/SETTINGS.md has it.

use std::fs;
use std::path::PathBuf;

use flamingopost_daemon::settings::Reader;
use flamingopost_entry::settings::Settings;

fn page() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    fs::read_to_string(path).unwrap()
}

/// The example of the page, with the token in a file that exists.
fn example(token: &std::path::Path) -> String {
    let page = page();
    let block = page.split("```ini\n").nth(1).unwrap();
    let block = block.split("```").next().unwrap();
    block.replace("TOKEN_FILE", &token.display().to_string())
}

fn token() -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    fs::write(file.path(), "secret\n").unwrap();
    file
}

#[test]
fn the_page_s_example_is_right_and_names_every_key() {
    let token = token();
    let text = example(token.path());
    let settings = Settings::decode(Reader::parse("entry.ini", &text)).unwrap();
    assert_eq!(settings.host, "dumdum-entry-1");
    assert_eq!((settings.peers.len(), settings.relay.is_some()), (3, true));
    assert!(settings.token.admits("Bearer secret"));
    for line in text.lines().filter(|line| line.contains(" = ")) {
        let key = line.split(" = ").next().unwrap();
        assert!(
            page().contains(&format!("| `{key}` |")),
            "{key} is not in the table"
        );
    }
}

#[test]
fn what_is_left_out_has_a_default() {
    let token = token();
    let text = format!(
        "[host]\nname = a\nzone = b\n[listen]\ncallers = 127.0.0.1:1\nrpc = 127.0.0.1:2\n\
         admin = 127.0.0.1:3\n[operators]\ntoken_file = {}\n[platform]\naddress = 127.0.0.1:4\n",
        token.path().display()
    );
    let settings = Settings::decode(Reader::parse("entry.ini", &text)).unwrap();
    assert_eq!(settings.public_rpc, settings.rpc);
    assert!(settings.tls.is_none() && settings.relay.is_none());
}

#[test]
fn half_of_tls_and_a_lost_token_are_told_together() {
    let text = "[operators]\ntoken_file = /no/such/file\n[tls]\nkey = /etc/key.pem\n";
    let problems = Settings::decode(Reader::parse("entry.ini", text)).unwrap_err();
    let told = problems.to_string();
    for part in [
        "entry.ini:2: `token_file = /no/such/file` in [operators] names a file that cannot be read",
        "[tls] lacks `certificate`",
        "[host] lacks `name`",
        "[platform] lacks `address`",
    ] {
        assert!(told.contains(part), "{part}\nis not in\n{told}");
    }
}
