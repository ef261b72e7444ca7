//! Background work.

use async_std::channel::bounded;
use indigospur_relay::runtime;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn background_work_that_panics_begins_anew_and_ends_only_by_itself() {
    let begun: Arc<AtomicUsize> = Arc::default();
    let (sender, receiver) = bounded(1);
    let counted = begun.clone();
    let work = runtime::supervise("test", move || {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        assert!(number > 0, "it panics before its first step");
        let sender = sender.clone();
        async move {
            assert!(number > 1, "it panics as it runs");
            let _ = sender.send(number).await;
        }
    });
    runtime::block_on(async {
        assert_eq!(receiver.recv().await, Ok(2));
        work.await;
    });
    assert_eq!(begun.load(Ordering::Relaxed), 3);
}
