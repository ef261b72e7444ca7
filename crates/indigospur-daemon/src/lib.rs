//! The daemon that runs beside each backend server: it admits, routes and retries calls, and agrees
//! with the other daemons on members, rule sets and idempotency keys.

mod admin;
mod authentication;
mod backend;
mod backend_refusal;
mod backend_status;
mod build_info;
mod builtin_dialect;
mod caller;
mod configuration;
mod contact;
mod control;
mod crashes;
mod daemon;
mod deadline;
mod dialect;
mod error;
mod handle;
mod inbound;
mod ingress;
mod keyed;
mod lifecycle;
mod logging;
mod metrics;
mod outbound;
mod peer_service;
mod peers;
mod placement;
mod preparation;
mod quotas;
mod retry_budget;
mod run;
mod settings;
mod settings_file;
mod signals;
mod slots;
mod start_waits;
mod stopping;
mod timing;

pub use authentication::{AuthenticationError, CallerIdentity, Credential};
pub use build_info::VERSION;
pub use configuration::{
    ConfigurationBatch, ConfigurationSource, Departures, HostDepartures, PublishedConfiguration,
    SourceError, WriteOrder,
};
pub use contact::LastContact;
pub use deadline::{Deadline, Moment};
pub use dialect::{
    AnswerMeaning, BackendStatus, CallHead, Dialect, OutgoingCall, ParentRef, RateLimit,
    RequestHead,
};
pub use error::StartError;
pub use handle::{DaemonHandle, Receipt};
pub use indigospur_members::{Contact, Instance};
pub use lifecycle::{Addresses, DaemonBuilder, RunningDaemon, listen};
pub use logging::start_logging;
pub use run::{EXIT_START_FAILED, run, serve_until_stopped};
pub use settings::Settings;
pub use settings_file::{ParseSettings, ReloadError, SettingsChange, SettingsFile};
pub use signals::{Request, Signals};
