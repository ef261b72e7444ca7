//! What the model plays, and what it measures.

/// Objective of a call in seconds; calls that can't be answered within it are refused, as by admission.
pub(crate) const OBJECTIVE: f64 = 0.25;
/// Mean work of a call at a server of speed 1, in seconds.
pub(crate) const WORK: f64 = 0.054;

/// What is played. Data centres are numbered from zero.
#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Data centre and speed of each server.
    pub(crate) servers: Vec<(usize, f64)>,
    /// Data centre of each calling daemon.
    pub(crate) callers: Vec<usize>,
    /// Calls a second of each data centre at a time, as a share of the capacity of all servers.
    pub(crate) demand: fn(usize, f64) -> f64,
    /// Slots that are used, of 12.
    pub(crate) limit: u32,
    /// Share of the servers that are in a slow phase, and whether they report their pace.
    pub(crate) slow: (f64, bool),
    /// Bits a second of each link between two data centres.
    pub(crate) link: f64,
    /// Second at which the servers of the first data centre are lost.
    pub(crate) lost: Option<f64>,
    pub(crate) seconds: f64,
}

impl Scenario {
    pub(crate) fn new(
        name: &'static str,
        speeds: &[f64],
        demand: fn(usize, f64) -> f64,
    ) -> Scenario {
        Scenario {
            name,
            servers: speeds.iter().map(|speed| (0, *speed)).collect(),
            callers: vec![0; 12],
            demand,
            limit: 11,
            slow: (0.0, false),
            link: f64::INFINITY,
            lost: None,
            seconds: 6.0,
        }
    }

    /// Capacity in calls a second.
    pub(crate) fn capacity(&self) -> f64 {
        let speeds: f64 = self.servers.iter().map(|(_, speed)| speed).sum();
        speeds * f64::from(self.limit) / WORK
    }
}

#[derive(Debug, Default)]
pub(crate) struct Results {
    /// Times of the answered calls in seconds, sorted.
    pub(crate) times: Vec<f64>,
    pub(crate) calls: usize,
    pub(crate) left: usize,
    /// Calls that left in each tenth of a second from the start, and all calls.
    pub(crate) by_tenth: Vec<(usize, usize)>,
    /// Mean share that leaves in the first data centre, every 50 ms by the state of its daemons.
    pub(crate) shares: Vec<f64>,
}

impl Results {
    /// Mean time of answered calls, in milliseconds.
    pub(crate) fn mean(&self) -> f64 {
        1_000.0 * self.times.iter().sum::<f64>() / self.times.len() as f64
    }

    pub(crate) fn p99(&self) -> f64 {
        1_000.0 * self.times[self.times.len() * 99 / 100]
    }

    /// Share of all calls that were answered within the objective.
    pub(crate) fn within(&self) -> f64 {
        let within = self.times.partition_point(|time| *time <= OBJECTIVE);
        within as f64 / self.calls as f64
    }

    /// Share of all calls that were sent to another data centre.
    pub(crate) fn left(&self) -> f64 {
        self.left as f64 / self.calls as f64
    }
}
