//! Panics of tasks.

use flamingopost_daemon::{metrics, task};

/// Guards against a panic that ends a task and leaves no trace on the metrics page.
#[test]
fn a_panic_is_counted_under_the_name_of_its_task() {
    metrics::start();
    task::record_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let local = tokio::task::LocalSet::new();
    let ended = local.block_on(&runtime, async {
        task::spawn("oven", async { panic!("too hot") }).await
    });
    assert!(ended.is_err_and(|error| error.is_panic()));
    let page = metrics::render();
    assert!(
        page.contains("flamingopost_panics_total{task=\"oven\"} 1"),
        "{page}"
    );
}
