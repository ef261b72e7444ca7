//! Command-line options.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Runs rounds of random faults on a site of real processes. Exit status: 0 no breach found, 1 a
/// check failed, 2 the site did not start.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("soak"), version, generate(parser))]
pub struct SoakOptions {
    /// Seed of the random faults and requests
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Time in seconds after which no new round begins
    #[bpaf(argument("S"), fallback(60), display_fallback)]
    pub seconds: u64,
    /// Number of processes of the site: a daemon and a backend server on each host, at least 8
    /// hosts
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub processes: usize,
    /// Folder in which the daemons' logs are kept; without it they are kept only if a check fails
    #[bpaf(argument("DIR"))]
    pub logs: Option<PathBuf>,
}

/// Parses the command line of the program; exits on `--help` and on an invalid option.
pub fn read_options() -> SoakOptions {
    parser().run()
}
