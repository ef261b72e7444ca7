//! The simulated services and the load offered to them.

use std::time::Duration;

/// The largest customer's share of the steady load.
pub(crate) const LARGEST_SHARE: f64 = 0.3;
/// Share of requests in the protected class.
pub(crate) const PROTECTED_SHARE: f64 = 0.05;

/// A service in the call chain.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name that calls are routed by.
    pub name: &'static str,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots of each upstream: calls that it runs at a time.
    pub slots: u32,
    /// Connection limit of each upstream: calls that it runs or queues at a time.
    pub connections: usize,
    /// Mean service time of a call, without the calls that it makes to the next service.
    pub service_time: Duration,
}

const fn service(
    name: &'static str,
    upstreams: usize,
    slots: u32,
    connections: usize,
    millis: u64,
) -> Service {
    Service {
        name,
        upstreams,
        slots,
        connections,
        service_time: Duration::from_millis(millis),
    }
}

/// The services of the Lisbon region, the outermost first; each calls the next. The chain has three
/// services for a `depth` of up to 3 and six for any greater one.
pub fn lisbon(depth: usize) -> Vec<Service> {
    let three = [
        service("quoting", 5, 70, 500, 20),
        service("contracts", 4, 80, 550, 20),
        service("accounts", 3, 30, 300, 50),
    ];
    let six = [
        service("quoting", 5, 70, 500, 10),
        service("contracts", 4, 80, 550, 10),
        service("payouts", 3, 100, 700, 10),
        service("terms", 4, 80, 550, 10),
        service("scores", 4, 80, 550, 10),
        service("accounts", 3, 30, 300, 50),
    ];
    if depth <= 3 {
        three.to_vec()
    } else {
        six.to_vec()
    }
}

/// The services of the Tasmania South region, the outermost first; each calls the next.
pub fn tasmania() -> Vec<Service> {
    vec![
        service("menu-site", 6, 60, 450, 20),
        service("bookings", 3, 110, 800, 20),
        service("calendar", 3, 30, 300, 50),
    ]
}

/// A load profile with three phases: steady load, then the trigger (a surge, a slowdown or both),
/// then steady load again. Loads are relative to [`Scenario::capacity`].
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name shown above the result table.
    pub name: &'static str,
    /// The call chain, the outermost service first.
    pub services: Vec<Service>,
    /// Offered load before and after the trigger.
    pub steady: f64,
    /// Offered load during the trigger; the load above `steady` comes from the largest customer.
    pub surge: f64,
    /// Factor on the service time of the innermost service during the trigger; 1 for no slowdown.
    pub slowdown: u32,
    /// Number of times that a caller resends a failed request, without a back-off.
    pub resends: u32,
    /// Duration of the phase before the trigger.
    pub before: Duration,
    /// Duration of the trigger.
    pub trigger: Duration,
    /// Duration of the phase after the trigger.
    pub after: Duration,
}

impl Scenario {
    /// Creates a scenario whose trigger changes nothing: 70 % of capacity throughout.
    pub fn steady(name: &'static str, services: Vec<Service>) -> Scenario {
        Scenario {
            name,
            services,
            steady: 0.7,
            surge: 0.7,
            slowdown: 1,
            resends: 0,
            before: Duration::from_secs(10),
            trigger: Duration::from_secs(20),
            after: Duration::from_secs(20),
        }
    }

    /// Requests a second that the innermost service can complete when it is not slowed down.
    pub fn capacity(&self) -> f64 {
        let rate = |service: &Service| {
            service.upstreams as f64 * f64::from(service.slots) / service.service_time.as_secs_f64()
        };
        self.services.last().map_or(0.0, rate)
    }

    /// Requests a second that the innermost service can complete during the trigger.
    pub fn capacity_in_trigger(&self) -> f64 {
        self.capacity() / f64::from(self.slowdown)
    }

    /// Protected requests a second offered during the trigger.
    pub fn protected_demand(&self) -> f64 {
        PROTECTED_SHARE * self.surge * self.capacity()
    }

    /// Unprotected requests a second offered by all customers but the largest, in every phase.
    pub fn small_demand(&self) -> f64 {
        self.steady * (1.0 - LARGEST_SHARE) * (1.0 - PROTECTED_SHARE) * self.capacity()
    }

    /// Duration of all phases together, in virtual time.
    pub fn total_duration(&self) -> Duration {
        self.before + self.trigger + self.after
    }
}
