//! Client of the administration interface of daemons.

use std::net;
use std::time;

use bytes::Bytes;
use lynxmast_transport::client;

use crate::error;

const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Sends a GET request to a daemon and decodes the JSON response.
///
/// # Errors
///
/// Returns an error that names the daemon if it does not respond or if the response cannot be
/// decoded.
pub async fn get<T: serde::de::DeserializeOwned>(
    daemon: net::SocketAddr,
    path: &str,
) -> Result<T, error::CliError> {
    let request = client::exchange(daemon, http::Method::GET, path, Bytes::new(), RESPONSE_TIMEOUT);
    let response = request.await.map_err(|error| {
        error::CliError::new(error::EXIT_UNREACHABLE, format!("daemon {daemon}: {error}"))
    })?;
    serde_json::from_slice(&response.body).map_err(|error| {
        let message = format!("daemon {daemon}: cannot decode the response to {path}: {error}");
        error::CliError::new(error::EXIT_UNREACHABLE, message)
    })
}

/// Returns the address given with the required option `name`.
///
/// # Errors
///
/// Returns an error if the option was not given.
pub fn required(
    address: Option<net::SocketAddr>,
    name: &str,
) -> Result<net::SocketAddr, error::CliError> {
    address.ok_or_else(|| {
        error::CliError::new(error::EXIT_USAGE, format!("option --{name} ADDRESS is required"))
    })
}
