//! HTTP client of the platform's key-value store.
//!
//! The API resembles that of Consul: `/v1/kv` with `cas`, `index`, `wait`, `recurse` and `acquire`,
//! `/v1/session` for leases, `/v1/agent/service/register` and `/v1/catalog/service` for the list of
//! instances.
//!
//! Each call has a timeout and is counted by the metric `filbertbay_platform_calls_total` with the
//! labels `call` and `outcome`. The kind of an error tells whether the call may have taken effect:
//! a failed connection is [`ErrorKind::Unreachable`], and any failure after the request may have
//! been sent is [`ErrorKind::Unanswered`].
//!
//! # Examples
//!
//! ```no_run
//! use filbertbay_protocol::platform::{ModifyIndex, Store};
//! use filbertbay_transport::platform::Client;
//!
//! # async fn example() -> Result<(), filbertbay_protocol::platform::Error> {
//! let client = Client::new("http://127.0.0.1:8500")?;
//! let created = client
//!     .compare_and_swap("filbertbay/example", b"1".to_vec(), ModifyIndex(0))
//!     .await?;
//! assert!(created);
//! # Ok(())
//! # }
//! ```

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use filbertbay_protocol::platform::{
    Entry, Error, ErrorKind, Instance, LeaseId, MAX_VALUE_BYTES, ModifyIndex, REGISTRATION_TTL,
    Store,
};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Counter of calls to the platform, by call and outcome.
pub const CALLS_METRIC: &str = "filbertbay_platform_calls_total";

/// Maximum length of a response in bytes; a list of the whole configuration is shorter.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Name of the service that instances are registered as.
const SERVICE_NAME: &str = "filbertbay";

/// Response header with the modification index of a watched key.
const INDEX_HEADER: &str = "x-consul-index";

/// Start of the platform's error message for a call under an expired lease.
const INVALID_LEASE_PREFIX: &str = "invalid session";

/// Options of a [`Client`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Timeout of connecting.
    pub connect_timeout: Duration,
    /// Timeout of a whole call, including connecting; a watch adds the time it may wait.
    pub call_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(3),
        }
    }
}

/// HTTP client of the platform's key-value store.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base_url: Arc<str>,
    config: Config,
}

impl Client {
    /// Creates a client for a base URL such as `http://127.0.0.1:8500`.
    ///
    /// The first call connects.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind [`ErrorKind::Refused`] if `base_url` is not a valid URL.
    pub fn new(base_url: &str) -> Result<Self, Error> {
        Self::with_config(base_url, Config::default())
    }

    /// Creates a client with the given options. See [`Client::new`].
    ///
    /// # Errors
    ///
    /// Returns an error of the kind [`ErrorKind::Refused`] if `base_url` is not a valid URL.
    pub fn with_config(base_url: &str, config: Config) -> Result<Self, Error> {
        let refused = |message: String| Error::new(ErrorKind::Refused, "open", message);
        reqwest::Url::parse(base_url).map_err(|error| refused(error.to_string()))?;
        let http = reqwest::Client::builder()
            .connect_timeout(config.connect_timeout)
            .no_proxy()
            .build()
            .map_err(|error| refused(error.to_string()))?;
        Ok(Self {
            http,
            base_url: base_url.trim_end_matches('/').into(),
            config,
        })
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http
            .request(method, format!("{}/v1/{path}", self.base_url))
    }

    async fn call(
        &self,
        call: &'static str,
        request: RequestBuilder,
    ) -> Result<StoreResponse, Error> {
        self.call_with_timeout(call, request, self.config.call_timeout)
            .await
    }

    async fn call_with_timeout(
        &self,
        call: &'static str,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<StoreResponse, Error> {
        let request = request.timeout(timeout);
        let outcome = send(call, request).await;
        let label = match &outcome {
            Ok(_) => "ok".to_owned(),
            Err(error) => error.kind().to_string(),
        };
        metrics::counter!(CALLS_METRIC, "call" => call, "outcome" => label).increment(1);
        outcome
    }

    async fn put<T>(&self, call: &'static str, path: &str, body: &T) -> Result<StoreResponse, Error>
    where
        T: Serialize + Sync,
    {
        self.call(call, self.request(Method::PUT, path).json(body))
            .await
    }

    /// Sends a blocking query for a key.
    ///
    /// The platform responds when the index of the key is above `above` or `wait` has passed.
    /// Returns the entry, if the key exists, and the index to wait above next.
    async fn blocking_query(
        &self,
        key: &str,
        above: ModifyIndex,
        wait: Duration,
    ) -> Result<(Option<Entry>, ModifyIndex), Error> {
        let wait_ms = format!("{}ms", wait.as_millis());
        let request = self
            .request(Method::GET, &format!("kv/{key}"))
            .query(&[("index", above.0.to_string()), ("wait", wait_ms)]);
        let response = self
            .call_with_timeout("watch", request, wait + self.config.call_timeout)
            .await?;
        let index = response.index;
        Ok((response.entries("watch")?.into_iter().next(), index))
    }
}

#[async_trait]
impl Store for Client {
    async fn read(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = self.request(Method::GET, &format!("kv/{key}"));
        let response = self.call("read", request).await?;
        Ok(response.entries("read")?.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let request = self.request(Method::GET, &format!("kv/{prefix}?recurse"));
        let mut entries = self.call("list", request).await?.entries("list")?;
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(entries)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: ModifyIndex,
    ) -> Result<bool, Error> {
        check_size("swap", &value)?;
        let path = format!("kv/{key}?cas={}", expected.0);
        let request = self.request(Method::PUT, &path).body(value);
        self.call("swap", request).await?.json("swap")
    }

    async fn compare_and_delete(&self, key: &str, expected: ModifyIndex) -> Result<bool, Error> {
        let path = format!("kv/{key}?cas={}", expected.0);
        let request = self.request(Method::DELETE, &path);
        self.call("remove", request).await?.json("remove")
    }

    async fn watch(
        &self,
        key: &str,
        seen: ModifyIndex,
        wait: Duration,
    ) -> Result<Option<Entry>, Error> {
        let deadline = Instant::now() + wait;
        // A blocking query with index 0 returns immediately, so a missing key waits above index 1.
        let mut above = ModifyIndex(seen.0.max(1));
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let (entry, index) = self.blocking_query(key, above, remaining).await?;
            let changed = entry.as_ref().map_or(ModifyIndex(0), |entry| entry.index) != seen;
            if changed || Instant::now() >= deadline {
                return Ok(entry);
            }
            above = index.max(above);
        }
    }

    async fn open_lease(&self, name: &str, ttl: Duration) -> Result<LeaseId, Error> {
        let body = CreateSession {
            name,
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "release",
            lock_delay: "0s",
        };
        let response = self.put("open_lease", "session/create", &body).await?;
        let session: Session = response.json("open_lease")?;
        Ok(LeaseId(session.id))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, Error> {
        let path = format!("session/renew/{}", lease.0);
        let response = self
            .call("renew_lease", self.request(Method::PUT, &path))
            .await?;
        Ok(response.body.is_some())
    }

    async fn close_lease(&self, lease: &LeaseId) -> Result<(), Error> {
        let path = format!("session/destroy/{}", lease.0);
        self.call("close_lease", self.request(Method::PUT, &path))
            .await?;
        Ok(())
    }

    async fn acquire(&self, key: &str, value: Vec<u8>, lease: &LeaseId) -> Result<bool, Error> {
        check_size("acquire", &value)?;
        let path = format!("kv/{key}?acquire={}", lease.0);
        let request = self.request(Method::PUT, &path).body(value);
        let response = self.call("acquire", request).await?;
        if response.lease_expired {
            return Ok(false);
        }
        response.json("acquire")
    }

    async fn register(&self, instance: &Instance) -> Result<(), Error> {
        let body = RegisterService {
            id: &instance.name,
            name: SERVICE_NAME,
            address: instance.caller_address.ip().to_string(),
            port: instance.caller_address.port(),
            meta: Meta {
                instance: serde_json::to_string(instance)
                    .map_err(|error| malformed("register", &error))?,
            },
            check: TtlCheck {
                ttl: format!("{}s", REGISTRATION_TTL.as_secs()),
                status: "passing",
            },
        };
        self.put("register", "agent/service/register", &body)
            .await?;
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let path = format!("catalog/service/{SERVICE_NAME}");
        let response = self
            .call("instances", self.request(Method::GET, &path))
            .await?;
        let services: Vec<Service> = response.json("instances")?;
        let instances = services
            .iter()
            .map(|service| service.meta.instance.as_str());
        let parsed = instances.map(serde_json::from_str);
        parsed
            .collect::<Result<_, _>>()
            .map_err(|error| malformed("instances", &error))
    }
}

/// Response with a success status, "not found", or the error for an expired lease.
struct StoreResponse {
    /// Body of a success, `None` otherwise.
    body: Option<Vec<u8>>,
    /// Modification index from the header, 0 without one.
    index: ModifyIndex,
    /// Whether the platform refused the call because its lease has expired.
    lease_expired: bool,
}

impl StoreResponse {
    fn json<T>(&self, call: &'static str) -> Result<T, Error>
    where
        T: for<'de> Deserialize<'de>,
    {
        let body = self.body.as_deref().unwrap_or_default();
        serde_json::from_slice(body).map_err(|error| malformed(call, &error))
    }

    fn entries(&self, call: &'static str) -> Result<Vec<Entry>, Error> {
        if self.body.is_none() {
            return Ok(Vec::new());
        }
        let records: Vec<KeyRecord> = self.json(call)?;
        records
            .into_iter()
            .map(|record| record.into_entry(call))
            .collect()
    }
}

async fn send(call: &'static str, request: RequestBuilder) -> Result<StoreResponse, Error> {
    let response = request
        .send()
        .await
        .map_err(|error| transport_error(call, &error))?;
    let status = response.status();
    let index = read_index(&response);
    let body = read_body(call, response).await?;
    let store_response = |body, lease_expired| StoreResponse {
        body,
        index,
        lease_expired,
    };
    if status.is_success() {
        return Ok(store_response(Some(body), false));
    }
    if status == StatusCode::NOT_FOUND {
        return Ok(store_response(None, false));
    }
    let message = String::from_utf8_lossy(&body).into_owned();
    if message.starts_with(INVALID_LEASE_PREFIX) {
        return Ok(store_response(None, true));
    }
    let kind = if status.is_client_error() {
        ErrorKind::Refused
    } else {
        ErrorKind::Unanswered
    };
    Err(Error::new(kind, call, format!("{status}: {message}")))
}

async fn read_body(call: &'static str, mut response: Response) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|error| transport_error(call, &error))?
    {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            let message = "the response is longer than 64 MiB";
            return Err(Error::new(ErrorKind::Malformed, call, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn read_index(response: &Response) -> ModifyIndex {
    let header = response.headers().get(INDEX_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    ModifyIndex(text.and_then(|text| text.parse().ok()).unwrap_or(0))
}

fn transport_error(call: &'static str, error: &reqwest::Error) -> Error {
    let kind = if error.is_connect() {
        ErrorKind::Unreachable
    } else if error.is_builder() {
        ErrorKind::Refused
    } else {
        ErrorKind::Unanswered
    };
    Error::new(kind, call, error.to_string())
}

fn malformed(call: &'static str, error: &serde_json::Error) -> Error {
    Error::new(ErrorKind::Malformed, call, error.to_string())
}

fn check_size(call: &'static str, value: &[u8]) -> Result<(), Error> {
    if value.len() <= MAX_VALUE_BYTES {
        return Ok(());
    }
    let message = format!(
        "value of {} bytes exceeds the maximum of {MAX_VALUE_BYTES} bytes",
        value.len()
    );
    Err(Error::new(ErrorKind::Refused, call, message))
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyRecord {
    key: Arc<str>,
    value: Option<String>,
    modify_index: u64,
    session: Option<Arc<str>>,
}

impl KeyRecord {
    fn into_entry(self, call: &'static str) -> Result<Entry, Error> {
        let text = self.value.unwrap_or_default();
        let value = STANDARD
            .decode(text)
            .map_err(|error| Error::new(ErrorKind::Malformed, call, error.to_string()))?;
        Ok(Entry {
            key: self.key,
            value,
            index: ModifyIndex(self.modify_index),
            lease: self.session.map(LeaseId),
        })
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct CreateSession<'a> {
    name: &'a str,
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: &'a str,
    lock_delay: &'a str,
}

#[derive(Deserialize)]
struct Session {
    #[serde(rename = "ID")]
    id: Arc<str>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RegisterService<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    name: &'a str,
    address: String,
    port: u16,
    meta: Meta,
    check: TtlCheck<'a>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct TtlCheck<'a> {
    #[serde(rename = "TTL")]
    ttl: String,
    status: &'a str,
}

#[derive(Serialize, Deserialize)]
struct Meta {
    instance: String,
}

#[derive(Deserialize)]
struct Service {
    #[serde(rename = "ServiceMeta")]
    meta: Meta,
}
