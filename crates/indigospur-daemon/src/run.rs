//! The daemon's program: command line, settings, logs, signals.

use crate::failure::StartError;
use crate::lifecycle::{Serving, Starting};
use crate::settings::Settings;
use async_std::channel::{Receiver, bounded};
use bpaf::Bpaf;
use indigospur_relay::runtime;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
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
    let options = options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match start(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("indigospurd: {error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn start(options: &Options) -> Result<ExitCode, StartError> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{}: ok", options.settings);
        return Ok(ExitCode::SUCCESS);
    }
    runtime::set_threads(1);
    let stop = stop_signals()?;
    runtime::block_on(async {
        let serving = Starting::new(settings).serve().await?;
        println!(
            "{}",
            serde_json::to_string(serving.addresses()).unwrap_or_default()
        );
        Ok(serve_until_stopped(serving, &stop).await)
    })
}

/// Serves until a signal to stop, and stops; the program's exit status.
pub async fn serve_until_stopped(serving: Serving, stop: &Receiver<()>) -> ExitCode {
    let _ = stop.recv().await;
    if serving.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT_OFF)
    }
}

/// Tells of each signal to stop.
///
/// # Errors
/// Signals can't be received.
pub fn stop_signals() -> Result<Receiver<()>, StartError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(StartError::Signals)?;
    let (sender, receiver) = bounded(1);
    std::thread::spawn(move || {
        for _ in signals.forever() {
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}
