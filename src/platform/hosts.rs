//! Client of the platform's list of hosts.

use std::time::Instant;

use compio::time::timeout_at;
use cyper::Client;
use cyper::redirect::Policy;

use crate::name::HostName;
use crate::platform::PlatformError;
use crate::platform::wire::ListWire;
use crate::platform::wire::RebootWire;
use crate::upkeep::Listing;

/// Reads the list of hosts and asks for reboots; clones share their connections.
#[derive(Debug, Clone)]
pub struct HostsClient {
    client: Client,
    url: String,
}

impl HostsClient {
    /// A client of the platform at `base`, as in `http://127.0.0.1:7001`.
    ///
    /// # Errors
    /// A [`cyper::Error`] if the HTTP client can't be built.
    pub fn new(base: &str) -> Result<Self, cyper::Error> {
        let builder = Client::builder().redirect(Policy::none()).no_proxy();
        Ok(Self {
            client: builder.build()?,
            url: format!("{}/v1/hosts", base.trim_end_matches('/')),
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    /// A [`PlatformError`] if no list arrives before `deadline`.
    pub async fn list(&self, deadline: Instant) -> Result<Listing, PlatformError> {
        timeout_at(deadline, self.list_once())
            .await
            .unwrap_or(Err(PlatformError::Timeout))
    }

    /// Asks for a reboot; the platform reboots a host once for each `id`, and ids rise.
    ///
    /// # Errors
    /// A [`PlatformError`] if it is not known to have been taken; it may be asked for again.
    pub async fn reboot(
        &self,
        host: &HostName,
        id: u64,
        deadline: Instant,
    ) -> Result<(), PlatformError> {
        timeout_at(deadline, self.reboot_once(host, id))
            .await
            .unwrap_or(Err(PlatformError::Timeout))
    }

    async fn list_once(&self) -> Result<Listing, PlatformError> {
        let response = self.client.get(&self.url)?.send().await?;
        if !response.status().is_success() {
            return Err(PlatformError::Status(response.status()));
        }
        let body = response.bytes().await?;
        let list: ListWire = serde_json::from_slice(&body)?;
        Ok(list.into())
    }

    async fn reboot_once(&self, host: &HostName, id: u64) -> Result<(), PlatformError> {
        let url = format!("{}/{host}/reboot", self.url);
        let request = self.client.post(url)?;
        let response = request.body(serde_json::to_vec(&RebootWire { id })?).send();
        let status = response.await?.status();
        if status.is_success() {
            return Ok(());
        }
        Err(PlatformError::Status(status))
    }
}
