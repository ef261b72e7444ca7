//! The runtime, behind one module so that a successor of async-std can take its place.

use crate::alarm::Sleep;
use async_global_executor::GlobalExecutorConfig;
use futures_lite::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::time::{Duration, Instant};

pub use async_std::task::JoinHandle;

/// Pause before background work that panicked begins anew.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Sets the number of executor threads. Must come before anything is spawned.
pub fn set_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "indigospur".to_owned());
    async_global_executor::init_with_config(config);
}

/// Runs a future to its end on this thread, which polls nothing else: were it to poll for events of
/// the network, each of them would cross to the executor's thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    spawn(async {});
    futures_lite::future::block_on(future)
}

/// Runs a future beside others. Dropping the handle leaves it running.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> JoinHandle<T> {
    async_std::task::spawn(future)
}

/// Runs background work that is needed for as long as the process runs: after a panic it is logged and
/// begins anew. Ends with the work.
pub fn supervise<F>(
    name: &'static str,
    work: impl Fn() -> F + Send + Sync + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    spawn(async move {
        loop {
            let done = AssertUnwindSafe(async { work().await }).catch_unwind();
            if done.await.is_ok() {
                return;
            }
            log::error!(work = name; "background work panicked and begins anew");
            sleep(RESTART_PAUSE).await;
        }
    })
}

/// Waits.
pub async fn sleep(duration: Duration) {
    Sleep::until(Instant::now() + duration).await;
}

/// Waits until a moment.
pub async fn sleep_until(moment: Instant) {
    Sleep::until(moment).await;
}

/// The future's output, or `None` if it takes longer than `duration`.
pub async fn within<T>(duration: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        sleep(duration).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, expired).await
}

/// Runs hyper's background work on this runtime.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Executor;

impl<F> hyper::rt::Executor<F> for Executor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        spawn(future);
    }
}

/// A future that is sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
