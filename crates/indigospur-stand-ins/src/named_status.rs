//! What a simulated backend server names in its answers: a limit on its rate of calls, or that it
//! leaves. Counts the calls that it gets nevertheless.

use indigospur_protocol::{Header, headers};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time from the first answer with a limit by which it must be kept.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Span in which starts are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Factor on the calls that a limit allows in a [`COUNT_WINDOW`], and calls allowed besides.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Report on the calls that arrived under the named status, as answered by `GET /stand-in/named`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct NamedReport {
    /// Answers that said that the server leaves.
    leaving_answers: u64,
    /// Most starts in any four seconds from three seconds after the limit was first named.
    most_starts: u64,
    /// Starts that the limit allows in four seconds.
    allowed_starts: u64,
}

/// The named status of one server.
#[derive(Debug, Default)]
pub(crate) struct NamedStatus {
    /// Limit in calls a second.
    limit: Option<f64>,
    /// When an answer first named the present limit.
    named: Option<Instant>,
    /// Starts of calls under the present limit.
    starts: Vec<Instant>,
    leaving: bool,
    leaving_answers: u64,
}

impl NamedStatus {
    pub(crate) fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
        self.named = None;
        self.starts.clear();
    }

    pub(crate) fn set_leaving(&mut self) {
        self.leaving = true;
    }

    pub(crate) fn record_start(&mut self, now: Instant) {
        if self.limit.is_some() {
            self.starts.push(now);
        }
    }

    /// Headers of an answer that is sent at `now`.
    pub(crate) fn headers(&mut self, now: Instant) -> Vec<Header> {
        let mut named = Vec::new();
        let mut add = |name: &str, value: String| {
            named.push(Header {
                name: name.into(),
                value: value.into_bytes().into(),
            });
        };
        if let Some(limit) = self.limit {
            self.named.get_or_insert(now);
            add(headers::RATE_LIMIT, limit.to_string());
        }
        if self.leaving {
            self.leaving_answers += 1;
            add(headers::LEAVING, "1".to_owned());
        }
        named
    }

    pub(crate) fn report(&self) -> NamedReport {
        let kept_from = self.named.map(|named| named + STABILITY_WINDOW);
        let begins = self
            .starts
            .iter()
            .filter(|at| kept_from.is_some_and(|from| **at >= from));
        let counts = begins.map(|begin| {
            let window = *begin..*begin + COUNT_WINDOW;
            self.starts.iter().filter(|at| window.contains(at)).count()
        });
        let (factor, besides) = TOLERANCE;
        let allowed =
            self.limit.unwrap_or_default() * COUNT_WINDOW.as_secs_f64() * factor + besides;
        NamedReport {
            leaving_answers: self.leaving_answers,
            most_starts: counts.max().unwrap_or_default() as u64,
            allowed_starts: allowed as u64,
        }
    }
}
