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

/// Makes a call to each controller. One that fails, or whose reply is not final, is retried.
///
/// # Errors
/// No controller is named, or the token cannot be read.
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

async fn call_with_retries<T>(
    mut retries: RetrySchedule,
    is_final: impl Fn(&T) -> bool,
    call: impl AsyncFn() -> Result<T, ClientError>,
) -> Result<T, ClientError> {
    let started_at = Instant::now();
    let mut last = LastResort::None;
    loop {
        let result = call().await;
        let is_done = match &result {
            Ok(reply) => is_final(reply),
            Err(error) => !error.is_retryable(),
        };
        if is_done {
            return result;
        }
        last = last.after(result);
        let elapsed = Span::ns(started_at.elapsed().as_nanos() as u64);
        match retries.next_delay(elapsed) {
            Some(delay) => actix_rt::time::sleep(Duration::from_nanos(delay.as_ns())).await,
            None => return last.into_result(),
        }
    }
}

/// What the attempts so far have shown, where none of them is final.
enum LastResort<T> {
    /// Nothing was attempted.
    None,
    /// Nothing was carried out.
    Failed(ClientError),
    /// An attempt may have been carried out, which stays so until a later one has a reply.
    Unknown(ClientError),
    /// The last reply, which is not final.
    Replied(T),
}

impl<T> LastResort<T> {
    fn after(self, result: Result<T, ClientError>) -> Self {
        match (result, self) {
            (Ok(reply), _) => LastResort::Replied(reply),
            (Err(error @ ClientError::OutcomeUnknown(_)), _) => LastResort::Unknown(error),
            (Err(_), known @ (LastResort::Unknown(_) | LastResort::Replied(_))) => known,
            (Err(error), LastResort::None | LastResort::Failed(_)) => LastResort::Failed(error),
        }
    }

    fn into_result(self) -> Result<T, ClientError> {
        match self {
            LastResort::Replied(reply) => Ok(reply),
            LastResort::Unknown(error) | LastResort::Failed(error) => Err(error),
            LastResort::None => Err(ClientError::NotSent("no attempt".into())),
        }
    }
}
