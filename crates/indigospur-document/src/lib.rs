//! Reads TOML documents key by key and collects every problem with its location, so that a user
//! sees all of them at once.

mod changes;
mod duration;
mod problem;
mod reader;

pub use changes::changed_keys;
pub use duration::{format_duration, parse_duration};
pub use problem::{Problem, Problems};
pub use reader::{Document, Reader};
