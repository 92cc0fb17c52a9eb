//! The clock of the process, which also detects pauses of the process.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::prelude::*;

/// Gap between two turns of the event loop above which the process counts as paused.
pub const PAUSE_THRESHOLD: Span = Span::millis(500);

/// Monotonic wall-clock time: the wall clock is read once at the start and advanced by
/// `CLOCK_BOOTTIME`, which includes time for which the host was suspended.
///
/// Clones share the time of the loop's last turn.
#[derive(Clone, Debug)]
pub struct Clock {
    start_time: Time,
    start_since_boot: Duration,
    last_turn: Arc<AtomicU64>,
}

impl Clock {
    /// Makes a clock that starts at the wall clock's time.
    pub fn new() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let start_time = Time(wall.as_micros() as u64);
        Clock {
            start_time,
            start_since_boot: time_since_boot(),
            last_turn: Arc::new(AtomicU64::new(start_time.0)),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.start_time + to_span(time_since_boot().saturating_sub(self.start_since_boot))
    }

    /// Returns the instant that corresponds to `time`.
    pub fn to_instant(&self, time: Time) -> Instant {
        Instant::now() + Duration::from_micros(time.since(self.now()).0)
    }

    /// Records the start of a turn of the loop at `now`. Returns the time since the previous turn
    /// if it counts as a pause.
    pub fn begin_turn(&self, now: Time) -> Option<Span> {
        let last = Time(self.last_turn.swap(now.0, Ordering::Relaxed));
        let gap = now.since(last);
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }

    /// Returns whether the process was paused and the loop has not handled the pause yet.
    ///
    /// Work that was decided on before a pause must not start after it.
    pub fn has_unhandled_pause(&self) -> bool {
        let last = Time(self.last_turn.load(Ordering::Relaxed));
        self.now().since(last) > PAUSE_THRESHOLD
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

/// Returns the time since the host was booted, including time for which it was suspended.
fn time_since_boot() -> Duration {
    let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    Duration::from(read.expect("CLOCK_BOOTTIME is available since Linux 2.6.39"))
}

/// Returns the processor time that the process has used since its start, or `None` if it cannot be
/// read.
pub fn processor_time() -> Option<Span> {
    let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_PROCESS_CPUTIME_ID);
    read.ok().map(|time| to_span(Duration::from(time)))
}

/// Converts a duration to microseconds.
pub fn to_span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}
