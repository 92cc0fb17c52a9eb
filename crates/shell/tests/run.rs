//! The event loop with a reducer that records its events.

mod common;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use conf::raw;
use node::effect::Effect;
use node::event::Event;
use node::event::Host;
use shell::clock::PAUSE_THRESHOLD;
use shell::metric::Count;
use shell::peer::Encoded;
use shell::peer::Endpoint;
use shell::run::Bound;
use shell::run::Outcome;
use shell::run::Reducer;
use shell::run::Shell;
use shell::setting::Raw;
use shell::setting::Setting;
use shell::watch::CallError;
use shell::watch::Listing;
use shell::watch::Platform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wire::frame::Body;
use wire::frame::Frame;

/// Time limit for events that are expected.
const WAIT: Duration = Duration::from_secs(20);

/// Records events, echoes each datagram, and blocks the loop on the datagram `sleep`.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<String>>>);

impl Recorder {
    fn entries(&self) -> Vec<String> {
        self.0
            .lock()
            .expect("no test panics while it holds the lock")
            .clone()
    }

    fn record(&self, entry: &str) {
        let mut recorder = self
            .0
            .lock()
            .expect("no test panics while it holds the lock");
        recorder.push(entry.to_owned());
    }

    async fn wait_for(&self, entry: &str) {
        let seen = async {
            while !self.entries().iter().any(|seen| seen == entry) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let result = tokio::time::timeout(WAIT, seen).await;
        assert!(
            result.is_ok(),
            "event `{entry}` was not recorded; recorded: {:?}",
            self.entries()
        );
    }
}

impl Reducer for Recorder {
    fn step(&mut self, _now: Time, event: Event, effects: &mut Vec<Effect>) {
        let entry = match event {
            Event::Tick => return,
            Event::Datagram {
                service,
                caller,
                data,
            } => {
                if &data[..] == b"sleep" {
                    self.record("asleep");
                    std::thread::sleep(Duration::from_micros(PAUSE_THRESHOLD.0 + 200_000));
                }
                let entry = format!("datagram {}", String::from_utf8_lossy(&data));
                effects.push(Effect::Answer {
                    service,
                    caller,
                    data,
                });
                entry
            }
            Event::Frame { frame, .. } => format!("frame of {}", frame.from.0),
            Event::Resume(_) => "resume".to_owned(),
            Event::Stop => {
                effects.push(Effect::Exit);
                "stop".to_owned()
            }
            _ => return,
        };
        self.record(&entry);
    }

    fn dump(&self) -> String {
        "the state\n".to_owned()
    }

    fn is_ready(&self) -> bool {
        self.entries().iter().any(|entry| entry == "datagram ready")
    }

    fn counts(&self) -> Vec<Count> {
        vec![Count::new("notes", self.entries().len() as u64)]
    }

    fn revision(&self) -> u64 {
        0
    }
}

/// A platform whose every call fails.
struct PlatformDown;

impl Platform for PlatformDown {
    async fn list(&self) -> Result<Listing, CallError> {
        Err(CallError::Failed("down".to_owned()))
    }

    async fn watch(&self, _since: u64, _wait: Duration) -> Result<Listing, CallError> {
        Err(CallError::Failed("down".to_owned()))
    }

    async fn hosts(&self) -> Result<Vec<Host>, CallError> {
        Err(CallError::Failed("down".to_owned()))
    }

    async fn get(&self, _kind: &str, _name: &str) -> Result<raw::Object, CallError> {
        Err(CallError::Failed("down".to_owned()))
    }

    async fn put(&self, _object: &raw::Object, _version: u64) -> Result<(), CallError> {
        Err(CallError::Failed("down".to_owned()))
    }
}

struct Bench {
    bound: Bound,
    recorder: Recorder,
    events: mpsc::Sender<Event>,
    task: JoinHandle<Outcome>,
    caller: UdpSocket,
}

fn setting() -> Setting {
    let text = |text: &str| Some(text.to_owned());
    let raw = Raw {
        name: text("a"),
        domain: text("d"),
        entry: text("0.0.0.0:0"),
        peer: text("127.0.0.1:0"),
        stream: text("127.0.0.1:0"),
        platform: text("http://127.0.0.1:1"),
        fleet_key: Some("01".repeat(32)),
        token_key: Some("02".repeat(32)),
        ..Raw::default()
    };
    Setting::new(raw).expect("the settings are valid")
}

impl Bench {
    async fn new() -> Bench {
        let shell = Shell::bind(&setting())
            .await
            .expect("port 0 is always free");
        let (bound, events) = (shell.bound().clone(), shell.sender());
        let recorder = Recorder::default();
        let reducer = recorder.clone();
        let task = tokio::spawn(async {
            shell
                .run(reducer, PlatformDown)
                .await
                .expect("the loop runs")
        });
        let caller = UdpSocket::bind("127.0.0.1:0").expect("port 0 is always free");
        Bench {
            bound,
            recorder,
            events,
            task,
            caller,
        }
    }

    fn send_datagram(&self, text: &str) {
        let to = SocketAddr::from(([127, 0, 0, 1], self.bound.entry.port()));
        self.caller
            .send_to(text.as_bytes(), to)
            .expect("the datagram is sent over loopback");
    }

    async fn get_page(&self, path: &str) -> String {
        let mut stream = tokio::net::TcpStream::connect(self.bound.admin)
            .await
            .expect("the admin address accepts connections");
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the connection is open");
        let mut page = String::new();
        stream
            .read_to_string(&mut page)
            .await
            .expect("the page is text");
        page
    }

    async fn stop(self) {
        self.events
            .send(Event::Stop)
            .await
            .expect("the loop is running");
        let outcome = tokio::time::timeout(WAIT, self.task)
            .await
            .expect("the loop stops");
        assert_eq!(outcome.expect("the loop does not panic"), Outcome::Stopped);
    }
}

fn frame(from: u64, bytes: usize) -> Frame {
    Frame {
        from: Incarnation(from),
        body: Body::Delta {
            since: 1,
            upto: 2,
            objects: vec![Bytes::from(vec![0; bytes])],
        },
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_queued_during_a_pause_are_dropped() {
    let bench = Bench::new().await;
    bench.send_datagram("sleep");
    // Polled without the runtime's timers, which may be blocked by the sleeping loop.
    while !bench.recorder.entries().contains(&"asleep".to_owned()) {
        std::thread::sleep(Duration::from_millis(5));
    }
    bench.send_datagram("old");
    bench.send_datagram("old");
    bench.recorder.wait_for("resume").await;
    bench.send_datagram("new");
    bench.recorder.wait_for("datagram new").await;
    assert_eq!(
        bench.recorder.entries(),
        ["asleep", "datagram sleep", "resume", "datagram new"],
        "datagrams queued during the pause reached the reducer"
    );
    let metrics = bench.get_page("/metrics").await;
    assert!(
        metrics.contains(r#"wasabi_drops_total{code="stale"} 2"#),
        "the stale datagrams are not counted"
    );
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_authentic_frames_reach_the_reducer() {
    let bench = Bench::new().await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let with_key = Endpoint::bind(any, &common::keys(1, None)).expect("port 0 is always free");
    let without_key = Endpoint::bind(any, &common::keys(3, None)).expect("port 0 is always free");
    for (endpoint, from) in [(&without_key, 3), (&with_key, 1)] {
        let Encoded::Datagram(sealed) = endpoint.encode(&frame(from, 10)) else {
            panic!("a short frame fits a datagram");
        };
        endpoint
            .send(bench.bound.peer, &sealed)
            .expect("the datagram is sent over loopback");
        endpoint
            .send(bench.bound.peer, &sealed[1..])
            .expect("the datagram is sent over loopback");
    }
    bench.recorder.wait_for("frame of 1").await;
    assert_eq!(
        bench.recorder.entries(),
        ["frame of 1"],
        "a forged datagram reached the reducer"
    );
    let metrics = bench.get_page("/metrics").await;
    assert!(
        metrics.contains(r#"wasabi_drops_total{code="peer-forged"}"#),
        "the forged datagrams are not counted"
    );
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn get_pages_show_the_state() {
    let bench = Bench::new().await;
    assert!(bench
        .get_page("/dump")
        .await
        .ends_with("\r\n\r\nthe state\n"));
    assert!(bench.get_page("/health").await.starts_with("HTTP/1.1 200"));
    assert!(
        bench.get_page("/ready").await.starts_with("HTTP/1.1 503"),
        "the balancer is ready at the start"
    );
    bench.send_datagram("ready");
    bench.recorder.wait_for("datagram ready").await;
    assert!(bench.get_page("/ready").await.starts_with("HTTP/1.1 200"));
    assert!(bench
        .get_page("/metrics")
        .await
        .contains("wasabi_node_notes 1\n"));
    assert!(bench.get_page("/other").await.starts_with("HTTP/1.1 404"));
    // A relay has no page about shortages. Without an answer, `wasabictl load` would call it silent.
    assert!(bench.get_page("/load").await.starts_with("HTTP/1.1 404"));
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_sent_before_the_process_stops() {
    let bench = Bench::new().await;
    bench.send_datagram("last");
    bench.recorder.wait_for("datagram last").await;
    let caller = bench.caller.try_clone().expect("a socket can be cloned");
    bench.stop().await;
    let mut buffer = [0; 16];
    let (length, _) = caller.recv_from(&mut buffer).expect("the answer arrives");
    assert_eq!(&buffer[..length], b"last");
}
