//! The daemon beside each backend server.

mod admin;
mod backend;
mod builtin_dialect;
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
mod peer_service;
mod peers;
mod port;
mod preparation;
mod run;
mod settings;
mod settings_file;
mod signals;
mod slots;

pub use configuration::{Configuration, Contact, Found, Position, Published, SourceError};
pub use dialect::{AnswerMeaning, CallHead, Dialect, OutgoingCall, ParentRef, RequestHead};
pub use failure::StartError;
pub use journal::start_journal;
pub use lifecycle::{Addresses, Serving, Starting, listen};
pub use port::Port;
pub use run::{EXIT_SETTINGS, run, serve_until_stopped};
pub use settings::Settings;
pub use settings_file::{Changed, ReadSettings, SettingsFile, Unusable};
pub use signals::{Request, Signals};
