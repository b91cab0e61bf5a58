//! Every invalid configuration in `config_bad` gives the report of the same name, with all problems
//! at once.

use std::fs;
use std::path::Path;

use flamingopost_core::config;
use flamingopost_core::directory::Directory;

fn reports(path: &Path, text: String) -> datatest_stable::Result<()> {
    let file = path.file_name().unwrap_or_default().to_string_lossy();
    let report = config::parse(&file, &text, &mut Directory::default())
        .expect_err("an invalid configuration is refused");
    let expected = fs::read_to_string(path.with_extension("report"))?;
    assert_eq!(report.to_string(), expected);
    Ok(())
}

datatest_stable::harness! {
    { test = reports, root = "tests/config_bad", pattern = r"\.ini$" },
}
