//! Supervision of background tasks.

use async_std::channel::bounded;
use indigospur_relay::runtime;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn a_supervised_task_is_restarted_after_a_panic_until_it_returns() {
    let starts: Arc<AtomicUsize> = Arc::default();
    let (sender, receiver) = bounded(1);
    let counter = starts.clone();
    let task = runtime::supervise("test", move || {
        let number = counter.fetch_add(1, Ordering::Relaxed);
        assert!(number > 0, "panic before the future is created");
        let sender = sender.clone();
        async move {
            assert!(number > 1, "panic while the future runs");
            let _ = sender.send(number).await;
        }
    });
    runtime::block_on(async {
        assert_eq!(receiver.recv().await, Ok(2));
        task.await;
    });
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}
