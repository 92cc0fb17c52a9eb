//! The log: JSON lines with the balancer's name, and a rate limit for repeated lines.
//!
//! The relay logs to standard error. Packet forwarding logs to standard output through a buffer of
//! bounded size, which the event loop flushes when standard output is writable without blocking.
//! Lines that do not fit the buffer are dropped and counted.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::io::Write;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use base::prelude::*;
use nix::poll::PollFd;
use nix::poll::PollFlags;
use nix::poll::PollTimeout;
use serde_json::Map;
use serde_json::Value;
use tracing::field::Field;
use tracing::field::Visit;
use tracing::Event;
use tracing::Subscriber;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::FormatEvent;
use tracing_subscriber::fmt::FormatFields;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::EnvFilter;

/// Size of the token bucket: lines of one code that may be written in a burst.
const BURST_LINES: u64 = 10;
/// Interval at which the token bucket of a code gains one line.
const REFILL_INTERVAL: Span = Span::secs(1);

/// Size of the buffer in bytes. Holds the lines of several seconds at the highest rate at which a
/// balancer logs.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// Most bytes of one write: a pipe that polls as writable accepts as many without blocking.
const WRITE_BYTES_MAX: usize = 4_096;

/// Sets up the log of the process on standard error.
///
/// # Errors
///
/// Fails when the filter is not valid or a log was set up before.
pub fn init(name: &str, filter: &str) -> eyre::Result<()> {
    init_with(name, filter, io::stderr)
}

/// Sets up the log of the process on standard output, through the returned buffer.
///
/// # Errors
///
/// Fails as `init` does.
pub fn init_buffered(name: &str, filter: &str) -> eyre::Result<Sink> {
    let sink = Sink::default();
    let writer = sink.clone();
    init_with(name, filter, move || writer.clone())?;
    Ok(sink)
}

fn init_with<W>(name: &str, filter: &str, writer: W) -> eyre::Result<()>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter: EnvFilter = filter.parse()?;
    let balancer = name.to_owned();
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .event_format(JsonFormat { balancer })
        .try_init()
        .map_err(|e| eyre::eyre!("cannot set up the log: {e}"))
}

/// A buffer of lines for standard output. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Sink {
    buffer: Arc<Mutex<Buffer>>,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

impl Sink {
    /// Writes buffered lines for as long as standard output is writable without blocking.
    ///
    /// # Errors
    ///
    /// Fails as standard output does. The lines of a failed write are lost, later ones stay
    /// buffered.
    pub fn flush_ready(&self) -> io::Result<()> {
        let mut buffer = self.lock();
        let mut written = 0;
        let mut result = Ok(());
        while result.is_ok() && written < buffer.bytes.len() && is_stdout_writable()? {
            let end = write_end(&buffer.bytes[written..]);
            let lines = &buffer.bytes[written..written + end];
            result = io::stdout().lock().write_all(lines);
            written += end;
        }
        buffer.bytes.drain(..written);
        result
    }

    /// Returns the number of lines dropped since the last call because the buffer was full.
    pub fn take_dropped_lines(&self) -> u64 {
        std::mem::take(&mut self.lock().dropped_lines)
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether standard output is writable without blocking.
fn is_stdout_writable() -> io::Result<bool> {
    let output = io::stdout();
    let mut polled = [PollFd::new(output.as_fd(), PollFlags::POLLOUT)];
    let count = nix::poll::poll(&mut polled, PollTimeout::ZERO)?;
    Ok(count > 0)
}

/// Returns the end of the last line that fits one write, or of the first line when none does.
fn write_end(bytes: &[u8]) -> usize {
    let is_end = |&byte: &u8| byte == b'\n';
    let first = &bytes[..bytes.len().min(WRITE_BYTES_MAX)];
    let last = first.iter().rposition(is_end);
    let end = last.or_else(|| bytes.iter().position(is_end));
    end.map_or(bytes.len(), |end| end + 1)
}

impl Write for Sink {
    /// Appends a whole line, or drops it when it does not fit.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        match buffer.bytes.len() + line.len() <= BUFFER_BYTES_MAX {
            true => buffer.bytes.extend_from_slice(line),
            false => buffer.dropped_lines += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Formats an event as one JSON object.
struct JsonFormat {
    balancer: String,
}

impl<S, N> FormatEvent<S, N> for JsonFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut time = String::new();
        SystemTime.format_time(&mut Writer::new(&mut time))?;
        let meta = event.metadata();
        let mut line = Line(Map::new());
        line.insert("time", time);
        line.insert("level", meta.level().as_str());
        line.insert("balancer", self.balancer.as_str());
        line.insert("target", meta.target());
        event.record(&mut line);
        writeln!(writer, "{}", Value::Object(line.0))
    }
}

/// Collects the fields of an event.
struct Line(Map<String, Value>);

impl Line {
    fn insert(&mut self, name: &str, value: impl Into<Value>) {
        self.0.insert(name.to_owned(), value.into());
    }
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.insert(field.name(), format!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.insert(field.name(), value);
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.insert(field.name(), value);
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.insert(field.name(), value);
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.insert(field.name(), value);
    }
}

/// Limits the rate of lines with a token bucket for each result code. An admitted line carries the
/// number of lines suppressed before it.
#[derive(Debug, Default)]
pub struct RateLimit {
    buckets: BTreeMap<Code, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: u64,
    refilled_at: Time,
    suppressed: u64,
}

impl RateLimit {
    /// Returns the number of lines of `code` suppressed since the last admitted one, or `None` when
    /// this line must be suppressed too.
    pub fn admit(&mut self, now: Time, code: Code) -> Option<u64> {
        let bucket = self.buckets.entry(code).or_insert(Bucket {
            tokens: BURST_LINES,
            refilled_at: now,
            suppressed: 0,
        });
        let periods = now.since(bucket.refilled_at).0 / REFILL_INTERVAL.0;
        bucket.tokens = (bucket.tokens + periods).min(BURST_LINES);
        bucket.refilled_at += Span(periods * REFILL_INTERVAL.0);
        if bucket.tokens == 0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
