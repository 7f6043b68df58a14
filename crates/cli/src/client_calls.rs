//! Calls all controllers concurrently and retries failed calls.

use crate::arguments::ConnectionOptions;
use crate::error::CommandError;
use crate::replies::{ControllerReply, Replies};
use crate::retries::RetrySchedule;
use futures_util::future::join_all;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_management_api::client::{Client, ClientError};
use whinwall_policy::time::Span;

/// Returns a seed that depends on the process and the current time.
pub(crate) fn random_seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

/// Calls each controller. Until the time limit, a call is retried if it fails or if `is_final` returns false for its
/// reply.
///
/// # Errors
/// There is no controller address, or the token file cannot be read.
pub(crate) fn call_controllers<T>(
    connection: &ConnectionOptions,
    is_final: impl Fn(&T) -> bool,
    call: impl AsyncFn(&Client) -> Result<T, ClientError>,
) -> Result<Replies<T>, CommandError> {
    if connection.controllers.is_empty() {
        return Err(CommandError::NoController);
    }
    let token = connection.token_file.as_deref().map(read_token).transpose()?;
    let seed = random_seed();
    let replies = actix_rt::System::new().block_on(async {
        let calls = connection.controllers.iter().enumerate().map(|(index, address)| {
            let client = Client::new(address.clone(), token.clone());
            let retries = RetrySchedule::new(connection.retry_time_limit, seed.wrapping_add(index as u64));
            let (call, is_final) = (&call, &is_final);
            async move {
                let result = call_with_retries(retries, is_final, async || call(&client).await).await;
                ControllerReply { address: address.clone(), result }
            }
        });
        join_all(calls).await
    });
    Ok(Replies(replies))
}

fn read_token(path: &Path) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::TokenFile { path: path.into(), source })?;
    Ok(text.trim().to_string())
}

/// Repeats a call until its reply is final, its error is not retryable, or the schedule allows no further attempt.
async fn call_with_retries<T>(
    mut retries: RetrySchedule,
    is_final: impl Fn(&T) -> bool,
    call: impl AsyncFn() -> Result<T, ClientError>,
) -> Result<T, ClientError> {
    let started_at = Instant::now();
    let mut fallback = None;
    loop {
        let result = call().await;
        let is_done = match &result {
            Ok(reply) => is_final(reply),
            Err(error) => !error.is_retryable(),
        };
        if is_done {
            return result;
        }
        let updated_fallback = FallbackResult::update(fallback, result);
        let elapsed = Span::ns(started_at.elapsed().as_nanos() as u64);
        match retries.next_delay(elapsed) {
            Some(delay) => actix_rt::time::sleep(Duration::from_nanos(delay.as_ns())).await,
            None => return updated_fallback.into_result(),
        }
        fallback = Some(updated_fallback);
    }
}

/// The result to report if no attempt has a final result before the time limit.
enum FallbackResult<T> {
    /// All attempts failed and none was carried out.
    Failed(ClientError),
    /// An attempt may have been carried out. A later failure does not change this; only a later reply does.
    Unknown(ClientError),
    /// The latest reply, which is not final.
    Replied(T),
}

impl<T> FallbackResult<T> {
    /// Returns the fallback after an attempt with this result. `earlier` is the fallback before it; `None` for the
    /// first attempt.
    fn update(earlier: Option<Self>, result: Result<T, ClientError>) -> Self {
        match (result, earlier) {
            (Ok(reply), _) => FallbackResult::Replied(reply),
            (Err(error @ ClientError::OutcomeUnknown(_)), _) => FallbackResult::Unknown(error),
            (Err(_), Some(earlier @ (FallbackResult::Unknown(_) | FallbackResult::Replied(_)))) => earlier,
            (Err(error), None | Some(FallbackResult::Failed(_))) => FallbackResult::Failed(error),
        }
    }

    fn into_result(self) -> Result<T, ClientError> {
        match self {
            FallbackResult::Replied(reply) => Ok(reply),
            FallbackResult::Unknown(error) | FallbackResult::Failed(error) => Err(error),
        }
    }
}
