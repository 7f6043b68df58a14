//! Starts and ends the governor.

pub mod configuration;
mod event_loop;
mod logger;
mod signals;

use std::process::ExitCode;

/// Runs until a signal ends it; a configuration that can't be used ends it at once.
pub fn run() -> ExitCode {
    logger::start();
    let start = match configuration::read(&configuration::Surroundings::of_process()) {
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
