//! The daemon that runs beside each backend server: it admits, routes and retries calls, and agrees
//! with the other daemons on members, rule sets and idempotency keys.

mod admin;
mod backend;
mod caller;
mod configuration;
mod control;
mod daemon;
mod dialect;
mod failure;
mod inbound;
mod journal;
mod keyed;
mod lifecycle;
mod metrics;
mod outbound;
mod own_dialect;
mod peer_port;
mod peers;
mod port;
mod preparation;
mod run;
mod settings;
mod settings_file;
mod signals;
mod slots;

pub use configuration::{Configuration, Contact, Found, Position, Published, SourceError};
pub use dialect::{Above, CallHead, Dialect, Meaning, Sending, SentHead};
pub use failure::StartError;
pub use journal::start_journal;
pub use lifecycle::{Addresses, Serving, Starting, listen};
pub use port::Port;
pub use run::{EXIT_SETTINGS, run, serve_until_stopped};
pub use settings::Settings;
pub use settings_file::{Changed, ReadSettings, SettingsFile, Unusable};
pub use signals::{Request, Signals};
