//! The `indigospurd` program: command line, settings, logging and signals.

use crate::build_info::VERSION;
use crate::error::StartError;
use crate::lifecycle::{DaemonBuilder, RunningDaemon};
use crate::settings::Settings;
use crate::settings_file::SettingsFile;
use crate::signals::{Request, Signals};
use bpaf::Bpaf;
use indigospur_relay::runtime;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

/// Exit status of a daemon that could not start, because of its settings or otherwise.
pub const EXIT_START_FAILED: u8 = 2;
/// Interval at which the settings file is checked for changes when no signal asks for it.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Exit status after a shutdown that did not finish all calls in time.
const EXIT_INCOMPLETE_SHUTDOWN: u8 = 3;

/// The indigospur daemon. Runs beside a backend server; stops gracefully on SIGTERM or SIGINT and
/// reloads its settings on SIGHUP.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version(VERSION))]
struct Options {
    /// Path of the settings file, in TOML
    #[bpaf(argument("FILE"))]
    settings: String,
    /// Check the settings file and exit without starting the daemon
    #[bpaf(switch)]
    check: bool,
}

/// Runs the program until the daemon has stopped, and returns the exit status: zero,
/// [`EXIT_START_FAILED`] if the daemon could not start, or 3 if the shutdown cut calls off.
pub fn run() -> ExitCode {
    let signals = Signals::install();
    let options = options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match signals.and_then(|signals| start(&options, &signals)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("indigospurd: {error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn start(options: &Options, signals: &Signals) -> Result<ExitCode, StartError> {
    let parse = |file: &str, text: &str| Ok((Settings::parse(file, text)?, ()));
    let (file, settings, ()) = SettingsFile::open(&options.settings, parse, &[])?;
    if options.check {
        println!("{}: ok", options.settings);
        return Ok(ExitCode::SUCCESS);
    }
    runtime::set_threads(1);
    runtime::block_on(async {
        let daemon = DaemonBuilder::new(settings).start().await?;
        print_addresses(&daemon);
        Ok(serve_until_stopped(daemon, signals, file).await)
    })
}

/// Prints the bound addresses as JSON for the process that started the daemon. A closed standard
/// output does not stop the daemon.
fn print_addresses(daemon: &RunningDaemon) {
    let addresses = serde_json::to_string(daemon.addresses()).unwrap_or_default();
    if let Err(error) = writeln!(std::io::stdout(), "{addresses}") {
        log::warn!(error:display; "the listening addresses could not be written to standard output; serving continues");
    }
}

/// Runs the daemon until a signal asks it to stop, then shuts it down and returns the exit status of
/// the program. Meanwhile a changed settings file is applied, on SIGHUP or within 5 seconds.
pub async fn serve_until_stopped<T>(
    daemon: RunningDaemon,
    signals: &Signals,
    mut file: SettingsFile<T>,
) -> ExitCode {
    loop {
        let request = runtime::timeout(SETTINGS_CHECK_INTERVAL, signals.next()).await;
        if request == Some(Request::Stop) {
            break;
        }
        reload(&daemon, &mut file);
    }
    if daemon.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_INCOMPLETE_SHUTDOWN)
    }
}

/// Applies the settings file if it has changed; an unusable file is logged and changes nothing.
fn reload<T>(daemon: &RunningDaemon, file: &mut SettingsFile<T>) {
    let changed = match file.reload() {
        Ok(None) => return,
        Ok(Some(changed)) => changed,
        Err(error) => {
            daemon.count_rejected_settings();
            log::warn!(path = file.path(), error:%; "the changed settings file can't be used; the previous settings stay in force");
            return;
        }
    };
    let (applied, waiting) = (changed.applied.join(", "), changed.deferred.join(", "));
    log::info!(path = file.path(), applied, waiting; "settings changed");
    if !changed.deferred.is_empty() {
        log::warn!(waiting; "these settings take effect only after a restart");
    }
    daemon.change_settings(changed.settings);
}
