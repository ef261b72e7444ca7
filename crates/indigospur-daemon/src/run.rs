//! The daemon's program: command line, settings, logs, signals.

use crate::failure::StartError;
use crate::lifecycle::{Serving, Starting};
use crate::settings::Settings;
use crate::signals::{Request, Signals};
use bpaf::Bpaf;
use indigospur_relay::runtime;
use std::process::ExitCode;

/// Exit status after wrong settings.
pub const EXIT_SETTINGS: u8 = 2;
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
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{}: ok", options.settings);
        return Ok(ExitCode::SUCCESS);
    }
    runtime::set_threads(1);
    runtime::block_on(async {
        let serving = Starting::new(settings).serve().await?;
        println!(
            "{}",
            serde_json::to_string(serving.addresses()).unwrap_or_default()
        );
        Ok(serve_until_stopped(serving, signals).await)
    })
}

/// Serves until a signal to stop, and stops; the program's exit status.
pub async fn serve_until_stopped(serving: Serving, signals: &Signals) -> ExitCode {
    while signals.next().await != Request::Stop {}
    if serving.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT_OFF)
    }
}
