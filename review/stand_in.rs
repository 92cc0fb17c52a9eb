//! Stand-ins for a small deployment on loopback: the platform's store, backend servers, callers and
//! the routers. Starts the balancers as separate processes with the command and the settings
//! template of the deploy files, plays a case, and writes what was sent, answered and run.
//!
//! Uses only the standard library. Usage: `stand_in CASE RECORD`, in the project's root, with
//! `TROUBLE=0` for a run without the disruption. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SYN: u8 = 64;
const ACK: u8 = 16;
const FIN: u8 = 8;
const RST: u8 = 1;
const HEAD: usize = 31;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

// ---------------------------------------------------------------------------------------------
// Clock and record

/// Milliseconds since the start of the run, and the lines of the record.
pub struct Log {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Log {
    fn new() -> Arc<Log> {
        Arc::new(Log {
            start: Instant::now(),
            lines: Mutex::new(Vec::new()),
        })
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn add(&self, line: impl Into<String>) {
        let line = format!("{:>7} {}", self.now(), line.into());
        self.lines.lock().unwrap().push(line);
    }
}

/// A small generator of pseudo-random numbers (xorshift).
fn random(state: &AtomicU64) -> u64 {
    let mut x = state.load(Ordering::Relaxed);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    state.store(x, Ordering::Relaxed);
    x
}

fn hash(bytes: &[u8]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in bytes {
        h = (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3);
    }
    h ^ (h >> 29)
}

// ---------------------------------------------------------------------------------------------
// Packets

#[derive(Clone, Debug)]
struct Packet {
    flags: u8,
    seq: u32,
    ack: u32,
    echo: u32,
    src: SocketAddrV4,
    dst: SocketAddrV4,
    sum: u32,
    data: Vec<u8>,
}

impl Packet {
    fn new(
        flags: u8,
        src: SocketAddrV4,
        dst: SocketAddrV4,
        seq: u32,
        ack: u32,
        echo: u32,
    ) -> Packet {
        Packet {
            flags,
            seq,
            ack,
            echo,
            src,
            dst,
            sum: 0,
            data: Vec::new(),
        }
    }

    fn with_data(mut self, data: &[u8]) -> Packet {
        self.data = data.to_vec();
        self
    }

    /// The sum over everything but the echo, with a key that only the two ends have.
    fn keyed_sum(&self) -> u32 {
        let mut plain = self.clone();
        plain.echo = 0;
        plain.sum = 0;
        let mut bytes = b"key of callers and servers".to_vec();
        bytes.extend(plain.bytes());
        (hash(&bytes) as u32).max(1)
    }

    fn signed(mut self) -> Vec<u8> {
        self.sum = self.keyed_sum();
        self.bytes()
    }

    fn bytes(&self) -> Vec<u8> {
        let mut out = vec![self.flags];
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.src.port().to_be_bytes());
        out.extend(self.dst.ip().octets());
        out.extend(self.src.ip().octets());
        out.extend(self.dst.port().to_be_bytes());
        out.extend(self.sum.to_be_bytes());
        out.extend(&self.data);
        out
    }

    fn parse(b: &[u8]) -> Option<Packet> {
        if b.len() < HEAD {
            return None;
        }
        let n = |at: usize| u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
        let s = |at: usize| u16::from_be_bytes([b[at], b[at + 1]]);
        if usize::from(s(1)) != b.len() - HEAD {
            return None;
        }
        Some(Packet {
            flags: b[0] & 0x7f,
            seq: n(3),
            ack: n(7),
            echo: n(11),
            src: SocketAddrV4::new(Ipv4Addr::from(n(21)), s(15)),
            dst: SocketAddrV4::new(Ipv4Addr::from(n(17)), s(25)),
            sum: n(27),
            data: b[HEAD..].to_vec(),
        })
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    live: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, whether it was a removal, the object as JSON.
    changes: Vec<(u64, String, bool, String)>,
    /// When each server last wrote its entry.
    beats: HashMap<String, Instant>,
}

pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    log: Arc<Log>,
    /// Delay of each answer, in milliseconds.
    answer_ms: AtomicU64,
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    fn start(log: Arc<Log>) -> io::Result<(Arc<Store>, SocketAddr)> {
        let store = Arc::new(Store {
            objects: Mutex::new(Objects::default()),
            changed: Condvar::new(),
            log,
            answer_ms: AtomicU64::new(4),
        });
        let listener = TcpListener::bind("127.4.0.1:0")?;
        let at = listener.local_addr()?;
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok((store, at))
    }

    fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if let Some(old) = objects.live.get(&key) {
            if old.spec == spec {
                return old.revision;
            }
        }
        objects.revision += 1;
        let revision = objects.revision;
        let created = objects.live.get(&key).map_or(revision, |old| old.created);
        let object = Object {
            revision,
            created,
            spec: spec.to_string(),
        };
        let json = object_json(name, &object);
        objects.live.insert(key, object);
        objects
            .changes
            .push((revision, kind.to_string(), false, json));
        self.changed.notify_all();
        revision
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        if let Some(mut object) = objects.live.remove(&(kind.to_string(), name.to_string())) {
            objects.revision += 1;
            object.revision = objects.revision;
            let change = (
                object.revision,
                kind.to_string(),
                true,
                object_json(name, &object),
            );
            objects.changes.push(change);
            self.changed.notify_all();
        }
    }

    /// A server's report. Only a change of more than its sequence changes the entry.
    fn beat(&self, name: &str, spec: &str) {
        self.objects
            .lock()
            .unwrap()
            .beats
            .insert(name.to_string(), Instant::now());
        self.put("servers", name, spec);
    }

    /// Removes entries after three intervals of silence. Returns the names.
    fn expire(&self, interval: Duration) -> Vec<String> {
        let names: Vec<String> = {
            let mut objects = self.objects.lock().unwrap();
            let old: Vec<String> = objects
                .beats
                .iter()
                .filter(|(_, at)| at.elapsed() > interval * 3)
                .map(|(name, _)| name.clone())
                .collect();
            for name in &old {
                objects.beats.remove(name);
            }
            old
        };
        for name in &names {
            self.remove("servers", name);
            self.log.add(format!(
                "store: entry of {name} removed after three intervals of silence"
            ));
        }
        names
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let Some((method, target, body)) = read_request(&mut reader)? else {
                return Ok(());
            };
            let (status, answer) = self.answer(&method, &target, &body);
            thread::sleep(Duration::from_millis(
                self.answer_ms.load(Ordering::Relaxed),
            ));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all(&[head.as_bytes(), answer.as_bytes()].concat())?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let spec = body
            .find("\"spec\":")
            .map(|at| body[at + 7..body.len() - 1].to_string());
        match (method, parts.as_slice()) {
            ("GET", ["objects", kind]) => match query.get("watch") {
                Some(since) => self.watch(kind, since, query.get("waitMs").copied()),
                None => self.list(kind),
            },
            ("GET", ["objects", kind, name]) => {
                let objects = self.objects.lock().unwrap();
                match objects.live.get(&(kind.to_string(), name.to_string())) {
                    Some(object) => (200, object_json(name, object)),
                    None => (404, "{}".into()),
                }
            }
            ("PUT", ["objects", kind, name]) => {
                let key = (kind.to_string(), name.to_string());
                if !self.objects.lock().unwrap().live.contains_key(&key) {
                    return (404, "{}".into());
                }
                self.put(kind, name, &spec.unwrap_or("null".into()));
                self.answer("GET", path, "")
            }
            ("POST", ["objects", kind]) => {
                let name = body
                    .split("\"name\":\"")
                    .nth(1)
                    .and_then(|rest| rest.split('"').next());
                let Some(name) = name else {
                    return (400, "{}".into());
                };
                self.put(kind, name, &spec.unwrap_or("null".into()));
                self.answer("GET", &format!("/objects/{kind}/{name}"), "")
            }
            ("DELETE", ["objects", kind, name]) => {
                self.remove(kind, name);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let objects = self.objects.lock().unwrap();
        let items: Vec<String> = objects
            .live
            .iter()
            .filter(|((of, _), _)| of == kind)
            .map(|((_, name), object)| object_json(name, object))
            .collect();
        let text = items.join(",");
        (
            200,
            format!(
                "{{\"items\":[{text}],\"more\":false,\"storeRevision\":{}}}",
                objects.revision
            ),
        )
    }

    fn watch(&self, kind: &str, since: &str, wait_ms: Option<&str>) -> (u16, String) {
        let since: u64 = since.parse().unwrap_or(0);
        let wait: u64 = wait_ms.and_then(|text| text.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut objects = self.objects.lock().unwrap();
        loop {
            let events: Vec<String> = objects
                .changes
                .iter()
                .filter(|(revision, of, _, _)| *revision > since && of == kind)
                .map(|(_, _, removed, json)| format!("{{\"removed\":{removed},\"object\":{json}}}"))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = events.join(",");
                let revision = objects.revision;
                return (
                    200,
                    format!("{{\"events\":[{text}],\"storeRevision\":{revision}}}"),
                );
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

/// Reads one HTTP request: method, target and body. `None` at the end of the channel.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, String, String)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_string);
    let (method, target) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        if header.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((
        method,
        target,
        String::from_utf8_lossy(&body).into_owned(),
    )))
}

// ---------------------------------------------------------------------------------------------
// Backend servers

/// A request that a server takes, or a status check.
enum Job {
    Request {
        flow: (SocketAddrV4, SocketAddrV4),
        id: String,
        work_ms: u64,
        incarnation: u32,
    },
    Health(TcpStream),
}

struct Flow {
    seq: u32,
    echo: u32,
    is_open: bool,
    is_closed: bool,
    /// The caller's position after its request.
    next: u32,
    answer: Option<Vec<u8>>,
    is_acked: bool,
    sends: u32,
    sent_at: Instant,
}

/// The opening packet of a flow as a server took it.
#[derive(Clone, Debug)]
pub struct Opening {
    at: u64,
    caller: SocketAddrV4,
    via: SocketAddr,
}

struct ServerState {
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    queue: VecDeque<Job>,
    running: usize,
    openings: Vec<Opening>,
    runs: Vec<(u64, String)>,
    resets_sent: u32,
}

pub struct Server {
    id: String,
    identity: u64,
    service: String,
    zone: usize,
    at: SocketAddrV4,
    entry_port: u16,
    socket: UdpSocket,
    state: Mutex<ServerState>,
    wake: Condvar,
    log: Arc<Log>,
    /// The host is silent: no packet or check is answered, nothing runs.
    is_dark: AtomicBool,
    /// The paths from all balancers are cut: their packets and checks do not arrive.
    is_cut: AtomicBool,
    /// When its slow start ends.
    cold_until: AtomicU64,
    /// The path to the store is cut.
    is_store_cut: AtomicBool,
    incarnation: AtomicU32,
    /// The number of next opening packets that the network loses on their way to this server.
    lose_openings: AtomicU32,
    slots: usize,
    queue_max: usize,
}

impl Server {
    fn start(
        id: String,
        service: &str,
        zone: usize,
        ip: Ipv4Addr,
        entry_port: u16,
        log: Arc<Log>,
    ) -> io::Result<Arc<Server>> {
        let listener = TcpListener::bind((ip, 0))?;
        let SocketAddr::V4(at) = listener.local_addr()? else {
            unreachable!()
        };
        let socket = UdpSocket::bind(at)?;
        let digits = id.rsplit('-').next().unwrap();
        let server = Arc::new(Server {
            identity: u64::from_str_radix(digits, 16).unwrap(),
            id,
            service: service.to_string(),
            zone,
            at,
            entry_port,
            socket,
            state: Mutex::new(ServerState {
                flows: HashMap::new(),
                queue: VecDeque::new(),
                running: 0,
                openings: Vec::new(),
                runs: Vec::new(),
                resets_sent: 0,
            }),
            wake: Condvar::new(),
            log,
            is_dark: AtomicBool::new(false),
            is_cut: AtomicBool::new(false),
            cold_until: AtomicU64::new(0),
            is_store_cut: AtomicBool::new(false),
            incarnation: AtomicU32::new(1),
            lose_openings: AtomicU32::new(0),
            slots: 2,
            queue_max: 8,
        });
        let shared = server.clone();
        thread::spawn(move || shared.take_packets());
        let shared = server.clone();
        thread::spawn(move || shared.take_checks(&listener));
        for _ in 0..server.slots {
            let shared = server.clone();
            thread::spawn(move || shared.work());
        }
        let shared = server.clone();
        thread::spawn(move || shared.retransmit());
        Ok(server)
    }

    fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"maxConcurrency\":{},\"state\":\"ready\",\"warmupLeftMs\":{},\"sequence\":1,\"born\":{}}}",
            self.service, self.at, ZONES[self.zone], self.slots, self.cold_until.load(Ordering::Relaxed).saturating_sub(self.log.now()), 1_790_000_000_000_u64 + u64::from(self.incarnation.load(Ordering::Relaxed))
        )
    }

    fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::Relaxed)
    }

    /// Answers status checks. A check occupies a slot, so that it waits for one.
    fn take_checks(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.is_dark() || self.is_cut.load(Ordering::Relaxed) {
                // Keeps the channel open without an answer, as a silent path does.
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs(3));
                    drop(stream);
                });
                continue;
            }
            let mut state = self.state.lock().unwrap();
            if state.queue.len() >= self.queue_max {
                drop(state);
                self.answer_check(stream, 503);
                continue;
            }
            state.queue.push_back(Job::Health(stream));
            self.wake.notify_all();
        }
    }

    fn answer_check(&self, stream: TcpStream, status: u16) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let mut reader = BufReader::new(match stream.try_clone() {
            Ok(stream) => stream,
            Err(_) => return,
        });
        let _ = read_request(&mut reader);
        let mut stream = stream;
        let head = format!(
            "HTTP/1.1 {status} X\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            self.id
        );
        let _ = stream.write_all(head.as_bytes());
    }

    fn work(&self) {
        loop {
            let job = {
                let mut state = self.state.lock().unwrap();
                loop {
                    if let Some(job) = state.queue.pop_front() {
                        state.running += 1;
                        break job;
                    }
                    state = self.wake.wait(state).unwrap();
                }
            };
            match job {
                Job::Health(stream) => {
                    thread::sleep(Duration::from_millis(1));
                    if !self.is_dark() {
                        self.answer_check(stream, 200);
                    }
                }
                Job::Request {
                    flow,
                    id,
                    work_ms,
                    incarnation,
                } => {
                    if incarnation == self.incarnation.load(Ordering::Relaxed) {
                        let now = self.log.now();
                        self.state.lock().unwrap().runs.push((now, id.clone()));
                        thread::sleep(Duration::from_millis(work_ms));
                    }
                    if incarnation == self.incarnation.load(Ordering::Relaxed) {
                        self.answer(flow, &format!("HTTP/1.1 200 OK\r\nX-Server-Signature: {}\r\nContent-Length: 4\r\n\r\ndone", self.id));
                    }
                }
            }
            self.state.lock().unwrap().running -= 1;
        }
    }

    fn answer(&self, key: (SocketAddrV4, SocketAddrV4), text: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(flow) = state.flows.get_mut(&key) else {
            return;
        };
        flow.answer = Some(text.as_bytes().to_vec());
        flow.sends = 0;
        self.send_answer(key, flow);
    }

    fn send_answer(&self, key: (SocketAddrV4, SocketAddrV4), flow: &mut Flow) {
        let Some(data) = &flow.answer else { return };
        let packet = Packet::new(
            ACK,
            key.1,
            key.0,
            flow.seq.wrapping_add(1),
            flow.next,
            flow.echo,
        );
        self.send(packet.with_data(data));
        flow.sends += 1;
        flow.sent_at = Instant::now();
    }

    fn send(&self, packet: Packet) {
        if !self.is_dark() {
            let to = SocketAddrV4::new(*packet.dst.ip(), self.entry_port);
            let _ = self.socket.send_to(&packet.signed(), to);
        }
    }

    fn retransmit(&self) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = self.state.lock().unwrap();
            let due: Vec<(SocketAddrV4, SocketAddrV4)> = state
                .flows
                .iter()
                .filter(|(_, flow)| {
                    let wait =
                        Duration::from_millis((200 << flow.sends.saturating_sub(1).min(3)) as u64);
                    flow.answer.is_some()
                        && !flow.is_acked
                        && !flow.is_closed
                        && flow.sends <= 8
                        && flow.sent_at.elapsed() > wait
                })
                .map(|(key, _)| *key)
                .collect();
            for key in due {
                if let Some(flow) = state.flows.get_mut(&key) {
                    self.send_answer(key, flow);
                }
            }
        }
    }

    fn take_packets(&self) {
        let mut buffer = [0; 2048];
        loop {
            let Ok((length, via)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if self.is_dark() || self.is_cut.load(Ordering::Relaxed) || length < 8 {
                continue;
            }
            let identity = u64::from_be_bytes(buffer[..8].try_into().unwrap());
            if identity != 0 && identity != self.identity {
                continue;
            }
            let Some(packet) = Packet::parse(&buffer[8..length]) else {
                self.log
                    .add(format!("{}: a packet that cannot be read", self.id));
                continue;
            };
            if packet.sum != packet.keyed_sum() {
                self.log.add(format!(
                    "{}: a packet that its sender did not write so",
                    self.id
                ));
                continue;
            }
            self.take_packet(&packet, via);
        }
    }

    fn take_packet(&self, packet: &Packet, via: SocketAddr) {
        let key = (packet.src, packet.dst);
        let mut state = self.state.lock().unwrap();
        if packet.flags & SYN != 0 {
            if self.lose_openings.load(Ordering::Relaxed) > 0 {
                self.lose_openings.fetch_sub(1, Ordering::Relaxed);
                self.log.add(format!(
                    "network: opening packet of {} to {} lost",
                    packet.src, self.id
                ));
                return;
            }
            let at = self.log.now();
            let openings = &mut state.openings;
            if !openings.iter().any(|known| known.caller == packet.src) {
                openings.push(Opening {
                    at,
                    caller: packet.src,
                    via,
                });
            }
            let flow = state.flows.entry(key).or_insert_with(|| Flow {
                seq: hash(&packet.bytes()) as u32 ^ self.identity as u32,
                echo: packet.echo,
                is_open: false,
                is_closed: false,
                next: packet.seq.wrapping_add(1),
                answer: None,
                is_acked: false,
                sends: 0,
                sent_at: Instant::now(),
            });
            flow.echo = packet.echo;
            let reply = Packet::new(
                SYN | ACK,
                packet.dst,
                packet.src,
                flow.seq,
                packet.seq,
                flow.echo,
            );
            self.send(reply);
            return;
        }
        let Some(flow) = state.flows.get_mut(&key) else {
            if packet.flags & RST == 0 {
                state.resets_sent += 1;
                self.send(Packet::new(
                    RST,
                    packet.dst,
                    packet.src,
                    packet.ack,
                    0,
                    packet.echo,
                ));
            }
            return;
        };
        flow.echo = packet.echo;
        if packet.flags & RST != 0 {
            flow.is_closed = true;
            return;
        }
        if packet.ack == flow.seq.wrapping_add(1) {
            flow.is_open = true;
        }
        if let Some(answer) = &flow.answer {
            if packet.ack == flow.seq.wrapping_add(1 + answer.len() as u32) {
                flow.is_acked = true;
            }
        }
        if packet.flags & FIN != 0 {
            flow.is_closed = true;
            let reply = Packet::new(
                ACK | FIN,
                packet.dst,
                packet.src,
                packet.ack,
                packet.seq.wrapping_add(1),
                flow.echo,
            );
            self.send(reply);
            return;
        }
        if packet.data.is_empty() || !flow.is_open {
            return;
        }
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        let is_new = flow.next != end;
        flow.next = end;
        let echo = flow.echo;
        self.send(Packet::new(
            ACK, packet.dst, packet.src, packet.ack, end, echo,
        ));
        if !is_new {
            return;
        }
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let header = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            Some(line[name.len()..].trim().to_string())
        };
        let id = header("X-Request-Id:").unwrap_or_default();
        let work_ms = header("X-Work:")
            .and_then(|text| text.parse().ok())
            .unwrap_or(5);
        let is_full = state.running >= self.slots && state.queue.len() >= self.queue_max;
        if is_full {
            drop(state);
            self.answer(
                key,
                "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
            return;
        }
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        state.queue.push_back(Job::Request {
            flow: key,
            id,
            work_ms,
            incarnation,
        });
        self.wake.notify_all();
    }
}

// ---------------------------------------------------------------------------------------------
// Balancers and routers

pub struct Balancer {
    name: String,
    zone: usize,
    entry: SocketAddrV4,
    admin: SocketAddrV4,
    in_rotation: AtomicBool,
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    output: PathBuf,
}

impl Balancer {
    fn start(&self, program: &str) -> io::Result<()> {
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let child = Command::new(program)
            .arg("forward")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("WASABIARCH_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let probe = || -> io::Result<bool> {
            let wait = Duration::from_millis(400);
            let mut stream = TcpStream::connect_timeout(&self.admin.into(), wait)?;
            stream.set_read_timeout(Some(wait))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line.contains(" 200"))
        };
        probe().unwrap_or(false)
    }
}

/// The routers: they probe twice a second, and hash flows over the balancers in rotation.
pub struct Routers {
    balancers: Vec<Arc<Balancer>>,
}

impl Routers {
    fn start(balancers: Vec<Arc<Balancer>>) -> Arc<Routers> {
        for balancer in &balancers {
            let balancer = balancer.clone();
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let start = Instant::now();
                    misses = if balancer.is_ready() { 0 } else { misses + 1 };
                    if misses == 0 {
                        balancer.in_rotation.store(true, Ordering::Relaxed);
                    } else if misses >= 2 {
                        balancer.in_rotation.store(false, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(500).saturating_sub(start.elapsed()));
                }
            });
        }
        Arc::new(Routers { balancers })
    }

    fn choose(&self, zone: usize, src: SocketAddrV4, dst: SocketAddrV4) -> Option<&Arc<Balancer>> {
        let of = |zone: usize| self.balancers.iter().filter(move |b| b.zone == zone);
        let ready = |b: &&Arc<Balancer>| b.in_rotation.load(Ordering::Relaxed);
        for zone in [zone, (zone + 1) % 3, (zone + 2) % 3] {
            let all: Vec<_> = of(zone).collect();
            let mut chosen: Vec<_> = of(zone).filter(ready).collect();
            if chosen.is_empty() {
                continue;
            }
            if chosen.len() * 2 < all.len() {
                chosen = all;
            }
            let score = |b: &&Arc<Balancer>| hash(format!("{}{src}{dst}", b.name).as_bytes());
            return chosen.into_iter().max_by_key(score);
        }
        None
    }
}

// ---------------------------------------------------------------------------------------------
// Callers

/// How an attempt of a caller ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered(String),
    /// A reset before the flow was open.
    Refused,
    /// No answer to the opening packets.
    Silent,
    /// A reset by a balancer (its address) on an open flow.
    Cut(SocketAddr),
    /// A reset by a server on an open flow.
    CutByServer,
    Deadline,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    id: String,
    service: SocketAddrV4,
    caller: SocketAddrV4,
    sent: u64,
    ended: u64,
    end: End,
}

pub struct Zone {
    zone: usize,
    ip: Ipv4Addr,
    socket: UdpSocket,
    next_port: AtomicU32,
    flows: Mutex<HashMap<u16, Sender<(Packet, SocketAddr)>>>,
    routers: Arc<Routers>,
    attempts: Mutex<Vec<Attempt>>,
    log: Arc<Log>,
}

impl Zone {
    fn start(
        zone: usize,
        port: u16,
        routers: Arc<Routers>,
        log: Arc<Log>,
    ) -> io::Result<Arc<Zone>> {
        let ip = Ipv4Addr::new(127, 3, zone as u8, 10);
        let callers = Arc::new(Zone {
            zone,
            ip,
            socket: UdpSocket::bind((ip, port))?,
            next_port: AtomicU32::new(10_000),
            flows: Mutex::new(HashMap::new()),
            routers,
            attempts: Mutex::new(Vec::new()),
            log,
        });
        let shared = callers.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            loop {
                let Ok((length, from)) = shared.socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(packet) = Packet::parse(&buffer[..length]) else {
                    continue;
                };
                let flows = shared.flows.lock().unwrap();
                if let Some(flow) = flows.get(&packet.dst.port()) {
                    let _ = flow.send((packet, from));
                }
            }
        });
        Ok(callers)
    }

    fn send(&self, packet: Packet) {
        if let Some(balancer) = self.routers.choose(self.zone, packet.src, packet.dst) {
            let _ = self.socket.send_to(&packet.signed(), balancer.entry);
        }
    }

    /// Sends a request with up to two retries: after any failure if it may be repeated, otherwise
    /// only if it has not run.
    fn request(
        self: &Arc<Zone>,
        service: SocketAddrV4,
        method: &'static str,
        work_ms: u64,
        deadline: Duration,
    ) {
        let callers = self.clone();
        thread::spawn(move || {
            for _ in 0..3 {
                let attempt = callers.attempt(service, method, work_ms, deadline);
                let end = attempt.end.clone();
                callers.attempts.lock().unwrap().push(attempt);
                let may_repeat = match end {
                    End::Answered(ref text) => text.contains(" 503"),
                    End::Refused | End::Silent => true,
                    _ => method == "GET",
                };
                if !may_repeat || matches!(end, End::Deadline) {
                    return;
                }
            }
        });
    }

    fn attempt(
        &self,
        service: SocketAddrV4,
        method: &str,
        work_ms: u64,
        deadline: Duration,
    ) -> Attempt {
        let port = 1_024 + (self.next_port.fetch_add(1, Ordering::Relaxed) % 60_000) as u16;
        let caller = SocketAddrV4::new(self.ip, port);
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let id = format!("z{}-{port}", self.zone);
        let sent = self.log.now();
        let data = format!(
            "{method} / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Work: {work_ms}\r\n\r\n"
        );
        let end = self.exchange(
            caller,
            service,
            data.as_bytes(),
            Instant::now() + deadline,
            &packets,
        );
        self.flows.lock().unwrap().remove(&port);
        Attempt {
            id,
            service,
            caller,
            sent,
            ended: self.log.now(),
            end,
        }
    }

    fn exchange(
        &self,
        me: SocketAddrV4,
        service: SocketAddrV4,
        data: &[u8],
        deadline: Instant,
        packets: &Receiver<(Packet, SocketAddr)>,
    ) -> End {
        let start = Instant::now();
        let isn = hash(format!("{me}").as_bytes()) as u32;
        let mut copies = 0;
        let at = [0, 200, 600, 1_400].map(Duration::from_millis);
        let (server_seq, mut echo) = loop {
            if start.elapsed() >= at[3] {
                return End::Silent;
            }
            if copies < 3 && start.elapsed() >= at[copies] {
                self.send(Packet::new(SYN, me, service, isn, copies as u32, 0));
                copies += 1;
            }
            let wait = at[copies].saturating_sub(start.elapsed());
            match packets.recv_timeout(wait) {
                Ok((packet, _)) if packet.flags & RST != 0 => return End::Refused,
                Ok((packet, _))
                    if packet.flags == SYN | ACK && packet.sum == packet.keyed_sum() =>
                {
                    break (packet.seq, packet.echo);
                }
                Ok(_) | Err(RecvTimeoutError::Timeout) => (),
                Err(RecvTimeoutError::Disconnected) => return End::Silent,
            }
        };
        let base = server_seq.wrapping_add(1);
        let (first, next) = (isn.wrapping_add(1), isn.wrapping_add(1 + data.len() as u32));
        let mut is_acked = false;
        let mut wait = Duration::from_millis(200);
        self.send(Packet::new(ACK, me, service, first, base, echo).with_data(data));
        let mut due = Instant::now() + wait;
        loop {
            let now = Instant::now();
            if now >= deadline {
                self.send(Packet::new(RST, me, service, next, base, echo));
                return End::Deadline;
            }
            if !is_acked && now >= due {
                wait = (wait * 2).min(Duration::from_millis(1_600));
                due = now + wait;
                self.send(Packet::new(ACK, me, service, first, base, echo).with_data(data));
            }
            let until = if is_acked {
                deadline
            } else {
                due.min(deadline)
            };
            let Ok((packet, from)) = packets.recv_timeout(until.saturating_duration_since(now))
            else {
                continue;
            };
            if packet.flags & RST != 0 {
                if packet.sum != 0 {
                    return End::CutByServer;
                }
                // A reset of the system's own counts if its number is near what was acknowledged.
                if packet.seq.wrapping_sub(base).wrapping_add(76_800) <= 153_600 {
                    return End::Cut(from);
                }
                continue;
            }
            // The opening answer of another server is not part of this flow.
            if packet.flags & SYN != 0 || packet.sum != packet.keyed_sum() {
                continue;
            }
            echo = packet.echo;
            is_acked |= packet.ack == next;
            if !packet.data.is_empty() && packet.seq == base {
                let end = base.wrapping_add(packet.data.len() as u32);
                self.send(Packet::new(ACK, me, service, next, end, echo));
                self.send(Packet::new(ACK | FIN, me, service, next, end, echo));
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                return End::Answered(text.lines().next().unwrap_or_default().to_string());
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// A deployment

pub struct Deployment {
    log: Arc<Log>,
    store: Arc<Store>,
    servers: Vec<Arc<Server>>,
    balancers: Vec<Arc<Balancer>>,
    zones: Vec<Arc<Zone>>,
    folder: PathBuf,
}

const PROGRAM: &str = "target/release/wasabid";
/// The interval of servers' status reports.
const HEARTBEAT: Duration = Duration::from_millis(770);

/// Finds four ports that are free on all addresses of balancers and callers.
fn free_ports(addresses: &[Ipv4Addr]) -> io::Result<[u16; 4]> {
    for _ in 0..50 {
        let probe = UdpSocket::bind("127.0.0.1:0")?;
        let base = probe.local_addr()?.port();
        if base > 65_000 {
            continue;
        }
        let ports = [base, base + 1, base + 2, base + 3];
        let is_free = addresses.iter().all(|&ip| {
            ports.iter().all(|&port| {
                UdpSocket::bind((ip, port)).is_ok() && TcpListener::bind((ip, port)).is_ok()
            })
        });
        if is_free {
            return Ok(ports);
        }
    }
    Err(io::Error::other("no free ports"))
}

impl Deployment {
    /// Starts the store, the servers (service, zone) and the balancers of each zone.
    fn start(
        log: Arc<Log>,
        servers: &[(&str, usize)],
        balancers: usize,
        config: &str,
    ) -> io::Result<Deployment> {
        let ip_of = |zone: usize, index: usize| Ipv4Addr::new(127, 1, zone as u8, 10 + index as u8);
        let mut ips: Vec<Ipv4Addr> = Vec::new();
        for zone in 0..3 {
            ips.push(Ipv4Addr::new(127, 3, zone as u8, 10));
            ips.extend((0..balancers).map(|index| ip_of(zone, index)));
        }
        let [entry, admin, control, peer] = free_ports(&ips)?;
        let (store, store_at) = Store::start(log.clone())?;
        store.put("config", "main", config);
        let mut started = Vec::new();
        for (index, (service, zone)) in servers.iter().enumerate() {
            let id = format!(
                "i-{:08x}",
                hash(format!("{index}{service}").as_bytes()) as u32
            );
            let ip = Ipv4Addr::new(127, 2, *zone as u8, 10 + index as u8);
            let server = Server::start(id, service, *zone, ip, entry, log.clone())?;
            log.add(format!(
                "server {} of {service} in {} at {}",
                server.id, ZONES[*zone], server.at
            ));
            started.push(server);
        }
        let folder = std::env::temp_dir().join(format!("wasabi-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let template = fs::read_to_string("deploy/settings.env")?;
        let seeds: Vec<String> = (0..3)
            .map(|zone| format!("{}:{control}", ip_of(zone, 0)))
            .collect();
        let mut processes = Vec::new();
        for zone in 0..3 {
            for index in 0..balancers {
                let (name, ip) = (
                    format!("edge-{}-{}", ZONES[zone], index + 1),
                    ip_of(zone, index),
                );
                let values = [
                    ("{{nodeName}}", name.clone()),
                    ("{{zone}}", ZONES[zone].to_string()),
                    ("{{listen.datagramAddr}}", format!("{ip}:{entry}")),
                    ("{{ip}}", ip.to_string()),
                    ("{{internalPortRange.0}}", peer.to_string()),
                    ("{{listen.readiness}}", format!("{ip}:{admin}")),
                    ("{{platform.address}}", store_at.to_string()),
                    ("{{seeds}}", seeds.join(",")),
                    ("{{bounds.warmupOverage}}", "1.5".to_string()),
                    ("{{bounds.warmupSlack}}", "5".to_string()),
                    ("{{bounds.graceS}}", "6".to_string()),
                    ("{{bounds.evacuateMs}}", "5000".to_string()),
                    ("{{limits.bandwidthMbps}}", "1000.0".to_string()),
                    ("{{limits.cpuQuota}}", "0.25".to_string()),
                ];
                let text = values.iter().fold(template.clone(), |text, (key, value)| {
                    text.replace(key, value)
                });
                let settings = folder.join(format!("{name}.env"));
                fs::write(&settings, text)?;
                processes.push(Arc::new(Balancer {
                    zone,
                    entry: SocketAddrV4::new(ip, entry),
                    admin: SocketAddrV4::new(ip, admin),
                    in_rotation: AtomicBool::new(false),
                    child: Mutex::new(None),
                    output: folder.join(format!("{name}.log")),
                    settings,
                    name,
                }));
            }
        }
        let routers = Routers::start(processes.clone());
        let mut zones = Vec::new();
        for zone in 0..3 {
            zones.push(Zone::start(zone, entry, routers.clone(), log.clone())?);
        }
        for balancer in &processes {
            balancer.start(PROGRAM)?;
        }
        let deployment = Deployment {
            log,
            store,
            servers: started,
            balancers: processes,
            zones,
            folder,
        };
        deployment.report();
        Ok(deployment)
    }

    /// Servers' status reports, and the removal of entries after three intervals of silence.
    fn report(&self) {
        let (servers, store) = (self.servers.clone(), self.store.clone());
        thread::spawn(move || loop {
            for server in &servers {
                if !server.is_dark() && !server.is_store_cut.load(Ordering::Relaxed) {
                    store.beat(&server.id, &server.entry());
                }
            }
            thread::sleep(HEARTBEAT);
        });
        let store = self.store.clone();
        thread::spawn(move || loop {
            store.expire(HEARTBEAT);
            thread::sleep(Duration::from_millis(20));
        });
    }

    /// Waits until all balancers are in rotation.
    fn wait_ready(&self) -> bool {
        for _ in 0..200 {
            if self
                .balancers
                .iter()
                .all(|b| b.in_rotation.load(Ordering::Relaxed))
            {
                self.log.add("all balancers are in rotation");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all processes that were started.
    fn stop(&self) {
        for balancer in &self.balancers {
            if let Some(mut child) = balancer.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    fn name_of(&self, at: SocketAddr) -> String {
        let found = self
            .balancers
            .iter()
            .find(|b| SocketAddr::V4(b.entry) == at);
        found.map_or(at.to_string(), |b| b.name.clone())
    }

    /// Appends what was sent, answered and run to the record, and returns all attempts.
    fn write_record(&self, path: &str, verdict: &str) -> Vec<Attempt> {
        let mut attempts: Vec<Attempt> = Vec::new();
        for zone in &self.zones {
            attempts.extend(zone.attempts.lock().unwrap().iter().cloned());
        }
        attempts.sort_by_key(|attempt| attempt.sent);
        let mut text = format!("{verdict}\n\nevents (milliseconds since the start):\n");
        text += &self.log.lines.lock().unwrap().join("\n");
        text += "\n\nattempts of callers (sent, ended, id, service, end):\n";
        for attempt in &attempts {
            text += &format!(
                "{:>7} {:>7} {} {} {:?}\n",
                attempt.sent, attempt.ended, attempt.id, attempt.service, attempt.end
            );
        }
        text += "\nruns at servers (began, server, request):\n";
        let mut runs = Vec::new();
        for server in &self.servers {
            let state = server.state.lock().unwrap();
            runs.extend(
                state
                    .runs
                    .iter()
                    .map(|(at, id)| (*at, server.id.clone(), id.clone())),
            );
        }
        runs.sort();
        for (at, server, id) in runs {
            text += &format!("{at:>7} {server} {id}\n");
        }
        let _ = fs::write(path, text);
        attempts
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Sends requests at random times with a mean rate for a while, spread over the zones.
fn load(
    d: &Deployment,
    seed: u64,
    per_s: f64,
    length: Duration,
    service: SocketAddrV4,
    method: &'static str,
    work: (u64, u64),
    deadline_ms: u64,
) -> thread::JoinHandle<()> {
    let zones = d.zones.clone();
    thread::spawn(move || {
        let state = AtomicU64::new(seed | 1);
        let start = Instant::now();
        let mut next = Duration::ZERO;
        while next < length {
            let uniform = (random(&state) % 1_000_000 + 1) as f64 / 1_000_001.0;
            next += Duration::from_secs_f64(-uniform.ln() / per_s);
            thread::sleep(next.saturating_sub(start.elapsed()));
            let zone = &zones[(random(&state) >> 20) as usize % 3];
            let work_ms = work.0 + (random(&state) >> 20) % (work.1 - work.0 + 1);
            zone.request(service, method, work_ms, Duration::from_millis(deadline_ms));
        }
    })
}

fn config(routes: &[(&str, &str, &str)]) -> String {
    let text: Vec<String> = routes
        .iter()
        .map(|(host, service, kind)| {
            format!("{{\"name\":\"r-{service}\",\"host\":\"{host}\",\"pathPrefix\":\"/8443/\",\"routeType\":\"{kind}\",\"timeoutMs\":2500,\"targetLatencyMs\":200,\"priority\":2,\"service\":\"{service}\",\"attempts\":2}}")
        })
        .collect();
    let mut names: Vec<&str> = routes.iter().map(|route| route.1).collect();
    names.dedup();
    let services: Vec<String> = names
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":0.0}}"))
        .collect();
    format!("{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"idleTimeoutMs\":15000}}}}", text.join(","), services.join(","))
}

include!("cases.rs");

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 3 {
        eprintln!("usage: stand_in CASE RECORD");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = play(&args[1], trouble, &args[2]);
    match result {
        Ok(is_broken) => std::process::exit(i32::from(is_broken)),
        Err(error) => {
            eprintln!("cannot run: {error}");
            std::process::exit(2);
        }
    }
}
