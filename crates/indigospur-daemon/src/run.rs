//! The daemon's program: command line, settings, logs, signals.

use crate::failure::StartError;
use crate::lifecycle::{Serving, Starting};
use crate::settings::Settings;
use crate::settings_file::SettingsFile;
use crate::signals::{Request, Signals};
use bpaf::Bpaf;
use indigospur_relay::runtime;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

/// Exit status after wrong settings.
pub const EXIT_SETTINGS: u8 = 2;
/// Time between two looks at the settings file without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(5);
/// Exit status after a stop that cut something off.
const EXIT_CUT_OFF: u8 = 3;

/// The indigospur daemon. Runs beside a backend server until it is told to stop by SIGTERM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in TOML
    #[bpaf(argument("FILE"))]
    settings: String,
    /// Check the settings and exit
    #[bpaf(switch)]
    check: bool,
}

/// Runs the daemon's program.
pub fn run() -> ExitCode {
    let signals = Signals::receive();
    let options = options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match signals.and_then(|signals| start(&options, &signals)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("indigospurd: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn start(options: &Options, signals: &Signals) -> Result<ExitCode, StartError> {
    let read = |file: &str, text: &str| Ok((Settings::parse(file, text)?, ()));
    let (file, settings, ()) = SettingsFile::open(&options.settings, read, &[])?;
    if options.check {
        println!("{}: ok", options.settings);
        return Ok(ExitCode::SUCCESS);
    }
    runtime::set_threads(1);
    runtime::block_on(async {
        let serving = Starting::new(settings).serve().await?;
        print_addresses(&serving);
        Ok(serve_until_stopped(serving, signals, file).await)
    })
}

/// Prints the addresses for whoever started the daemon; it serves also if nobody reads them.
fn print_addresses(serving: &Serving) {
    let addresses = serde_json::to_string(serving.addresses()).unwrap_or_default();
    if let Err(error) = writeln!(std::io::stdout(), "{addresses}") {
        log::warn!(error:display; "the addresses could not be printed");
    }
}

/// Serves until a signal to stop, and stops; the program's exit status. Settings that change
/// meanwhile are put in force, at a signal or when it is noticed that the file has changed.
pub async fn serve_until_stopped<T>(
    serving: Serving,
    signals: &Signals,
    mut file: SettingsFile<T>,
) -> ExitCode {
    loop {
        let request = runtime::timeout(SETTINGS_CHECK, signals.next()).await;
        if request == Some(Request::Stop) {
            break;
        }
        reload(&serving, &mut file);
    }
    if serving.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT_OFF)
    }
}

/// Puts settings that have changed in force; those that can't be used are left aside.
fn reload<T>(serving: &Serving, file: &mut SettingsFile<T>) {
    let changed = match file.read_again() {
        Ok(None) => return,
        Ok(Some(changed)) => changed,
        Err(error) => {
            serving.skip_settings();
            log::warn!(path = file.path(), error:%; "changed settings are left aside; those in force stay");
            return;
        }
    };
    let (applied, waiting) = (changed.applied.join(", "), changed.waiting.join(", "));
    log::info!(path = file.path(), applied, waiting; "settings changed");
    if !changed.waiting.is_empty() {
        log::warn!(waiting; "these settings change at the next start");
    }
    serving.change_settings(changed.settings);
}
