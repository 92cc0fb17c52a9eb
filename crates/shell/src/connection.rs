//! One HTTP/1.1 connection to a backend server. It is polled only while a request runs on it.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::Response;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Longest accepted response body, in bytes.
pub const BODY_BYTES_MAX: usize = 4 << 20;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit after a response within which the connection must be ready again, or it is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Body of a request.
pub type Body = Full<Bytes>;

/// Counts the bytes written and read on a connection since the current request started.
#[derive(Debug, Default)]
pub struct Meter {
    written: AtomicU64,
    read: AtomicU64,
}

impl Meter {
    /// Returns the number of bytes written.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Returns the number of bytes read.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Acquire)
    }

    fn reset(&self) {
        self.written.store(0, Ordering::Release);
        self.read.store(0, Ordering::Release);
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub struct FullResponse {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    /// Complete body.
    pub body: Bytes,
}

/// The request failed. The meter shows whether any of it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeError;

/// A connection.
pub struct Connection {
    sender: http1::SendRequest<Body>,
    /// Does the I/O of the connection when polled. `None` once the connection has ended.
    driver: Option<http1::Connection<TokioIo<Metered>, Body>>,
    meter: Arc<Meter>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached in time.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let meter = Arc::new(Meter::default());
        let io = Metered {
            stream,
            meter: meter.clone(),
        };
        let (sender, driver) = http1::handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            driver: Some(driver),
            meter,
        })
    }

    /// Resets the meter for a new request and returns it.
    pub fn begin_request(&self) -> Arc<Meter> {
        self.meter.reset();
        self.meter.clone()
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the response is complete, or the body is too long.
    pub async fn exchange(
        &mut self,
        request: hyper::Request<Body>,
    ) -> Result<FullResponse, ExchangeError> {
        let response = self.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = self.read_body(body).await?;
        Ok(FullResponse { head, body })
    }

    /// Waits until the connection is ready for another request. Returns `false` when it is closed
    /// or not ready in time.
    pub async fn wait_until_ready(&mut self) -> bool {
        let Connection { sender, driver, .. } = self;
        let Some(driver) = driver.as_mut() else {
            return false;
        };
        tokio::select! {
            biased;
            _ = driver => false,
            ready = sender.ready() => ready.is_ok(),
            () = tokio::time::sleep(READY_TIMEOUT) => false,
        }
    }

    async fn send_request(
        &mut self,
        request: hyper::Request<Body>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let Connection { sender, driver, .. } = self;
        let mut response = pin!(sender.try_send_request(request));
        loop {
            let Some(connection) = driver.as_mut() else {
                return response.await.map_err(|_| ExchangeError);
            };
            tokio::select! {
                biased;
                result = &mut response => return result.map_err(|_| ExchangeError),
                _ = connection => *driver = None,
            }
        }
    }

    async fn read_body(&mut self, mut body: Incoming) -> Result<Bytes, ExchangeError> {
        let mut bytes = BytesMut::new();
        loop {
            let frame = match self.driver.as_mut() {
                None => body.frame().await,
                Some(driver) => tokio::select! {
                    biased;
                    frame = body.frame() => frame,
                    _ = driver => {
                        self.driver = None;
                        continue;
                    }
                },
            };
            match frame {
                None => return Ok(bytes.freeze()),
                Some(Err(_)) => return Err(ExchangeError),
                Some(Ok(frame)) => {
                    bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
                }
            }
            if bytes.len() > BODY_BYTES_MAX {
                return Err(ExchangeError);
            }
        }
    }
}

/// A TCP stream that counts its bytes in a meter.
struct Metered {
    stream: TcpStream,
    meter: Arc<Meter>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = (buf.filled().len() - before) as u64;
        self.meter.read.fetch_add(count, Ordering::AcqRel);
        poll
    }
}

impl Metered {
    fn count_written(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &poll {
            self.meter
                .written
                .fetch_add(*count as u64, Ordering::AcqRel);
        }
        poll
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
