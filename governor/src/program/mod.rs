//! Starts and ends the governor.

mod clock;
pub mod configuration;
mod event_loop;
mod logger;
mod signals;

use std::process::ExitCode;

/// Runs until a signal ends it; a configuration that can't be used ends it at once.
pub fn run() -> ExitCode {
    let around = configuration::Surroundings::of_process();
    let logging = around.logging();
    let (level, lines) = logging.clone().unwrap_or((log::LevelFilter::Info, u32::MAX));
    logger::start(level, lines);
    let start = match logging.and_then(|_| configuration::read(&around)) {
        Ok(start) => start,
        Err(wrong) => {
            log::error!("configuration: {wrong}");
            return ExitCode::from(2);
        }
    };
    match actix_rt::System::new().block_on(event_loop::serve(start)) {
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
