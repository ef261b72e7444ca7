//! Deadlines of calls, which pass while the host is suspended too.

use indigospur_daemon::{Deadline, Moment};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// A moment after `start`: `elapsed` on the monotonic clock, and `suspended` in addition.
fn later(start: Moment, elapsed: Duration, suspended: Duration) -> Moment {
    Moment {
        instant: start.instant + elapsed,
        suspended: start.suspended + suspended,
    }
}

#[test]
fn a_deadline_passes_while_the_host_runs_and_while_it_is_suspended() {
    let start = Moment {
        instant: Instant::now(),
        suspended: SECOND * 70,
    };
    let deadline = Deadline::after(start, SECOND * 5);
    let cases = [
        (0, 0, 5),
        (2, 0, 3),
        (0, 2, 3),
        (2, 2, 1),
        (5, 0, 0),
        (0, 9, 0),
        (9, 9, 0),
    ];
    for (elapsed, suspended, left) in cases {
        let now = later(start, SECOND * elapsed, SECOND * suspended);
        assert_eq!(
            deadline.remaining(now),
            SECOND * left,
            "{elapsed} {suspended}"
        );
        assert_eq!(deadline.instant(now), now.instant + SECOND * left);
    }
}

#[test]
fn a_clock_that_reads_less_suspension_than_before_extends_no_deadline() {
    let start = Moment {
        instant: Instant::now(),
        suspended: SECOND,
    };
    let deadline = Deadline::after(start, SECOND * 5);
    let now = Moment {
        instant: start.instant + SECOND,
        suspended: Duration::ZERO,
    };
    assert_eq!(deadline.remaining(now), SECOND * 4);
}

#[test]
fn the_suspended_time_of_a_running_host_does_not_grow() {
    let before = Moment::now();
    let after = Moment::now();
    // The two clocks are read one after the other.
    assert!(after.suspended.abs_diff(before.suspended) < SECOND);
}
