//! Start-up: binds the listener, starts the services, and starts a new incarnation after a panic.

use super::configuration::ControllerConfig;
use super::incarnation::run_incarnation;
use super::services::{OperatorServices, ServiceError};
use actix_rt::net::TcpListener;
use futures_util::FutureExt;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use whinwall_runtime::logger::LogFormatSwitch;
use whinwall_runtime::signals::{Signals, Termination};
use whinwall_serving::accept;
use whinwall_transport::limits;

/// Maximum number of retries to bind the listener, at intervals of `limits::RETRY_BACKOFF`: a previous process may
/// still hold the address for a short time.
const MAX_BIND_RETRIES: u32 = 50;

/// Errors that prevent serving. Their texts are shown to the operator.
#[derive(Debug, thiserror::Error)]
pub(super) enum ServeError {
    #[error("listen: {address}: {source}")]
    Bind { address: SocketAddr, source: std::io::Error },
    #[error("listen: {0}")]
    LocalAddress(#[source] std::io::Error),
    #[error(transparent)]
    Service(#[from] ServiceError),
}

/// Serves until a termination signal.
pub(super) async fn serve(
    config: ControllerConfig,
    mut signals: Signals,
    log_format: LogFormatSwitch,
) -> Result<Termination, ServeError> {
    let listener = match bind(config.listen, &mut signals).await? {
        BindOutcome::Listening(listener) => Rc::new(listener),
        BindOutcome::Terminated(termination) => return Ok(termination),
    };
    let address = listener.local_addr().map_err(ServeError::LocalAddress)?;
    tracing::info!(%address, controller = config.name, "listening for collectors");
    let services = OperatorServices::start(&config.name, config.operators.as_ref(), log_format)?;
    Ok(run_incarnations(config, listener, signals, services).await)
}

/// Runs incarnations until a termination signal. A panic loses the state of the reducer, as a restart of the
/// process would; the next incarnation rebuilds it from the relay and discovery.
async fn run_incarnations(
    mut config: ControllerConfig,
    listener: Rc<TcpListener>,
    mut signals: Signals,
    mut services: OperatorServices,
) -> Termination {
    loop {
        let incarnation = run_incarnation(&mut config, listener.clone(), &mut signals, &mut services);
        match AssertUnwindSafe(incarnation).catch_unwind().await {
            Ok(termination) => return termination,
            Err(_) => tracing::error!("panic in the event loop, starting a new incarnation"),
        }
        services.abandon_clients();
        config.begin_new_incarnation();
        if let Err(termination) = signals.sleep(limits::RETRY_BACKOFF).await {
            return termination;
        }
    }
}

/// The outcome of binding the listener, other than an error.
enum BindOutcome {
    Listening(TcpListener),
    Terminated(Termination),
}

async fn bind(address: SocketAddr, signals: &mut Signals) -> Result<BindOutcome, ServeError> {
    let mut retries = 0;
    loop {
        match accept::listen(address) {
            Ok(listener) => return Ok(BindOutcome::Listening(listener)),
            Err(source) if retries == MAX_BIND_RETRIES => return Err(ServeError::Bind { address, source }),
            Err(error) if retries == 0 => {
                tracing::warn!(%address, %error, "listen address not available, retrying");
            }
            Err(_) => {}
        }
        retries += 1;
        if let Err(termination) = signals.sleep(limits::RETRY_BACKOFF).await {
            return Ok(BindOutcome::Terminated(termination));
        }
    }
}
