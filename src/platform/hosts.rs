//! Client of the platform's API for hosts.

use std::time::Instant;

use compio::time::timeout_at;
use cyper::Client;
use cyper::redirect::Policy;

use crate::name::HostName;
use crate::platform::PlatformError;
use crate::platform::wire::ListWire;
use crate::platform::wire::RebootWire;
use crate::upkeep::Listing;

/// Lists hosts and requests reboots. Clones share a connection pool.
#[derive(Debug, Clone)]
pub struct HostsClient {
    client: Client,
    url: String,
}

impl HostsClient {
    /// A client of the platform with the base URL `base`, such as `http://127.0.0.1:7001`.
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

    /// The platform's current list of hosts.
    ///
    /// # Errors
    /// A [`PlatformError`] if no valid list arrives before `deadline`.
    pub async fn list(&self, deadline: Instant) -> Result<Listing, PlatformError> {
        timeout_at(deadline, self.send_list())
            .await
            .unwrap_or(Err(PlatformError::Timeout))
    }

    /// Requests a reboot of `host`. The platform reboots a host at most once per `id`, so a request
    /// may be repeated; ids of later reboots must be higher.
    ///
    /// # Errors
    /// A [`PlatformError`] if the platform did not confirm the request; it may have accepted it.
    pub async fn reboot(
        &self,
        host: &HostName,
        id: u64,
        deadline: Instant,
    ) -> Result<(), PlatformError> {
        timeout_at(deadline, self.send_reboot(host, id))
            .await
            .unwrap_or(Err(PlatformError::Timeout))
    }

    async fn send_list(&self) -> Result<Listing, PlatformError> {
        let response = self.client.get(&self.url)?.send().await?;
        if !response.status().is_success() {
            return Err(PlatformError::Status(response.status()));
        }
        let body = response.bytes().await?;
        let list: ListWire = serde_json::from_slice(&body)?;
        Ok(list.into())
    }

    async fn send_reboot(&self, host: &HostName, id: u64) -> Result<(), PlatformError> {
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
