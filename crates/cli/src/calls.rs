//! Makes calls at each controller, all at once, and says how each went.

use crate::answers::Said;
use crate::arguments::{Reach, SetCommand};
use crate::repeats::Repeats;
use crate::{tables, Went};
use futures_util::future::join_all;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_controller::program::configuration::{self, ProcessEnvironment};
use whinwall_management_api::client::{Client, Failure};
use whinwall_management_api::wire::{self, Outcome};
use whinwall_overrides::validation;
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

fn seed() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

/// Eight characters that nobody has to think of.
fn drawn_id() -> String {
    let mut random = Random::from_seed(seed());
    let letters = b"abcdefghjkmnpqrstuvwxyz23456789";
    let draw = |_| char::from(letters[(random.draw() * letters.len() as f64) as usize % letters.len()]);
    "o-".chars().chain((0..8).map(draw)).collect()
}

async fn try_on<T>(
    within: Span,
    seed: u64,
    call: impl AsyncFn() -> Result<T, Failure>,
) -> Result<T, Failure> {
    let (began, mut repeats) = (Instant::now(), Repeats::new(within, seed));
    // What was unknown once stays so until an answer says more.
    let mut unknown = None;
    loop {
        let failure = match call().await {
            Err(failure) if failure.may_pass() => failure,
            other => return other,
        };
        if matches!(failure, Failure::OutcomeUnknown(_)) {
            unknown = Some(failure.clone());
        }
        let gone = Span::ns(began.elapsed().as_nanos() as u64);
        match repeats.next(gone) {
            Some(wait) => actix_rt::time::sleep(Duration::from_nanos(wait.as_ns())).await,
            None => return Err(unknown.unwrap_or(failure)),
        }
    }
}

/// One call at each controller, made again where that may help.
fn at_each<T>(reach: &Reach, call: impl AsyncFn(&Client) -> Result<T, Failure>) -> Result<Said<T>, String> {
    if reach.controller.is_empty() {
        return Err("no governor is named: give --governor, or set WHINWALL_GOVERNORS".into());
    }
    let token = reach.token_file.as_deref().map(token).transpose()?;
    let seed = seed();
    Ok(actix_rt::System::new().block_on(async {
        let calls = reach.controller.iter().enumerate().map(|(n, place)| {
            let (client, call) = (Client::new(place.clone(), token.clone()), &call);
            async move {
                let said =
                    try_on(reach.keep_trying, seed.wrapping_add(n as u64), async || call(&client).await)
                        .await;
                (place.clone(), said)
            }
        });
        join_all(calls).await
    }))
}

fn token(file: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(file).map_err(|why| format!("{}: {why}", file.display()))?;
    Ok(text.trim().to_string())
}

fn went<T>(said: &Said<T>) -> Went {
    let done = said.iter().filter(|(_, said)| said.is_ok()).count();
    let unknown = said.iter().any(|(_, said)| matches!(said, Err(Failure::OutcomeUnknown(_))));
    let refused =
        said.iter().any(|(_, said)| matches!(said, Err(Failure::Refused { .. } | Failure::NotNow(_))));
    match () {
        _ if done == said.len() => Went::Well,
        _ if done > 0 || unknown => Went::InPart,
        _ if refused => Went::Refused,
        _ => Went::Nowhere,
    }
}

fn show_failures<T>(said: &Said<T>) {
    for (place, said) in said {
        if let Err(failure) = said {
            eprintln!("{place}: {failure}");
        }
    }
}

fn show_outcomes(said: &Said<Outcome>) -> Went {
    for (place, said) in said {
        if let Ok(outcome) = said {
            println!("{place}: {}", tables::outcome(outcome));
        }
    }
    show_failures(said);
    went(said)
}

pub fn set(reach: &Reach, what: SetCommand) -> Result<Went, String> {
    let (kind, terms) = what.parts();
    let id = terms.id.unwrap_or_else(drawn_id);
    // Nobody is asked for what all would refuse.
    validation::validate(&id, &kind, &terms.author, &terms.reason).map_err(|invalid| invalid.to_string())?;
    let set = wire::set_of(&kind, &terms.author, &terms.reason, terms.lasts);
    let said = at_each(reach, async |client| client.set(&id, &set).await)?;
    let went = show_outcomes(&said);
    if went != Went::Well {
        eprintln!("say it again with --id {id}: what has it already stays as it is");
    }
    Ok(went)
}

pub fn clear(reach: &Reach, id: &str, author: &str) -> Result<Went, String> {
    Ok(show_outcomes(&at_each(reach, async |client| client.clear(id, author).await)?))
}

pub fn list(reach: &Reach, json: bool, ended: bool) -> Result<Went, String> {
    let said = at_each(reach, async |client| client.list().await)?;
    let rows = tables::rows(&said, ended);
    if json {
        println!("{}", tables::json(&rows));
    } else {
        print!("{}", tables::list(&rows, said.len()));
    }
    show_failures(&said);
    let agree = rows.iter().all(|row| row.agrees());
    Ok(match went(&said) {
        Went::Well if !agree => Went::Disagree,
        went => went,
    })
}

pub fn status(reach: &Reach, json: bool) -> Result<Went, String> {
    let said = at_each(reach, async |client| client.status().await)?;
    for (place, state) in said.iter().filter_map(|(place, said)| Some((place, said.as_ref().ok()?))) {
        if json {
            println!("{}", serde_json::to_string(state).map_err(|why| why.to_string())?);
        } else {
            println!("{place}: {}", tables::status(state));
        }
    }
    show_failures(&said);
    Ok(went(&said))
}

pub fn check(files: &[PathBuf]) -> Result<Went, String> {
    let mut went = Went::Well;
    for file in files {
        let checked = match file.extension().is_some_and(|ending| ending == "xml") {
            true => configuration::read_operators_file(file).map(|_| ()).map_err(|error| error.to_string()),
            false => {
                let environment =
                    ProcessEnvironment { config_file: Some(file.clone()), ..ProcessEnvironment::default() };
                configuration::load(environment).map(|_| ()).map_err(|error| error.to_string())
            }
        };
        match checked {
            Ok(()) => println!("{}: fine", file.display()),
            Err(wrong) => {
                // Some of the messages name their file already.
                let name = file.display().to_string();
                let named = wrong.contains(&name);
                eprintln!("{}{wrong}", if named { String::new() } else { name + ": " });
                went = Went::Refused;
            }
        }
    }
    Ok(went)
}
