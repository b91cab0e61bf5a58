//! Panics of tasks.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_daemon::{metrics, task};
use tokio::sync::Notify;

/// Limit of every wait in a test.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `test` as the main task of a process.
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        tokio::time::timeout(TIMEOUT, test).await.expect("in time")
    })
}

/// Guards against a panic that ends a task and leaves no trace on the metrics page.
#[test]
fn a_panic_is_counted_under_the_name_of_its_task() {
    metrics::start();
    task::record_panics();
    let ended = run(async { task::spawn("oven", async { panic!("too hot") }).await });
    assert!(ended.is_err_and(|error| error.is_panic()));
    let page = metrics::render();
    assert!(
        page.contains("flamingopost_panics_total{task=\"oven\"} 1"),
        "{page}"
    );
}

/// Guards against a process that goes on without a task that it needs.
#[test]
fn a_kept_task_that_panics_starts_again_and_is_counted() {
    metrics::start();
    let dough = Rc::new(RefCell::new(0));
    let kneaded = Rc::new(Notify::new());
    let (state, third) = (Rc::clone(&dough), Rc::clone(&kneaded));
    run(async move {
        task::keep("mixer", move || {
            let (state, third) = (Rc::clone(&state), Rc::clone(&third));
            async move {
                {
                    let mut state = state.borrow_mut();
                    *state += 1;
                    assert!(*state >= 3, "stuck");
                }
                third.notify_one();
                std::future::pending::<()>().await
            }
        });
        kneaded.notified().await;
    });
    assert_eq!(*dough.borrow(), 3);
    let page = metrics::render();
    let count = "flamingopost_tasks_restarted_total{task=\"mixer\"} 2";
    assert!(page.contains(count), "{page}");
}

/// Guards against a loop that ends for a reason that its author held for final.
#[test]
fn a_kept_task_that_returns_or_panics_before_its_first_wait_starts_again() {
    let starts = Rc::new(Cell::new(0));
    let reached = Rc::new(Notify::new());
    let (counted, third) = (Rc::clone(&starts), Rc::clone(&reached));
    run(async move {
        task::keep("till", move || {
            counted.set(counted.get() + 1);
            match counted.get() {
                1 => panic!("no float"),
                3 => third.notify_one(),
                _ => {}
            }
            async { Err::<(), _>("closed") }
        });
        reached.notified().await;
    });
    assert_eq!(starts.get(), 3);
}

/// Guards against a process that spends its time on a task that ends at once each time.
#[test]
fn the_pause_before_a_restart_grows() {
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    run(async move {
        task::keep("crank", move || {
            counted.set(counted.get() + 1);
            async {}
        });
        tokio::time::sleep(Duration::from_millis(700)).await;
    });
    // At 0, 20, 60, 140, 300 and 620 ms.
    assert!((2..=6).contains(&starts.get()), "{}", starts.get());
}

/// Guards against a task that survives its end by [`tokio::task::JoinHandle::abort`], and against what it
/// holds staying behind.
#[test]
fn an_aborted_kept_task_is_dropped_and_not_started_again() {
    struct Held(Rc<Cell<u32>>);
    impl Drop for Held {
        fn drop(&mut self) {
            self.0.set(self.0.get() + 1);
        }
    }
    let (starts, drops) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (counted, dropped) = (Rc::clone(&starts), Rc::clone(&drops));
    run(async move {
        let kept = task::keep("tap", move || {
            counted.set(counted.get() + 1);
            let held = Held(Rc::clone(&dropped));
            async move {
                let _held = held;
                std::future::pending::<()>().await
            }
        });
        tokio::time::sleep(Duration::from_millis(5)).await;
        kept.abort();
        assert!(kept.await.is_err_and(|error| error.is_cancelled()));
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    assert_eq!((starts.get(), drops.get()), (1, 1));
}

/// Guards against work that is never finished, while others wait for its end.
#[test]
fn a_task_that_has_to_complete_is_repeated_until_it_returns() {
    metrics::start();
    let attempts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&attempts);
    let result = run(async move {
        let bake = move || {
            counted.set(counted.get() + 1);
            let attempt = counted.get();
            async move {
                tokio::time::sleep(Duration::from_millis(1)).await;
                assert!(attempt >= 3, "burnt");
                attempt
            }
        };
        task::complete("baker", bake).await
    });
    assert_eq!((result.unwrap(), attempts.get()), (3, 3));
    let page = metrics::render();
    let count = "flamingopost_tasks_restarted_total{task=\"baker\"} 2";
    assert!(page.contains(count), "{page}");
}

/// Guards against a flag that only the end of a task clears, and against a recovery that finds borrowed
/// what the task had borrowed.
#[test]
fn a_task_that_panics_recovers_after_all_that_it_held_is_dropped() {
    let shelf = Rc::new(RefCell::new(vec!["in use"]));
    let (held, cleared) = (Rc::clone(&shelf), Rc::clone(&shelf));
    let ended = run(async move {
        let stack = async move {
            let shelf = held.borrow_mut();
            assert!(shelf.is_empty(), "no room");
        };
        task::spawn_or_else("stacker", stack, move || cleared.borrow_mut().clear()).await
    });
    assert!(ended.is_ok() && shelf.borrow().is_empty());
    let unused = Rc::clone(&shelf);
    let ended = run(async move {
        let tidy = std::future::ready(());
        task::spawn_or_else("tidier", tidy, move || unused.borrow_mut().push("lost")).await
    });
    assert!(ended.is_ok());
    assert!(
        shelf.borrow().is_empty(),
        "a task that returns recovers nothing"
    );
}

/// Guards against a task that panics each time, is needed at once again, and takes all of the processor and the
/// log.
#[test]
fn a_task_that_panics_each_time_is_not_repeated_at_once() {
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    run(async move {
        let is_busy = Rc::new(Cell::new(false));
        let start = tokio::time::Instant::now();
        while start.elapsed() < task::RECOVERY_PAUSE * 5 {
            if !is_busy.replace(true) {
                counted.set(counted.get() + 1);
                let cleared = Rc::clone(&is_busy);
                let fall = async { panic!("it falls") };
                task::spawn_or_else("ladder", fall, move || cleared.set(false));
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    assert!((2..=5).contains(&starts.get()), "{}", starts.get());
}
