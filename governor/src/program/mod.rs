//! Starts and ends the governor.

mod clock;
pub mod configuration;
mod event_loop;
mod logger;
mod signals;

use signals::Signals;
use std::process::ExitCode;

/// Runs until a signal ends it; a configuration that can't be used ends it at once.
pub fn run() -> ExitCode {
    let around = configuration::Surroundings::of_process();
    let logging = around.logging();
    let (level, lines) = logging.clone().unwrap_or((log::LevelFilter::Info, u32::MAX));
    logger::start(level, lines);
    let system = actix_rt::System::new();
    // Before anything else, lest a signal meet a program that does not know it yet.
    let signals = system.block_on(async { Signals::listen() });
    let signals = signals.map_err(|why| format!("signals: {why}"));
    let read = || Ok((signals?, logging.and_then(|_| configuration::read(around))?));
    let (signals, start) = match read() {
        Ok(all) => all,
        Err::<_, String>(wrong) => {
            log::error!("configuration: {wrong}");
            return ExitCode::from(2);
        }
    };
    match system.block_on(event_loop::serve(start, signals)) {
        Ok(why) => {
            log::info!("{why}, ending");
            ExitCode::SUCCESS
        }
        Err(wrong) => {
            log::error!("{wrong}");
            ExitCode::FAILURE
        }
    }
}
