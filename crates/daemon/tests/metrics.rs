//! `docs/operators/METRICS.md` lists exactly the metrics of the daemons.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all metric names in `text` that are enclosed in `quote` characters.
fn names(text: &str, quote: char) -> BTreeSet<String> {
    text.split(quote)
        .filter(|word| word.starts_with("flamingopost_"))
        .filter(|word| word.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
        .map(str::to_owned)
        .collect()
}

fn sources(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.extend(names(&fs::read_to_string(path).unwrap(), '"'));
        }
    }
}

#[test]
fn metrics_page_lists_every_metric() {
    let mut used = BTreeSet::new();
    for part in ["daemon", "entry", "control", "proxy"] {
        sources(&root().join("crates").join(part).join("src"), &mut used);
    }
    let page = fs::read_to_string(root().join("docs/operators/METRICS.md")).unwrap();
    let rows: String = page
        .lines()
        .filter(|line| line.starts_with("| `flamingopost_"))
        .collect();
    assert_eq!(names(&rows, '`'), used);
}
