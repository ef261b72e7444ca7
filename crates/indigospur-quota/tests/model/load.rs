//! Workspaces, their demand, and the hosts where their requests enter.

use indigospur_rules::Quota;
use std::sync::Arc;

/// Requests a second of a workspace at a time in seconds.
pub(crate) type Demand = Box<dyn Fn(f64) -> f64>;
/// Host at which a request enters, given the time in seconds, a random number in 0..1 and the number
/// of hosts.
pub(crate) type Entry = Box<dyn Fn(f64, f64, usize) -> usize>;

/// Requests that enter evenly at all hosts.
pub(crate) fn evenly() -> Entry {
    Box::new(|_, random, hosts| (random * hosts as f64) as usize)
}

/// Half of the requests enter at a tenth of the hosts.
pub(crate) fn skewed() -> Entry {
    Box::new(|_, random, hosts| {
        let few = (hosts / 10).max(1);
        match random < 0.5 {
            true => (random * 2.0 * few as f64) as usize,
            false => ((random - 0.5) * 2.0 * hosts as f64) as usize,
        }
    })
}

/// All requests enter at a quarter of the hosts, another one every 2 s.
pub(crate) fn moving() -> Entry {
    Box::new(|time, random, hosts| {
        let quarter = (hosts / 4).max(1);
        let first = (time / 2.0) as usize * quarter;
        (first + (random * quarter as f64) as usize) % hosts
    })
}

/// `factor` times `usual` between two times in seconds.
pub(crate) fn surge(usual: f64, factor: f64, from: f64, until: f64) -> Demand {
    Box::new(move |time| {
        let is_hot = (from..until).contains(&time);
        usual * if is_hot { factor } else { 1.0 }
    })
}

/// A workspace and its demand.
pub(crate) struct Load {
    pub(crate) name: Arc<str>,
    pub(crate) quota: Quota,
    pub(crate) demand: Demand,
    /// Upper bound of `demand`.
    pub(crate) peak: f64,
}

impl Load {
    pub(crate) fn new(name: &str, rate: f64, burst: f64, peak: f64, demand: Demand) -> Load {
        Load {
            name: name.into(),
            quota: Quota { rate, burst },
            demand,
            peak,
        }
    }
}
