//! Client of the platform's key-value service over HTTP.
//!
//! The interface is of the Consul kind: `/v1/kv` with `cas`, `index`, `wait`, `recurse` and
//! `acquire`, `/v1/session` for leases, `/v1/agent/service/register` and `/v1/catalog/service` for
//! the list of instances.
//!
//! Each call has a deadline and is counted by the metric `filbertbay_platform_calls_total` with the
//! labels `call` and `outcome`. An error says truthfully whether the call may have taken effect:
//! a refused connection is [`ErrorKind::Unreachable`], anything that goes wrong after the request
//! may have left is [`ErrorKind::Unanswered`].
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

/// Metric that counts calls to the platform, by call and outcome.
pub const CALLS_METRIC: &str = "filbertbay_platform_calls_total";

/// Largest answer that is read, in bytes; a list of the whole configuration fits.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Name under which instances are registered.
const SERVICE: &str = "filbertbay";

/// Header that carries the index of a watched key.
const INDEX_HEADER: &str = "x-consul-index";

/// Text by which the platform refuses a lease that has lapsed.
const INVALID_LEASE: &str = "invalid session";

/// Options of a [`Client`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest wait for an answer, besides the wait of a watch.
    pub response_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            response_timeout: Duration::from_secs(3),
        }
    }
}

/// Client of the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: Arc<str>,
    config: Config,
}

impl Client {
    /// Creates a client for a base address such as `http://127.0.0.1:8500`.
    ///
    /// No connection is made before the first call.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind [`ErrorKind::Refused`] if the address is not an HTTP address.
    pub fn new(base: &str) -> Result<Self, Error> {
        Self::with_config(base, Config::default())
    }

    /// Creates a client with options.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind [`ErrorKind::Refused`] if the address is not an HTTP address.
    pub fn with_config(base: &str, config: Config) -> Result<Self, Error> {
        let refused = |message: String| Error::new(ErrorKind::Refused, "open", message);
        reqwest::Url::parse(base).map_err(|error| refused(error.to_string()))?;
        let http = reqwest::Client::builder()
            .connect_timeout(config.connect_timeout)
            .no_proxy()
            .build()
            .map_err(|error| refused(error.to_string()))?;
        Ok(Self {
            http,
            base: base.trim_end_matches('/').into(),
            config,
        })
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http
            .request(method, format!("{}/v1/{path}", self.base))
    }

    async fn call(&self, call: &'static str, request: RequestBuilder) -> Result<Answer, Error> {
        self.call_within(call, request, self.config.response_timeout)
            .await
    }

    async fn call_within(
        &self,
        call: &'static str,
        request: RequestBuilder,
        deadline: Duration,
    ) -> Result<Answer, Error> {
        let request = request.timeout(deadline);
        let outcome = exchange(call, request).await;
        let label = match &outcome {
            Ok(_) => "ok".to_owned(),
            Err(error) => error.kind().to_string(),
        };
        metrics::counter!(CALLS_METRIC, "call" => call, "outcome" => label).increment(1);
        outcome
    }

    async fn put<T>(&self, call: &'static str, path: &str, body: &T) -> Result<Answer, Error>
    where
        T: Serialize + Sync,
    {
        self.call(call, self.request(Method::PUT, path).json(body))
            .await
    }

    /// Reads a key once, waiting while its index is not above `above`.
    async fn block(
        &self,
        key: &str,
        above: ModifyIndex,
        wait: Duration,
    ) -> Result<(Option<Entry>, ModifyIndex), Error> {
        let wait_ms = format!("{}ms", wait.as_millis());
        let request = self
            .request(Method::GET, &format!("kv/{key}"))
            .query(&[("index", above.0.to_string()), ("wait", wait_ms)]);
        let answer = self
            .call_within("watch", request, wait + self.config.response_timeout)
            .await?;
        let index = answer.index;
        Ok((answer.rows("watch")?.into_iter().next(), index))
    }
}

#[async_trait]
impl Store for Client {
    async fn read(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = self.request(Method::GET, &format!("kv/{key}"));
        let answer = self.call("read", request).await?;
        Ok(answer.rows("read")?.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let request = self.request(Method::GET, &format!("kv/{prefix}?recurse"));
        let mut rows = self.call("list", request).await?.rows("list")?;
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(rows)
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
        let end = Instant::now() + wait;
        // Index zero would not block, so a missing key is awaited above the lowest index.
        let mut above = ModifyIndex(seen.0.max(1));
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let (entry, index) = self.block(key, above, left).await?;
            let changed = entry.as_ref().map_or(ModifyIndex(0), |entry| entry.index) != seen;
            if changed || Instant::now() >= end {
                return Ok(entry);
            }
            above = index.max(above);
        }
    }

    async fn open_lease(&self, name: &str, ttl: Duration) -> Result<LeaseId, Error> {
        let body = NewSession {
            name,
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "release",
            lock_delay: "0s",
        };
        let answer = self.put("open_lease", "session/create", &body).await?;
        let session: Session = answer.json("open_lease")?;
        Ok(LeaseId(session.id))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, Error> {
        let path = format!("session/renew/{}", lease.0);
        let answer = self
            .call("renew_lease", self.request(Method::PUT, &path))
            .await?;
        Ok(answer.body.is_some())
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
        let answer = self.call("acquire", request).await?;
        if answer.lapsed {
            return Ok(false);
        }
        answer.json("acquire")
    }

    async fn register(&self, instance: &Instance) -> Result<(), Error> {
        let body = NewService {
            id: &instance.name,
            name: SERVICE,
            address: instance.caller_address.ip().to_string(),
            port: instance.caller_address.port(),
            meta: Meta {
                instance: serde_json::to_string(instance)
                    .map_err(|error| malformed("register", &error))?,
            },
            check: NewCheck {
                ttl: format!("{}s", REGISTRATION_TTL.as_secs()),
                status: "passing",
            },
        };
        self.put("register", "agent/service/register", &body)
            .await?;
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let path = format!("catalog/service/{SERVICE}");
        let answer = self
            .call("instances", self.request(Method::GET, &path))
            .await?;
        let services: Vec<Service> = answer.json("instances")?;
        let texts = services
            .iter()
            .map(|service| service.meta.instance.as_str());
        let parsed = texts.map(serde_json::from_str);
        parsed
            .collect::<Result<_, _>>()
            .map_err(|error| malformed("instances", &error))
    }
}

/// Answer of the platform whose status is a success or "not found".
struct Answer {
    /// Body, or `None` where the platform has not found what was asked for.
    body: Option<Vec<u8>>,
    index: ModifyIndex,
    /// Whether the lease of the call had lapsed.
    lapsed: bool,
}

impl Answer {
    fn json<T>(&self, call: &'static str) -> Result<T, Error>
    where
        T: for<'de> Deserialize<'de>,
    {
        let body = self.body.as_deref().unwrap_or_default();
        serde_json::from_slice(body).map_err(|error| malformed(call, &error))
    }

    fn rows(&self, call: &'static str) -> Result<Vec<Entry>, Error> {
        if self.body.is_none() {
            return Ok(Vec::new());
        }
        let rows: Vec<Row> = self.json(call)?;
        rows.into_iter().map(|row| row.into_entry(call)).collect()
    }
}

async fn exchange(call: &'static str, request: RequestBuilder) -> Result<Answer, Error> {
    let response = request.send().await.map_err(|error| broken(call, &error))?;
    let status = response.status();
    let index = read_index(&response);
    let body = read_body(call, response).await?;
    let answer = |body, lapsed| Answer {
        body,
        index,
        lapsed,
    };
    if status.is_success() {
        return Ok(answer(Some(body), false));
    }
    if status == StatusCode::NOT_FOUND {
        return Ok(answer(None, false));
    }
    let message = String::from_utf8_lossy(&body).into_owned();
    if message.starts_with(INVALID_LEASE) {
        return Ok(answer(None, true));
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
        .map_err(|error| broken(call, &error))?
    {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            let message = "the answer is longer than 64 MiB";
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

fn broken(call: &'static str, error: &reqwest::Error) -> Error {
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
        "{} bytes, the platform holds {MAX_VALUE_BYTES}",
        value.len()
    );
    Err(Error::new(ErrorKind::Refused, call, message))
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Row {
    key: Arc<str>,
    value: Option<String>,
    modify_index: u64,
    session: Option<Arc<str>>,
}

impl Row {
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
struct NewSession<'a> {
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
struct NewService<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    name: &'a str,
    address: String,
    port: u16,
    meta: Meta,
    check: NewCheck<'a>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct NewCheck<'a> {
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
