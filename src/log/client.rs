//! HTTP client of the platform's log.

use std::error::Error;
use std::io;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout_at;
use cyper::Client;
use cyper::redirect::Policy;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::log::AppendError;
use crate::log::Page;
use crate::log::ReadError;
use crate::log::page::PageWire;

/// Appends records to the log and reads them; clones share connections.
#[derive(Debug, Clone)]
pub struct LogClient {
    client: Client,
    url: String,
}

#[derive(Deserialize)]
struct AppendWire {
    offset: u64,
}

#[derive(Deserialize)]
struct GoneWire {
    first: u64,
    head: u64,
}

impl LogClient {
    /// Creates a client of the log at the URL `base`, such as `http://127.0.0.1:7000`.
    ///
    /// # Errors
    /// A [`cyper::Error`] if the HTTP client cannot be built.
    pub fn new(base: &str) -> Result<Self, cyper::Error> {
        let builder = Client::builder().redirect(Policy::none()).no_proxy();
        Ok(Self {
            client: builder.build()?,
            url: format!("{}/v1/records", base.trim_end_matches('/')),
        })
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// `NotAppended` if the log refused the connection or the record; `Unknown` in all other cases,
    /// such as no response before `deadline`.
    pub async fn append(&self, data: Vec<u8>, deadline: Instant) -> Result<u64, AppendError> {
        timeout_at(deadline, self.append_once(data))
            .await
            .unwrap_or_else(|_| Err(AppendError::Unknown("no response in time".to_owned())))
    }

    async fn append_once(&self, data: Vec<u8>) -> Result<u64, AppendError> {
        let refused = |err: cyper::Error| AppendError::NotAppended(err.to_string());
        let unknown = |err: &dyn Error| AppendError::Unknown(err.to_string());
        let request = self.client.post(&self.url).map_err(refused)?.body(data);
        let response = request.send().await.map_err(|err| {
            if is_refused(&err) {
                refused(err)
            } else {
                unknown(&err)
            }
        })?;
        let status = response.status();
        if status.is_client_error() || status.is_server_error() {
            return Err(AppendError::NotAppended(status.to_string()));
        }
        if !status.is_success() {
            return Err(AppendError::Unknown(status.to_string()));
        }
        let body = response.bytes().await.map_err(|err| unknown(&err))?;
        let answer: AppendWire = serde_json::from_slice(&body).map_err(|err| unknown(&err))?;
        Ok(answer.offset)
    }

    /// Reads up to `max` records from offset `from` on. If there are none yet, the log delays its
    /// response for up to `wait` until there is one.
    ///
    /// # Errors
    /// `Gone` if the record at `from` has expired; `Unavailable` if there is no valid response
    /// before `deadline`.
    pub async fn read(
        &self,
        from: u64,
        max: usize,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Page, ReadError> {
        timeout_at(deadline, self.read_once(from, max, wait))
            .await
            .unwrap_or_else(|_| Err(ReadError::Unavailable("no response in time".to_owned())))
    }

    async fn read_once(&self, from: u64, max: usize, wait: Duration) -> Result<Page, ReadError> {
        let (base, wait) = (&self.url, wait.as_millis());
        let url = format!("{base}?from={from}&max={max}&wait_ms={wait}");
        let request = self.client.get(url).map_err(unavailable)?;
        let response = request.send().await.map_err(unavailable)?;
        let status = response.status().as_u16();
        let body = response.bytes().await.map_err(unavailable)?;
        match status {
            200 => parse::<PageWire>(&body)?.try_into().map_err(unavailable),
            410 => {
                parse(&body).and_then(|GoneWire { first, head }| Err(ReadError::Gone(first, head)))
            }
            _ => Err(ReadError::Unavailable(format!(
                "unexpected HTTP status {status}"
            ))),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ReadError> {
    serde_json::from_slice(body).map_err(unavailable)
}

fn unavailable(err: impl Error) -> ReadError {
    ReadError::Unavailable(err.to_string())
}

fn is_refused(err: &(dyn Error + 'static)) -> bool {
    std::iter::successors(Some(err), |&err| err.source())
        .filter_map(|err| err.downcast_ref::<io::Error>())
        .any(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}
