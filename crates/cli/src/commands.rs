//! The subcommands. Each calls the controllers, prints their replies and returns the exit status.

use crate::arguments::{ConnectionOptions, SetCommand};
use crate::client_calls::{call_controllers, random_seed};
use crate::error::CommandError;
use crate::replies::{ExitStatus, Replies};
use crate::tables::{self, Listing, OutputFormat, OverrideRow};
use std::path::{Path, PathBuf};
use whinwall_controller::program::configuration::{self, ProcessEnvironment};
use whinwall_management_api::wire::{ChangeOutcome, SetBody};
use whinwall_overrides::validation::validate;
use whinwall_policy::random::Random;

/// The characters of a generated id, without characters that are easily confused.
const ID_ALPHABET: &[u8] = b"abcdefghjkmnpqrstuvwxyz23456789";
const ID_PREFIX: &str = "o-";
/// The number of random characters in a generated id.
const ID_LENGTH: usize = 8;

/// Sets an override at all controllers.
pub(crate) fn set_override(
    connection: &ConnectionOptions,
    command: SetCommand,
) -> Result<ExitStatus, CommandError> {
    let (kind, options) = command.into_kind_and_options();
    let id = options.id.unwrap_or_else(generate_id);
    // An invalid override is not sent, because all controllers would reject it.
    validate(&id, &kind, &options.author, &options.reason)?;
    let body = SetBody::new(&kind, &options.author, &options.reason, options.duration);
    let replies =
        call_controllers(connection, is_durability_final, async |client| client.set(&id, &body).await)?;
    let status = print_outcomes(&replies);
    if status != ExitStatus::Success {
        eprintln!("to retry, use --id {id}: controllers that already have the override keep it unchanged");
    }
    Ok(status)
}

fn generate_id() -> String {
    let mut random = Random::from_seed(random_seed());
    let alphabet_length = ID_ALPHABET.len();
    let random_character =
        |_| char::from(ID_ALPHABET[(random.draw() * alphabet_length as f64) as usize % alphabet_length]);
    ID_PREFIX.chars().chain((0..ID_LENGTH).map(random_character)).collect()
}

/// Clears an override at all controllers.
pub(crate) fn clear_override(
    connection: &ConnectionOptions,
    id: &str,
    author: &str,
) -> Result<ExitStatus, CommandError> {
    let replies =
        call_controllers(connection, is_durability_final, async |client| client.clear(id, author).await)?;
    Ok(print_outcomes(&replies))
}

/// Lists the overrides of all controllers side by side.
pub(crate) fn list_overrides(
    connection: &ConnectionOptions,
    format: OutputFormat,
    listing: Listing,
) -> Result<ExitStatus, CommandError> {
    let replies = call_controllers(connection, |_| true, async |client| client.list().await)?;
    let rows = tables::collect_rows(&replies, listing);
    match format {
        OutputFormat::Json => println!("{}", tables::format_rows_as_json(&rows)),
        OutputFormat::Table => print!("{}", tables::format_rows(&rows, replies.controller_count())),
    }
    print_errors(&replies);
    Ok(match replies.exit_status() {
        ExitStatus::Success if !rows.iter().all(OverrideRow::agrees) => ExitStatus::Disagreement,
        status => status,
    })
}

/// Prints the status of all controllers.
pub(crate) fn show_status(
    connection: &ConnectionOptions,
    format: OutputFormat,
) -> Result<ExitStatus, CommandError> {
    let replies = call_controllers(connection, |_| true, async |client| client.status().await)?;
    for (address, state) in replies.successes() {
        match format {
            OutputFormat::Json => println!("{}", serde_json::to_string(state)?),
            OutputFormat::Table => println!("{address}: {}", tables::format_status(state)),
        }
    }
    print_errors(&replies);
    Ok(replies.exit_status())
}

fn print_outcomes(replies: &Replies<ChangeOutcome>) -> ExitStatus {
    for (address, outcome) in replies.successes() {
        println!("{address}: {}", tables::format_outcome(outcome));
    }
    print_errors(replies);
    match replies.exit_status() {
        ExitStatus::Success if !replies.successes().all(|(_, outcome)| is_durability_final(outcome)) => {
            ExitStatus::NotDurable
        }
        status => status,
    }
}

/// Returns true if the durability of the change is final: either the change is on disk, or the controller is configured
/// without a store.
fn is_durability_final(outcome: &ChangeOutcome) -> bool {
    !outcome.is_not_on_disk_yet()
}

fn print_errors<T>(replies: &Replies<T>) {
    for (address, error) in replies.errors() {
        eprintln!("{address}: {error}");
    }
}

/// Checks configuration files and prints the result for each.
pub(crate) fn check_files(files: &[PathBuf]) -> ExitStatus {
    let mut status = ExitStatus::Success;
    for file in files {
        match check_file(file) {
            Ok(()) => println!("{}: fine", file.display()),
            Err(message) => {
                eprintln!("{message}");
                status = ExitStatus::Rejected;
            }
        }
    }
    status
}

/// Checks one file: an operators' file if the extension is `.xml`, otherwise a platform configuration file. The error
/// message contains the path of the file.
fn check_file(file: &Path) -> Result<(), String> {
    let checked = if file.extension().is_some_and(|extension| extension == "xml") {
        configuration::read_operators_file(file).map(|_| ()).map_err(|error| error.to_string())
    } else {
        let environment =
            ProcessEnvironment { config_file: Some(file.to_path_buf()), ..ProcessEnvironment::default() };
        configuration::load(environment).map(|_| ()).map_err(|error| error.to_string())
    };
    checked.map_err(|error| {
        let name = file.display().to_string();
        // Some errors already contain the path.
        if error.contains(&name) {
            error
        } else {
            format!("{name}: {error}")
        }
    })
}
