//! The async runtime. Tasks and timers are used through this module only, so that a successor of
//! async-std can replace it here.

use crate::timer::Sleep;
use async_global_executor::GlobalExecutorConfig;
use futures_lite::FutureExt;
use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::time::{Duration, Instant};

pub use async_std::task::JoinHandle;

/// Delay before a background task that panicked is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Sets the number of executor threads. Must be called before anything is spawned.
pub fn set_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "indigospur".to_owned());
    async_global_executor::init_with_config(config);
}

/// Blocks this thread until a future completes. The thread doesn't drive the IO reactor meanwhile:
/// if it did, each network event would have to be handed over to an executor thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    // Makes sure that the executor is running.
    spawn(async {});
    futures_lite::future::block_on(future)
}

/// Spawns a task on the executor. Dropping the handle detaches the task; it keeps running.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> JoinHandle<T> {
    async_std::task::spawn(future)
}

/// Spawns a background task that the process needs for as long as it runs. A panic is logged under
/// `name`, and `work` is called again after a short delay. The handle completes once `work` returns
/// without a panic.
pub fn supervise<F>(
    name: &'static str,
    work: impl Fn() -> F + Send + Sync + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    spawn(async move {
        loop {
            let outcome = AssertUnwindSafe(async { work().await }).catch_unwind();
            if outcome.await.is_ok() {
                return;
            }
            log::error!(work = name; "background task panicked; restarting it");
            sleep(RESTART_DELAY).await;
        }
    })
}

/// Returns the time for which the host has been suspended since it started. The clock of `Instant`
/// stands still meanwhile.
pub fn suspended_time() -> Duration {
    let elapsed = |clock: ClockId| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    // Read in this order, the difference is never below the true one.
    let monotonic = elapsed(ClockId::Monotonic);
    elapsed(ClockId::Boottime).saturating_sub(monotonic)
}

/// Completes after `duration`.
pub async fn sleep(duration: Duration) {
    Sleep::until(Instant::now() + duration).await;
}

/// Completes at `deadline`, or at once if it has passed.
pub async fn sleep_until(deadline: Instant) {
    Sleep::until(deadline).await;
}

/// Returns the future's output, or drops the future and returns `None` after `duration`.
pub async fn timeout<T>(duration: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        sleep(duration).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, timer).await
}

/// Spawns hyper's background tasks on this runtime.
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

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
