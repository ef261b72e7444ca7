//! What the program was built of.

/// Version, commit and sources of the program, as `--version` prints them.
pub const VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (commit ",
    env!("INDIGOSPUR_COMMIT"),
    ", sources ",
    env!("INDIGOSPUR_SOURCES"),
    ", ",
    env!("INDIGOSPUR_PROFILE"),
    " build)"
);
/// Commit that was checked out when the program was built, or `unknown`. The sources may have had other
/// changes.
pub(crate) const COMMIT: &str = env!("INDIGOSPUR_COMMIT");
/// Digest of the sources, the same for each build of the same files.
pub(crate) const SOURCES: &str = env!("INDIGOSPUR_SOURCES");
/// Profile of the build, `debug` or `release`.
pub(crate) const PROFILE: &str = env!("INDIGOSPUR_PROFILE");
