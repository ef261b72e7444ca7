//! The command line.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Rounds of random faults on a site of real processes. Exit status: 0 nothing found, 1 a check
/// failed, 2 not started.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("soak"), version, generate(parser))]
pub struct SoakOptions {
    /// Seed of the faults
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Time after which no further round begins, in seconds
    #[bpaf(argument("S"), fallback(60), display_fallback)]
    pub seconds: u64,
    /// Processes of the site: a daemon and a backend server a host
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub processes: usize,
    /// Folder for the daemons' logs; without it they are kept only if a check fails
    #[bpaf(argument("DIR"))]
    pub logs: Option<PathBuf>,
}

/// Reads the command line of the program.
pub fn read_options() -> SoakOptions {
    parser().run()
}
