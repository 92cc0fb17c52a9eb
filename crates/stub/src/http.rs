//! The HTTP code that the test doubles share: a server with graceful and abrupt shutdown, and a
//! client that uses one connection for each call.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::service::service_fn;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The body of an answer. It may be truncated, for fault injection.
#[derive(Debug, Default)]
pub struct Payload {
    /// Bytes that are still to be sent.
    data: Option<Bytes>,
    /// Number of declared bytes that are never sent.
    missing: u64,
}

impl Payload {
    /// Makes a complete body.
    pub fn new(data: impl Into<Bytes>) -> Payload {
        Payload {
            data: Some(data.into()).filter(|d| !d.is_empty()),
            missing: 0,
        }
    }

    /// Truncates the body to half its length; the declared length stays that of the complete body.
    pub fn with_truncation(mut self) -> Payload {
        let complete = self.data.take().unwrap_or_default();
        let sent = complete.len() / 2;
        self.missing = (complete.len() - sent) as u64;
        self.data = Some(complete.slice(..sent));
        self
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if std::mem::take(&mut self.missing) > 0 {
            return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())));
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && self.missing == 0
    }

    fn size_hint(&self) -> SizeHint {
        let unsent = self.data.as_ref().map_or(0, |d| d.len() as u64);
        SizeHint::with_exact(unsent + self.missing)
    }
}

/// No answer is sent: the connection closes instead.
#[derive(Debug)]
pub struct Lost;

impl std::fmt::Display for Lost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("answer lost")
    }
}

impl std::error::Error for Lost {}

/// An answer, or the closing of the connection without one.
pub type Answer = std::result::Result<Response<Payload>, Lost>;

/// A shutdown request to the server and its open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// Number of times that all open connections were closed abruptly.
    pub aborts: u64,
    /// Whether the server is shutting down gracefully.
    pub stopping: bool,
}

/// Accepts connections and answers requests for [`serve`].
pub trait Handler: Send + Sync + 'static {
    /// State of an open connection.
    type Conn: Send + Sync + 'static;

    /// Accepts a new connection, or refuses it with `None`.
    fn open(self: &Arc<Self>) -> Option<Self::Conn>;

    /// Answers a request.
    fn handle(
        self: Arc<Self>,
        conn: Arc<Self::Conn>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Answer> + Send;
}

/// Serves until `signal` requests a shutdown; returns when the last connection has closed.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut signal: watch::Receiver<Signal>,
) {
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            changed = signal.changed() => {
                if changed.is_err() || signal.borrow().stopping {
                    break;
                }
                continue;
            }
        };
        while tasks.try_join_next().is_some() {}
        let Ok((stream, _)) = stream else { continue };
        if let Some(conn) = handler.open() {
            let signal = signal.clone();
            tasks.spawn(connection(stream, handler.clone(), conn, signal));
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    conn: H::Conn,
    mut signal: watch::Receiver<Signal>,
) {
    // Answers are small; with Nagle's algorithm each waits for the caller's delayed
    // acknowledgement.
    let _ = stream.set_nodelay(true);
    let aborts = signal.borrow_and_update().aborts;
    let conn = Arc::new(conn);
    let service = service_fn(move |request| handler.clone().handle(conn.clone(), request));
    let mut served =
        pin!(hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service));
    loop {
        tokio::select! {
            _ = served.as_mut() => return,
            changed = signal.changed() => {
                let now = *signal.borrow_and_update();
                if changed.is_err() || now.aborts != aborts {
                    return;
                }
                if now.stopping {
                    served.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Makes an answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let text = serde_json::to_vec(value).map_err(|_| Lost)?;
    respond(status, Payload::new(text))
}

/// Makes an answer with a body.
pub fn respond(status: StatusCode, body: Payload) -> Answer {
    Response::builder()
        .status(status)
        .body(body)
        .map_err(|_| Lost)
}

/// Reads a complete body.
pub async fn collect_body(body: Incoming) -> std::result::Result<Bytes, Lost> {
    let complete = body.collect().await.map_err(|_| Lost)?;
    Ok(complete.to_bytes())
}

/// Splits a query string into names and values. There is no percent-decoding: queries of the test
/// doubles need no escapes.
pub fn parse_query(text: Option<&str>) -> BTreeMap<String, String> {
    let pairs = text.unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Makes one call over a connection of its own.
///
/// # Errors
///
/// Fails if the connection cannot be opened or closes before the complete answer.
pub async fn call(
    method: Method,
    to: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(to)
        .await
        .wrap_err_with(|| format!("cannot connect to {to}"))?;
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(conn);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string())
        .body(Full::new(body.into()))?;
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    let data = answer.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok((status, data))
}
