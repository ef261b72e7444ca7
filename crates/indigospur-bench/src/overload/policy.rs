//! The overload policies that are compared.

use indigospur_admission::LimitPolicy;

/// How backend servers and callers react to overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// No overload control: backend servers queue calls up to their connection limit, and services
    /// do not retry calls to each other.
    Unmanaged,
    /// Backend servers refuse calls beyond their slots; each hop retries up to three times.
    StaticRetries,
    /// The daemons' admission with this concurrency limit, retry credit and cancellation.
    Managed(LimitPolicy),
}

impl Policy {
    /// All policies, the baselines first. The last one is the policy whose goals are checked.
    pub const ALL: [Policy; 5] = [
        Policy::Unmanaged,
        Policy::StaticRetries,
        Policy::Managed(LimitPolicy::Slots),
        Policy::Managed(LimitPolicy::Gradient),
        Policy::Managed(LimitPolicy::Aimd),
    ];

    /// Name shown in the result tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Unmanaged => "nothing",
            Policy::StaticRetries => "static limit, 3 retries a hop",
            Policy::Managed(LimitPolicy::Slots) => "indigospur, slots",
            Policy::Managed(LimitPolicy::Gradient) => "indigospur, gradient",
            Policy::Managed(LimitPolicy::Aimd) => "indigospur, AIMD",
        }
    }
}
