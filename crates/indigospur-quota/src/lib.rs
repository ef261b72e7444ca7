//! Quotas of workspaces over all hosts.
//!
//! Every daemon counts the requests of each workspace that enter at its host ([`QuotaGate`]) and reports
//! the counts to the workspace's home, a daemon that all choose alike from the live hosts. The home keeps
//! a token bucket and a demand estimate for each workspace ([`QuotaHome`]) and returns the share of
//! requests to admit. If no home answers, a daemon admits its own portion of the rate.

mod bucket;
mod entry;
mod gate;
mod home;
mod placement;
mod portion;
mod report;
mod wire;

pub use gate::{QuotaGate, QuotaRefusal};
pub use home::QuotaHome;
pub use placement::{Hosts, SlotSet, home_of, report_interval};
pub use report::{QuotaGrant, QuotaReport, WorkspaceCounts, WorkspaceLimit};
