//! HTTP transport to a platform, independent of its paths and bodies.
//!
//! A request that fails is reported as `Unavailable` when it cannot have changed anything, and as
//! `OutcomeUnknown` when a write may have taken effect.

use std::net::SocketAddr;
use std::time::Duration;

pub use reqwest::header::HeaderMap;
use reqwest::header::CONNECTION;
pub use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Time-out of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out of connecting for a check. Less than the time-out of a check, so that a connection which
/// is not accepted differs from an answer that is late; many times a round trip to any server.
const CHECK_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time-out from a request to the end of its response. The wait of a long poll is added.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Idle time before the first keep-alive probe and interval between probes: the shortest that the
/// kernel accepts. Probes are needed because a lost connection must be detected sooner than a watch
/// ends.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEP_ALIVE_RETRIES: u32 = 1;
/// Time after which an idle connection is closed. An idle connection can break without notice, and
/// a request that follows one lost in that way must not be sent over another such connection.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an acknowledgement of sent data after which a connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// HTTP client of one platform. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Http {
    client: reqwest::Client,
    check_client: reqwest::Client,
    base: String,
    timeout: Duration,
}

/// Whether a request whose response is lost may have changed something.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// It cannot have changed anything: a read, or a write that was rejected.
    None,
    /// It is a write that may have taken effect.
    Write,
}

/// Why a server did not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoResponse {
    /// It did not accept the connection.
    NotAccepted,
    /// It accepted the connection and sent no response in time.
    Late,
}

/// The result of a write that the platform responded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written<T> {
    /// The write took effect; holds the stored object.
    Done(T),
    /// The stored object, which is enclosed, has a different version than the write required.
    Conflict(T),
}

impl Http {
    /// Makes a client. `base` is the URL that paths are appended to.
    ///
    /// # Errors
    ///
    /// `Refused` when `base` is not an HTTP URL.
    pub fn new(base: impl Into<String>) -> Result<Http, Error> {
        let base = base.into().trim_end_matches('/').to_string();
        let url = reqwest::Url::parse(&base).map_err(|error| refused(&error))?;
        if url.scheme() != "http" || url.host().is_none() {
            return Err(Error::Refused(format!("{base} is not an http:// URL")));
        }
        let build = |connect_timeout| {
            reqwest::Client::builder()
                .connect_timeout(connect_timeout)
                .tcp_keepalive(KEEP_ALIVE_INTERVAL)
                .tcp_keepalive_interval(KEEP_ALIVE_INTERVAL)
                .tcp_keepalive_retries(KEEP_ALIVE_RETRIES)
                .tcp_user_timeout(TCP_USER_TIMEOUT)
                .pool_idle_timeout(POOL_IDLE_TIMEOUT)
                .redirect(reqwest::redirect::Policy::none())
                .retry(reqwest::retry::never())
                .no_proxy()
                .build()
                .map_err(|error| refused(&error))
        };
        Ok(Http {
            client: build(CONNECT_TIMEOUT)?,
            check_client: build(CHECK_CONNECT_TIMEOUT)?,
            base,
            timeout: REQUEST_TIMEOUT,
        })
    }

    /// Sets the time-out of each request. The wait of a long poll is added.
    pub fn with_timeout(mut self, timeout: Duration) -> Http {
        self.timeout = timeout;
        self
    }

    /// Makes a request with the time-out of this client.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.long_poll_request(method, path, Duration::ZERO)
    }

    /// Makes a request that the platform may hold for `wait` before it responds.
    pub fn long_poll_request(&self, method: Method, path: &str, wait: Duration) -> RequestBuilder {
        let url = format!("{}/{path}", self.base);
        let timeout = self.timeout.saturating_add(wait);
        self.client.request(method, url).timeout(timeout)
    }

    /// Sends a read and decodes the response. A read is retried once when its connection broke,
    /// since the platform may have closed a pooled connection earlier. Connect errors and time-outs
    /// are not retried, so that an outage does not double the requests.
    ///
    /// # Errors
    ///
    /// `NotFound`, `Gone`, `Unavailable` or `Refused`.
    pub async fn send_read<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, Error> {
        let (_, response) = self.send_read_with_headers(request).await?;
        Ok(response)
    }

    /// Sends a read like `send_read`, and returns the headers of the response too.
    ///
    /// # Errors
    ///
    /// Those of `send_read`.
    pub async fn send_read_with_headers<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<(HeaderMap, T), Error> {
        let retry = request.try_clone();
        let response = match (request.send().await, retry) {
            (Err(error), Some(retry)) if !error.is_connect() && !error.is_timeout() => {
                retry.send().await
            }
            (result, _) => result,
        };
        let response = check_status(response, Effect::None)?;
        let headers = response.headers().clone();
        let body = decode(&read_body(response, Effect::None).await?, Effect::None)?;
        Ok((headers, body))
    }

    /// Sends a GET request to a server outside the platform, and returns the headers of its
    /// response, whatever its status is.
    ///
    /// # Errors
    ///
    /// Why there is no response in time.
    pub async fn fetch_headers(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<HeaderMap, NoResponse> {
        let request = self.check_client.get(format!("http://{address}{path}"));
        let request = request.header(CONNECTION, "close").timeout(timeout);
        match request.send().await {
            Ok(response) => Ok(response.headers().clone()),
            Err(error) if error.is_connect() => Err(NoResponse::NotAccepted),
            Err(_) => Err(NoResponse::Late),
        }
    }

    /// Sends a write and decodes the response.
    ///
    /// # Errors
    ///
    /// Any but `Gone` and `Conflict`.
    pub async fn send_write<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<Written<T>, Error> {
        let response = check_status(request.send().await, Effect::Write)?;
        if response.status() == StatusCode::CONFLICT {
            // Nothing was written, whether or not the body arrives.
            let stored = decode(&read_body(response, Effect::None).await?, Effect::None)?;
            return Ok(Written::Conflict(stored));
        }
        let stored = decode(&read_body(response, Effect::Write).await?, Effect::Write)?;
        Ok(Written::Done(stored))
    }
}

/// Turns lost responses and unexpected status codes into errors.
fn check_status(response: reqwest::Result<Response>, effect: Effect) -> Result<Response, Error> {
    let response = response.map_err(|error| match effect {
        Effect::Write if !error.is_connect() => Error::OutcomeUnknown(root_cause(&error)),
        _ => Error::Unavailable(root_cause(&error)),
    })?;
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::CONFLICT if effect == Effect::Write => Ok(response),
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::GONE => Err(Error::Gone),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Unavailable("too many requests".into())),
        // A server that responds with 5xx may have passed on the write before.
        status if status.is_server_error() => Err(match effect {
            Effect::Write => Error::OutcomeUnknown(status.to_string()),
            Effect::None => Error::Unavailable(status.to_string()),
        }),
        status => Err(Error::Refused(status.to_string())),
    }
}

async fn read_body(mut response: Response, effect: Effect) -> Result<Vec<u8>, Error> {
    let mut data = Vec::new();
    loop {
        match response.chunk().await {
            Ok(None) => return Ok(data),
            Ok(Some(chunk)) if data.len() + chunk.len() <= RESPONSE_MAX_BYTES => {
                data.extend_from_slice(&chunk);
            }
            Ok(Some(_)) => return Err(body_error(effect, "the response is too long")),
            Err(error) => return Err(body_error(effect, &root_cause(&error))),
        }
    }
}

/// Decodes a body. Bytes that are not UTF-8, and control characters within strings, are replaced by
/// U+FFFD, so that only the value that contains them is affected.
fn decode<T: DeserializeOwned>(data: &[u8], effect: Effect) -> Result<T, Error> {
    let text = String::from_utf8_lossy(data);
    let result = serde_json::from_str(&text);
    // Without these characters the second attempt fails like the first one.
    let result = result.or_else(|_| serde_json::from_str(&replace_control_characters(&text)));
    result.map_err(|error| body_error(effect, &error.to_string()))
}

/// Replaces the control characters within the strings of a JSON text, where JSON does not permit
/// them. Between tokens some are white space.
fn replace_control_characters(text: &str) -> String {
    let (mut is_string, mut is_escaped) = (false, false);
    let replace = |character: char| {
        let is_quote = character == '"' && !is_escaped;
        is_escaped = is_string && character == '\\' && !is_escaped;
        is_string ^= is_quote;
        match is_string && character.is_ascii_control() {
            true => char::REPLACEMENT_CHARACTER,
            false => character,
        }
    };
    text.chars().map(replace).collect()
}

fn body_error(effect: Effect, reason: &str) -> Error {
    match effect {
        Effect::Write => Error::OutcomeUnknown(reason.into()),
        Effect::None => Error::Unavailable(reason.into()),
    }
}

pub(crate) fn refused(error: &dyn std::error::Error) -> Error {
    Error::Refused(error.to_string())
}

/// Returns the innermost cause, whose message does not contain the URL.
fn root_cause(error: &reqwest::Error) -> String {
    let mut inner: &dyn std::error::Error = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
