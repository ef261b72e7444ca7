//! When a refused caller should come back if nothing tells when there is room.

use std::time::Duration;

/// Part of a caller's remaining time that passes at most before it comes back; the rest is for the
/// request itself.
const LONGEST_SHARE: f64 = 1.0 / 3.0;

/// Time after which a caller should send a refused request again.
///
/// `remaining` is the time until the caller stops waiting, `work` the time that its request is expected
/// to take. The more time passes, the more of an overload is over, so the caller comes back as late as
/// leaves its request enough time to finish. `jitter`, 0 to 1, spreads callers over the second half of
/// that time, so that they do not all come back at once.
pub fn retry_after(remaining: Duration, work: Duration, jitter: f64) -> Duration {
    let longest = match remaining.saturating_sub(work) {
        // The request can't finish any more, whenever the caller comes back.
        Duration::ZERO => remaining,
        latest => latest,
    };
    let longest = longest.min(remaining.mul_f64(LONGEST_SHARE));
    longest.mul_f64((1.0 + jitter.clamp(0.0, 1.0)) / 2.0)
}
