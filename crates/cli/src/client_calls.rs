//! Calls every controller at the same time, and retries calls that failed.

use crate::arguments::ConnectionOptions;
use crate::error::CommandError;
use crate::replies::{ControllerReply, Replies};
use crate::retries::RetrySchedule;
use futures_util::future::join_all;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_management_api::client::{Client, ClientError};
use whinwall_policy::time::Span;

/// A seed that differs between processes and between moments.
pub(crate) fn random_seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

/// Makes a call to each controller.
///
/// # Errors
/// No controller is named, or the token cannot be read.
pub(crate) fn call_controllers<T>(
    connection: &ConnectionOptions,
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
            let call = &call;
            async move {
                let result = call_with_retries(retries, async || call(&client).await).await;
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

async fn call_with_retries<T>(
    mut retries: RetrySchedule,
    call: impl AsyncFn() -> Result<T, ClientError>,
) -> Result<T, ClientError> {
    let started_at = Instant::now();
    // An unknown outcome stays unknown until a later attempt has a reply.
    let mut unknown_outcome = None;
    loop {
        let error = match call().await {
            Err(error) if error.is_retryable() => error,
            result => return result,
        };
        if matches!(error, ClientError::OutcomeUnknown(_)) {
            unknown_outcome = Some(error.clone());
        }
        let elapsed = Span::ns(started_at.elapsed().as_nanos() as u64);
        match retries.next_delay(elapsed) {
            Some(delay) => actix_rt::time::sleep(Duration::from_nanos(delay.as_ns())).await,
            None => return Err(unknown_outcome.unwrap_or(error)),
        }
    }
}
