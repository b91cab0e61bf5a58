//! Reasons of rejections, as operators see them.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use flamingopost_proxy::rejection::Reason;

/// Guards against two reasons that are counted as one.
#[test]
fn labels_are_distinct() {
    let labels: BTreeSet<&str> = Reason::ALL.into_iter().map(Reason::label).collect();
    assert_eq!(labels.len(), Reason::ALL.len());
}

/// Guards against a reason that the operators' pages do not explain.
#[test]
fn the_operations_page_explains_every_reason() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page");
    for reason in Reason::ALL {
        let row = format!("\n| `{}` |", reason.label());
        assert!(page.contains(&row), "{reason:?} is not explained");
    }
}
