//! Stand-ins for the scripts of this review: the platform's store, backend servers, callers, and
//! the links between balancers. The balancers themselves are processes of the deploy file.
//!
//! Everything runs on loopback addresses. Only the standard library is used.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub const SYN: u8 = 64;
pub const ACK: u8 = 16;
pub const FIN: u8 = 8;
pub const RST: u8 = 1;
const HEAD: usize = 31;
/// The status report interval of servers.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A run that takes longer could not be carried out.
const RUN_MAX: Duration = Duration::from_secs(100);
/// The time of an answer of the store.
const STORE_LATENCY: Duration = Duration::from_millis(4);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- record

/// The record of a run, with milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:10.1} {}\n", self.now(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- packets

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut b = Vec::with_capacity(HEAD + self.data.len());
        b.push(self.flags);
        b.extend((self.data.len() as u16).to_be_bytes());
        b.extend(self.seq.to_be_bytes());
        b.extend(self.ack.to_be_bytes());
        b.extend(self.echo.to_be_bytes());
        b.extend(self.src.port().to_be_bytes());
        b.extend(self.dst.ip().octets());
        b.extend(self.src.ip().octets());
        b.extend(self.dst.port().to_be_bytes());
        b.extend(self.sum().to_be_bytes());
        b.extend(&self.data);
        b
    }

    /// A sum over all fields but the echo, under a key that only the two ends have.
    fn sum(&self) -> u32 {
        let mut hash = 0x9e37_79b9u32;
        let mut add = |byte: u8| hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let words = [
            self.seq,
            self.ack,
            u32::from(*self.src.ip()),
            u32::from(*self.dst.ip()),
        ];
        words
            .iter()
            .flat_map(|word| word.to_be_bytes())
            .for_each(&mut add);
        let ports = [self.src.port(), self.dst.port()];
        ports
            .iter()
            .flat_map(|port| port.to_be_bytes())
            .for_each(&mut add);
        add(self.flags);
        self.data.iter().copied().for_each(&mut add);
        hash
    }

    /// Decodes a packet, and returns whether its sum is right.
    pub fn decode(b: &[u8]) -> Option<(Packet, bool)> {
        if b.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes(b[at..at + 4].try_into().unwrap());
        let port = |at: usize| u16::from_be_bytes(b[at..at + 2].try_into().unwrap());
        if b.len() != HEAD + usize::from(port(1)) {
            return None;
        }
        let packet = Packet {
            flags: b[0],
            seq: word(3),
            ack: word(7),
            echo: word(11),
            src: SocketAddrV4::new(word(21).into(), port(15)),
            dst: SocketAddrV4::new(word(17).into(), port(25)),
            data: b[HEAD..].to_vec(),
        };
        let is_right = packet.sum() == word(27);
        Some((packet, is_right))
    }
}

// ---------------------------------------------------------------- store

struct Object {
    spec: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Kind, revision and text of each event.
    events: Vec<(String, u64, String)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
    pub record: Record,
}

fn meta(name: &str, revision: u64, created: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\"finalizers\":[],\"deleting\":false}}"
    )
}

fn object(name: &str, object: &Object, revision: u64) -> String {
    format!(
        "{{\"meta\":{},\"spec\":{},\"status\":null}}",
        meta(name, revision, object.created),
        object.spec
    )
}

impl Store {
    pub fn new(record: Record) -> Store {
        let objects = Objects {
            revision: 100,
            ..Objects::default()
        };
        Store {
            objects: Arc::new((Mutex::new(objects), Condvar::new())),
            record,
        }
    }

    /// Writes an object. Returns the store's revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (lock, changed) = &*self.objects;
        let mut o = lock.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if o.objects.get(&key).is_some_and(|old| old.spec == spec) {
            return o.revision;
        }
        o.revision += 1;
        let revision = o.revision;
        let created = o.objects.get(&key).map_or(revision, |old| old.created);
        let new = Object {
            spec: spec.to_string(),
            revision,
            created,
        };
        let text = format!(
            "{{\"removed\":false,\"object\":{}}}",
            object(name, &new, revision)
        );
        o.events.push((kind.to_string(), revision, text));
        o.objects.insert(key, new);
        changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let (lock, changed) = &*self.objects;
        let mut o = lock.lock().unwrap();
        let Some(old) = o.objects.remove(&(kind.to_string(), name.to_string())) else {
            return;
        };
        o.revision += 1;
        let revision = o.revision;
        let text = format!(
            "{{\"removed\":true,\"object\":{}}}",
            object(name, &old, revision)
        );
        o.events.push((kind.to_string(), revision, text));
        changed.notify_all();
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let o = self.objects.0.lock().unwrap();
        let items = o.objects.iter();
        let items = items.filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<String> = items
            .map(|((_, name), old)| object(name, old, old.revision))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"storeRevision\":{}}}",
            items.join(","),
            o.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (lock, changed) = &*self.objects;
        let mut o = lock.lock().unwrap();
        loop {
            let events = o.events.iter();
            let events = events.filter(|(k, revision, _)| k == kind && *revision > since);
            let events: Vec<&str> = events.map(|(_, _, text)| text.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    o.revision
                );
            }
            o = changed.wait_timeout(o, left).unwrap().0;
        }
    }

    /// Serves the store at an address. While `cut` is set, nothing that arrives there is answered.
    pub fn serve(&self, address: SocketAddrV4, cut: Arc<AtomicBool>) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, cut) = (store.clone(), cut.clone());
                thread::spawn(move || store.serve_stream(stream, &cut));
            }
        });
    }

    fn serve_stream(&self, mut stream: TcpStream, cut: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        while let Some((method, target, body)) = read_request(&mut stream) {
            thread::sleep(STORE_LATENCY);
            let (status, text) = self.answer(&method, &target, &body);
            while cut.load(SeqCst) {
                thread::sleep(ms(20));
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if stream.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        match (method, name) {
            ("GET", None) => match query.get("watch") {
                Some(since) => {
                    let wait = query
                        .get("waitMs")
                        .and_then(|w| w.parse().ok())
                        .unwrap_or(0);
                    (
                        "200 OK",
                        self.watch(kind, since.parse().unwrap_or(0), ms(wait)),
                    )
                }
                None => ("200 OK", self.list(kind, query.get("after").unwrap_or(&""))),
            },
            // Of the system's own kinds only whole objects are written here.
            ("PUT", Some(name)) => {
                let key = (kind.to_string(), name.to_string());
                match self.objects.0.lock().unwrap().objects.contains_key(&key) {
                    false => ("404 Not Found", "{\"error\":\"none\"}".into()),
                    true => (
                        "200 OK",
                        format!("{{\"meta\":{},\"spec\":{{}}}}", meta(name, 1, 1)),
                    ),
                }
            }
            ("POST", None) => {
                let name = body
                    .split("\"name\":\"")
                    .nth(1)
                    .and_then(|rest| rest.split('"').next());
                let spec = body.split("\"spec\":").nth(1).unwrap_or("{}");
                let spec = &spec[..spec.find('}').map_or(0, |end| end + 1)];
                let name = name.unwrap_or("none").to_string();
                let revision = self.put(kind, &name, if spec.is_empty() { "{}" } else { spec });
                (
                    "201 Created",
                    format!(
                        "{{\"meta\":{},\"spec\":{{}}}}",
                        meta(&name, revision, revision)
                    ),
                )
            }
            ("DELETE", Some(name)) => {
                self.delete(kind, name);
                (
                    "200 OK",
                    format!("{{\"meta\":{},\"spec\":{{}}}}", meta(name, 1, 1)),
                )
            }
            _ => ("404 Not Found", "{\"error\":\"none\"}".into()),
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<(String, String, String)> {
    let mut data = Vec::new();
    let mut buffer = [0; 4_096];
    let end = loop {
        if let Some(at) = data.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => data.extend(&buffer[..n]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&data[..end]).to_string();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    while data.len() < end + length.unwrap_or(0) {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => data.extend(&buffer[..n]),
            _ => return None,
        }
    }
    let mut words = head.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    Some((
        method,
        target,
        String::from_utf8_lossy(&data[end..]).to_string(),
    ))
}

// ---------------------------------------------------------------- servers

/// What a server has seen: the opening packets that it took and the requests that it ran.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub server: String,
    pub what: &'static str,
    pub caller: SocketAddrV4,
    pub service: SocketAddrV4,
    pub id: String,
}

pub type Log = Arc<Mutex<Vec<Seen>>>;

/// A backend server, which may crash and start again.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub work: Duration,
    pub cold: Duration,
    is_up: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    started: Arc<Mutex<Instant>>,
    /// Counts starts: threads of an earlier one end.
    life: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    store: Store,
    log: Log,
    entry_port: u16,
}

struct Flow {
    isn: u32,
    /// The position of the caller's next data, and of the server's.
    next: u32,
    sent: u32,
    is_open: bool,
}

impl Server {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        work: Duration,
        store: &Store,
        log: &Log,
        entry_port: u16,
    ) -> Server {
        Server {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address,
            work,
            cold: Duration::ZERO,
            is_up: Arc::new(AtomicBool::new(false)),
            is_leaving: Arc::new(AtomicBool::new(false)),
            started: Arc::new(Mutex::new(Instant::now())),
            life: Arc::new(AtomicU64::new(0)),
            sequence: Arc::new(AtomicU64::new(0)),
            store: store.clone(),
            log: log.clone(),
            entry_port,
        }
    }

    fn identity(&self) -> u64 {
        u64::from_str_radix(self.id.rsplit('-').next().unwrap(), 16).expect("hex digits")
    }

    /// How long it stays cold.
    pub fn cold_left(&self) -> Duration {
        self.cold
            .saturating_sub(self.started.lock().unwrap().elapsed())
    }

    fn register(&self) {
        let state = if self.is_leaving.load(SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"maxConcurrency\":2,\"state\":\"{state}\",\"warmupLeftMs\":{},\"sequence\":{sequence},\"born\":1700000000000}}",
            self.service, self.address, self.zone, self.cold_left().as_millis()
        );
        // Entries change when more than the sequence does.
        let rest = |spec: &str| spec.split("\"sequence\"").next().unwrap_or("").to_string();
        let key = ("servers".to_string(), self.id.clone());
        let same = {
            let o = self.store.objects.0.lock().unwrap();
            o.objects
                .get(&key)
                .is_some_and(|old| rest(&old.spec) == rest(&spec))
        };
        if !same {
            self.store.put("servers", &self.id, &spec);
        }
    }

    /// Starts the process of the server. It is cold for `cold`.
    pub fn start(&mut self, cold: Duration) {
        self.cold = cold;
        *self.started.lock().unwrap() = Instant::now();
        let life = self.life.fetch_add(1, SeqCst) + 1;
        self.is_up.store(true, SeqCst);
        let udp = UdpSocket::bind(self.address).expect("the server's address is free");
        let tcp = TcpListener::bind(self.address).expect("the server's address is free");
        tcp.set_nonblocking(true).unwrap();
        udp.set_read_timeout(Some(ms(10))).unwrap();
        self.register();
        let me = self.clone();
        thread::spawn(move || me.run_packets(udp, life));
        let me = self.clone();
        thread::spawn(move || me.run_checks(tcp, life));
        let me = self.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            while me.is_alive(life) {
                thread::sleep(ms(10));
                if last.elapsed() >= HEARTBEAT {
                    last = Instant::now();
                    me.register();
                }
            }
        });
    }

    /// Reports that it leaves. It serves on until `crash` is called.
    pub fn leave(&self) {
        self.is_leaving.store(true, SeqCst);
        self.register();
    }

    /// Ends the process of the server without notice. Its flows are gone.
    pub fn crash(&self) {
        self.is_up.store(false, SeqCst);
        self.life.fetch_add(1, SeqCst);
        // Its sockets close within this time.
        thread::sleep(ms(25));
    }

    fn is_alive(&self, life: u64) -> bool {
        self.is_up.load(SeqCst) && self.life.load(SeqCst) == life
    }

    fn run_checks(&self, tcp: TcpListener, life: u64) {
        while self.is_alive(life) {
            let Ok((mut stream, _)) = tcp.accept() else {
                thread::sleep(ms(2));
                continue;
            };
            let id = self.id.clone();
            let is_leaving = self.is_leaving.load(SeqCst);
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_read_timeout(Some(ms(500)));
                if read_request(&mut stream).is_some() {
                    let status = if is_leaving {
                        "503 Service Unavailable"
                    } else {
                        "200 OK"
                    };
                    let head = format!(
                        "HTTP/1.1 {status}\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                    );
                    let _ = stream.write_all(head.as_bytes());
                }
            });
        }
    }

    fn note(&self, what: &'static str, packet: &Packet, id: &str) {
        let seen = Seen {
            at: self.store.record.now(),
            server: self.id.clone(),
            what,
            caller: packet.src,
            service: packet.dst,
            id: id.to_string(),
        };
        self.store.record.say(format!(
            "server {} ({} in {}) {what} {} > {} {id}",
            self.id, self.service, self.zone, packet.src, packet.dst
        ));
        self.log.lock().unwrap().push(seen);
    }

    fn run_packets(&self, udp: UdpSocket, life: u64) {
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut ending: Vec<(Instant, SocketAddrV4, Vec<u8>)> = Vec::new();
        let mut buffer = [0; 2_048];
        let mut isn = 0x1000_0000u32;
        while self.is_alive(life) {
            let now = Instant::now();
            ending.retain(|(due, to, packet)| {
                if *due <= now {
                    let _ = udp.send_to(packet, to);
                }
                *due > now
            });
            let Ok((n, _)) = udp.recv_from(&mut buffer) else {
                continue;
            };
            if n < 8 || !self.is_alive(life) {
                continue;
            }
            let header = u64::from_be_bytes(buffer[..8].try_into().unwrap());
            if header != 0 && header != self.identity() {
                continue;
            }
            let Some((packet, is_right)) = Packet::decode(&buffer[8..n]) else {
                continue;
            };
            if !is_right {
                self.note("got a packet that nobody wrote", &packet, "");
                continue;
            }
            let to = SocketAddrV4::new(*packet.src.ip(), self.entry_port);
            let key = (packet.src, packet.dst);
            let answer = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| Packet {
                flags,
                seq,
                ack,
                echo: packet.echo,
                src: packet.dst,
                dst: packet.src,
                data,
            };
            if packet.flags & SYN != 0 {
                isn = isn.wrapping_add(0x0001_2345);
                let flow = flows.entry(key).or_insert(Flow {
                    isn,
                    next: packet.seq.wrapping_add(1),
                    sent: isn.wrapping_add(1),
                    is_open: false,
                });
                self.note(
                    "took the opening packet of",
                    &packet,
                    &format!("copy {}", packet.ack),
                );
                let reply = answer(SYN | ACK, flow.isn, flow.next, Vec::new());
                let _ = udp.send_to(&reply.encode(), to);
                continue;
            }
            let Some(flow) = flows.get_mut(&key) else {
                if packet.flags & RST == 0 {
                    let reply = answer(RST, packet.ack, packet.seq, Vec::new());
                    let _ = udp.send_to(&reply.encode(), to);
                }
                continue;
            };
            if packet.flags & RST != 0 {
                flows.remove(&key);
                continue;
            }
            flow.is_open |= packet.ack == flow.isn.wrapping_add(1);
            if !flow.is_open {
                continue;
            }
            if !packet.data.is_empty() && packet.seq == flow.next {
                flow.next = flow.next.wrapping_add(packet.data.len() as u32);
                let text = String::from_utf8_lossy(&packet.data).to_string();
                let id = text
                    .split("X-Request-Id: ")
                    .nth(1)
                    .and_then(|rest| rest.split("\r\n").next());
                let id = id.unwrap_or("").to_string();
                let body = format!("done {id}");
                let response = format!(
                    "HTTP/1.1 200 OK\r\nX-Server-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                );
                let (next, seq) = (flow.next, flow.sent);
                flow.sent = seq.wrapping_add(response.len() as u32);
                let reply = answer(ACK, seq, next, response.into_bytes()).encode();
                // The data is acknowledged at once, and answered after the work.
                let ack = answer(ACK, seq, next, Vec::new());
                let _ = udp.send_to(&ack.encode(), to);
                ending.push((Instant::now() + self.work, to, reply));
                self.note("runs the request of", &packet, &id);
                continue;
            }
            if !packet.data.is_empty() {
                // A copy of data that was received.
                let ack = answer(ACK, flow.sent, flow.next, Vec::new());
                let _ = udp.send_to(&ack.encode(), to);
            }
            if packet.flags & FIN != 0 {
                let seq = packet.ack;
                let fin = answer(FIN | ACK, seq, packet.seq.wrapping_add(1), Vec::new());
                let _ = udp.send_to(&fin.encode(), to);
                flows.remove(&key);
            }
        }
    }
}

// ---------------------------------------------------------------- callers

/// How an attempt of a caller ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Served(String),
    Reset,
    NotOpened,
    Deadline,
}

/// One attempt of a caller: a flow of its own through one balancer.
pub struct Attempt {
    pub id: String,
    pub caller: SocketAddrV4,
    pub service: SocketAddrV4,
    pub via: SocketAddrV4,
    /// The time of each opening packet.
    pub openings: Vec<f64>,
    pub end: End,
}

/// Sends a request, with the copies that the pages name. Ends at the caller's deadline.
pub fn call(
    record: &Record,
    id: &str,
    caller: SocketAddrV4,
    service: SocketAddrV4,
    via: SocketAddrV4,
    deadline: Duration,
) -> Attempt {
    let socket =
        UdpSocket::bind(SocketAddrV4::new(*caller.ip(), via.port())).expect("caller binds");
    let start = Instant::now();
    let mut attempt = Attempt {
        id: id.to_string(),
        caller,
        service,
        via,
        openings: Vec::new(),
        end: End::NotOpened,
    };
    let isn = 0x5000_0000u32;
    let opening = |copy: u32| Packet {
        flags: SYN,
        seq: isn,
        ack: copy,
        echo: 0,
        src: caller,
        dst: service,
        data: Vec::new(),
    };
    let copies = [ms(0), ms(200), ms(600)];
    let mut open: Option<(u32, u32)> = None;
    let mut data_at: Option<(Instant, Duration)> = None;
    let mut acked = false;
    let request = format!("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\n\r\n");
    let mut buffer = [0; 2_048];
    loop {
        let now = start.elapsed();
        if now >= deadline {
            attempt.end = if open.is_some() {
                End::Deadline
            } else {
                End::NotOpened
            };
            break;
        }
        if open.is_none() {
            if now >= ms(1_400) {
                break;
            }
            let sent = attempt.openings.len();
            if sent < copies.len() && now >= copies[sent] {
                let _ = socket.send_to(&opening(sent as u32).encode(), via);
                attempt.openings.push(record.now());
                record.say(format!(
                    "caller {caller} > {service} {id}: opening packet, copy {sent}, to {via}"
                ));
            }
        }
        let data = |echo: u32, ack: u32| Packet {
            flags: ACK,
            seq: isn.wrapping_add(1),
            ack,
            echo,
            src: caller,
            dst: service,
            data: request.clone().into_bytes(),
        };
        if let (Some((echo, ack)), Some((at, pause)), false) = (open, data_at, acked) {
            if at.elapsed() >= pause {
                let _ = socket.send_to(&data(echo, ack).encode(), via);
                data_at = Some((Instant::now(), (pause * 2).min(ms(1_600))));
            }
        }
        let next_copy = copies
            .get(attempt.openings.len())
            .map(|at| at.saturating_sub(now));
        let wait = match open {
            None => next_copy.unwrap_or(ms(20)).min(ms(20)),
            Some(_) => ms(10),
        };
        let _ = socket.set_read_timeout(Some(wait.max(ms(1))));
        let Ok((n, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some((packet, is_right)) = Packet::decode(&buffer[..n]) else {
            continue;
        };
        if packet.dst != caller || packet.src != service {
            continue;
        }
        if packet.flags & RST != 0 {
            attempt.end = End::Reset;
            break;
        }
        if !is_right {
            record.say(format!("caller {caller}: got a packet that nobody wrote"));
            continue;
        }
        if packet.flags & SYN != 0 {
            if open.is_none() {
                let ack = packet.seq.wrapping_add(1);
                open = Some((packet.echo, ack));
                let _ = socket.send_to(&data(packet.echo, ack).encode(), via);
                data_at = Some((Instant::now(), ms(200)));
            }
            continue;
        }
        acked |= packet.ack == isn.wrapping_add(1 + request.len() as u32);
        if !packet.data.is_empty() {
            let text = String::from_utf8_lossy(&packet.data).to_string();
            let fin = Packet {
                flags: FIN | ACK,
                seq: isn.wrapping_add(1 + request.len() as u32),
                ack: packet.seq.wrapping_add(packet.data.len() as u32),
                echo: packet.echo,
                src: caller,
                dst: service,
                data: Vec::new(),
            };
            let ack = Packet {
                flags: ACK,
                ..fin.clone()
            };
            let _ = socket.send_to(&ack.encode(), via);
            let _ = socket.send_to(&fin.encode(), via);
            let server = text.split("X-Server-Signature: ").nth(1);
            let server = server
                .and_then(|rest| rest.split("\r\n").next())
                .unwrap_or("");
            attempt.end = match text.contains(&format!("done {id}")) {
                true => End::Served(server.to_string()),
                false => End::Served("FOREIGN".into()),
            };
            break;
        }
    }
    record.say(format!(
        "caller {caller} > {service} {id}: {:?}",
        attempt.end
    ));
    attempt
}

/// A flow that its caller keeps open for many requests.
pub struct LongFlow {
    socket: UdpSocket,
    pub caller: SocketAddrV4,
    pub service: SocketAddrV4,
    via: SocketAddrV4,
    seq: u32,
    ack: u32,
    echo: u32,
    pub server: String,
    requests: u32,
    record: Record,
}

impl LongFlow {
    /// Opens a flow with a first request.
    pub fn open(
        record: &Record,
        caller: SocketAddrV4,
        service: SocketAddrV4,
        via: SocketAddrV4,
    ) -> Option<LongFlow> {
        let socket =
            UdpSocket::bind(SocketAddrV4::new(*caller.ip(), via.port())).expect("caller binds");
        let mut flow = LongFlow {
            socket,
            caller,
            service,
            via,
            seq: 0x5000_0000,
            ack: 0,
            echo: 0,
            server: String::new(),
            requests: 0,
            record: record.clone(),
        };
        flow.send(SYN, &[]);
        let end = Instant::now() + ms(200);
        while Instant::now() < end {
            let Some(packet) = flow.recv(end) else {
                return None;
            };
            if packet.flags & SYN != 0 {
                flow.seq += 1;
                flow.ack = packet.seq.wrapping_add(1);
                flow.echo = packet.echo;
                return matches!(flow.request(), End::Served(_)).then_some(flow);
            }
        }
        None
    }

    fn send(&self, flags: u8, data: &[u8]) {
        let packet = Packet {
            flags,
            seq: self.seq,
            ack: self.ack,
            echo: self.echo,
            src: self.caller,
            dst: self.service,
            data: data.to_vec(),
        };
        let _ = self.socket.send_to(&packet.encode(), self.via);
    }

    /// Returns the next packet for the flow until `end`.
    fn recv(&self, end: Instant) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self.socket.set_read_timeout(Some(left.max(ms(1))));
            let Ok((n, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if let Some((packet, is_right)) = Packet::decode(&buffer[..n]) {
                let is_own = packet.dst == self.caller && packet.src == self.service;
                if is_own && (is_right || packet.flags & RST != 0) {
                    if packet.flags & RST != 0 {
                        // A balancer knows no key, so the sum of its resets is 0.
                        let by = if is_right { "a server" } else { "a balancer" };
                        self.record
                            .say(format!("caller {} gets a reset of {by}", self.caller));
                    }
                    return Some(packet);
                }
            }
        }
    }

    /// Sends a request, with copies as the pages name them, and waits for its response.
    pub fn request(&mut self) -> End {
        self.requests += 1;
        let id = format!("{}-{}", self.caller, self.requests);
        let text = format!("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\n\r\n");
        let end = Instant::now() + ms(1_500);
        let mut pause = ms(200);
        let mut is_received = false;
        self.send(ACK, text.as_bytes());
        let mut due = Instant::now() + pause;
        while Instant::now() < end {
            let Some(packet) = self.recv(due.min(end)) else {
                if !is_received {
                    self.send(ACK, text.as_bytes());
                }
                pause = (pause * 2).min(ms(1_600));
                due = Instant::now() + pause;
                continue;
            };
            if packet.flags & RST != 0 {
                return End::Reset;
            }
            is_received |= packet.ack == self.seq.wrapping_add(text.len() as u32);
            if !packet.data.is_empty() {
                self.seq = self.seq.wrapping_add(text.len() as u32);
                self.ack = packet.seq.wrapping_add(packet.data.len() as u32);
                self.echo = packet.echo;
                self.send(ACK, &[]);
                let body = String::from_utf8_lossy(&packet.data).to_string();
                let server = body.split("X-Server-Signature: ").nth(1);
                self.server = server
                    .and_then(|rest| rest.split("\r\n").next())
                    .unwrap_or("")
                    .to_string();
                return End::Served(self.server.clone());
            }
        }
        End::Deadline
    }
}

// ---------------------------------------------------------------- balancers

/// The links between balancers. Each balancer announces an address of this hub.
#[derive(Clone, Default)]
pub struct Hub {
    cuts: Arc<Mutex<Vec<(usize, usize)>>>,
}

impl Hub {
    /// Passes frames from balancer to balancer. `ports` has the announced and the bound address of
    /// each.
    pub fn start(&self, ports: &[(SocketAddrV4, SocketAddrV4)]) {
        let sockets: Vec<UdpSocket> = ports
            .iter()
            .map(|(announced, _)| UdpSocket::bind(announced).expect("hub binds"))
            .collect();
        let sockets = Arc::new(sockets);
        let bound: Vec<SocketAddrV4> = ports.iter().map(|&(_, bound)| bound).collect();
        for to in 0..ports.len() {
            let (sockets, bound, hub) = (sockets.clone(), bound.clone(), self.clone());
            thread::spawn(move || {
                let mut buffer = [0; 2_048];
                loop {
                    let Ok((n, source)) = sockets[to].recv_from(&mut buffer) else {
                        continue;
                    };
                    let from = bound
                        .iter()
                        .position(|b| std::net::SocketAddr::V4(*b) == source);
                    let Some(from) = from else {
                        continue;
                    };
                    if !hub.cuts.lock().unwrap().contains(&(from, to)) {
                        let _ = sockets[from].send_to(&buffer[..n], bound[to]);
                    }
                }
            });
        }
    }

    /// Cuts a balancer off from all others, in both directions.
    pub fn isolate(&self, who: usize, count: usize) {
        let mut cuts = self.cuts.lock().unwrap();
        for other in 0..count {
            cuts.push((who, other));
            cuts.push((other, who));
        }
    }

    pub fn heal(&self) {
        self.cuts.lock().unwrap().clear();
    }
}

/// A balancer's process.
pub struct Balancer {
    pub name: String,
    pub zone: String,
    pub entry: SocketAddrV4,
    pub admin: SocketAddrV4,
    pub peer: SocketAddrV4,
    pub bind: SocketAddrV4,
    pub platform: SocketAddrV4,
    pub cut: Arc<AtomicBool>,
    pub settings: PathBuf,
    child: Option<Child>,
}

impl Balancer {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new("target/release/wasabid")
            .arg("forward")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("WASABIARCH_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/wasabid starts");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
    pub fn stop(&mut self, grace: Duration) {
        let Some(child) = self.child.as_mut() else {
            return;
        };
        send_signal(child.id(), "TERM");
        let end = Instant::now() + grace;
        while Instant::now() < end && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(ms(10));
        }
        self.kill();
    }

    /// Sends the process a signal.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            send_signal(child.id(), name);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.try_wait());
        matches!(ended, Some(Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.admin.into(), ms(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- world

/// A deployment.
pub struct World {
    pub record: Record,
    pub store: Store,
    pub log: Log,
    pub hub: Hub,
    pub balancers: Vec<Balancer>,
    pub servers: Vec<Server>,
    pub entry_port: u16,
    callers: Arc<AtomicU64>,
    folder: PathBuf,
    seeds: String,
}

/// The first of ten ports that are free on all loopback addresses that a run uses.
fn free_ports() -> u16 {
    let first = std::process::id() % 700;
    let bases = (0..700).map(|n| 20_000 + ((first + n) % 700) as u16 * 16);
    let is_free = |port: u16| {
        let any = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, port);
        UdpSocket::bind(any).is_ok() && TcpListener::bind(any).is_ok()
    };
    let mut free = bases.filter(|&base| (base..base + 10).all(is_free));
    free.next().expect("ten free ports")
}

/// The processes that were started, for the end of a run that takes too long.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn send_signal(id: u32, name: &str) {
    let command = format!("kill -{name} {id}");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

/// Ends the run, and all of its processes, after `RUN_MAX`.
fn limit_run() {
    thread::spawn(|| {
        thread::sleep(RUN_MAX);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("sh")
                .args(["-c", &format!("kill -KILL {id}")])
                .status();
        }
        std::process::exit(2);
    });
}

impl World {
    /// Starts the store and `counts` balancers in each zone, which must be 9 in all at most.
    pub fn new(record_path: &str, zones: &[(&str, usize)]) -> World {
        let record = Record::new(record_path);
        let store = Store::new(record.clone());
        let base = free_ports();
        limit_run();
        let entry_port = base;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut balancers = Vec::new();
        for (z, &(zone, count)) in zones.iter().enumerate() {
            for n in 0..count {
                let ip = Ipv4Addr::new(127, 1, z as u8 + 1, n as u8 + 10);
                let at = |port: u16| SocketAddrV4::new(ip, base + port);
                balancers.push(Balancer {
                    name: format!("edge-{zone}-{}", n + 1),
                    zone: zone.to_string(),
                    entry: at(0),
                    admin: at(1),
                    peer: at(2),
                    bind: at(3),
                    platform: SocketAddrV4::new(
                        Ipv4Addr::new(127, 200, z as u8 + 1, n as u8 + 10),
                        base + 4,
                    ),
                    cut: Arc::new(AtomicBool::new(false)),
                    settings: folder.join(format!("{zone}-{n}.env")),
                    child: None,
                });
            }
        }
        // One seed in each zone, as on the platform.
        let seeds: Vec<String> = zones
            .iter()
            .filter_map(|(zone, _)| balancers.iter().find(|b| b.zone == *zone))
            .map(|b| format!("{}:{}", b.peer.ip(), base + 9))
            .collect();
        for balancer in &balancers {
            store.serve(balancer.platform, balancer.cut.clone());
        }
        let hub = Hub::default();
        let ports: Vec<_> = balancers.iter().map(|b| (b.peer, b.bind)).collect();
        hub.start(&ports);
        let world = World {
            record,
            store,
            log: Log::default(),
            hub,
            balancers,
            servers: Vec::new(),
            entry_port,
            callers: Arc::new(AtomicU64::new(0)),
            folder,
            seeds: seeds.join(","),
        };
        world.write_settings("6");
        world
    }

    /// Fills in the template of the settings, as the platform does, with this value of `graceS`.
    pub fn write_settings(&self, grace_s: &str) {
        let template = std::fs::read_to_string("deploy/settings.env").expect("the template");
        for balancer in &self.balancers {
            let values = [
                ("nodeName", balancer.name.clone()),
                ("zone", balancer.zone.clone()),
                ("listen.datagramAddr", balancer.entry.to_string()),
                ("ip", balancer.peer.ip().to_string()),
                ("internalPortRange.0", balancer.peer.port().to_string()),
                ("listen.readiness", balancer.admin.to_string()),
                ("platform.address", balancer.platform.to_string()),
                ("seeds", self.seeds.clone()),
                ("bounds.warmupOverage", "1.5".into()),
                ("bounds.warmupSlack", "5".into()),
                ("bounds.evacuateMs", "5000".into()),
                ("bounds.graceS", grace_s.into()),
                ("limits.bandwidthMbps", "1000".into()),
                ("limits.cpuQuota", "0.25".into()),
            ];
            let mut text = template.clone();
            for (name, value) in values {
                text = text.replace(&format!("{{{{{name}}}}}"), &value);
            }
            // The links between balancers pass through the hub.
            let _ = writeln!(text, "WASABI_PEER_BIND={}", balancer.bind);
            std::fs::write(&balancer.settings, text).unwrap();
        }
    }

    /// Adds and starts a server, which is warm.
    pub fn add_server(&mut self, id: &str, service: &str, zone: &str, work: Duration) {
        self.add_cold_server(id, service, zone, work, Duration::ZERO);
    }

    /// Adds and starts a server, which is cold for `cold`.
    pub fn add_cold_server(
        &mut self,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        cold: Duration,
    ) {
        let zones: Vec<&str> = self.balancers.iter().map(|b| b.zone.as_str()).collect();
        let z = zones
            .iter()
            .position(|z| *z == zone)
            .map_or(0, |at| self.balancers[at].peer.ip().octets()[2]);
        let n = self.servers.len() as u8 + 10;
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 2, z, n), self.entry_port + 5);
        let mut server = Server::new(
            id,
            service,
            zone,
            address,
            work,
            &self.store,
            &self.log,
            self.entry_port,
        );
        server.start(cold);
        self.servers.push(server);
    }

    pub fn service_address(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 198, 0, n), 8_443)
    }

    /// Writes a config. Routes are (name, number of the service address, service, kind).
    pub fn write_config(&self, version: u32, routes: &[(&str, u8, &str, &str)], warmup_per_s: f64) {
        let routes: Vec<String> = routes
            .iter()
            .map(|(name, n, service, kind)| {
                let address = self.service_address(*n);
                format!(
                    "{{\"name\":\"{name}\",\"host\":\"{}\",\"pathPrefix\":\"/{}/\",\"routeType\":\"{kind}\",\"timeoutMs\":1500,\"targetLatencyMs\":200,\"priority\":2,\"service\":\"{service}\",\"attempts\":2}}",
                    address.ip(), address.port()
                )
            })
            .collect();
        let services: Vec<String> = ["rounds", "route-sheets"]
            .iter()
            .map(|name| {
                format!(
                    "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":{warmup_per_s:.1}}}"
                )
            })
            .collect();
        let spec = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            routes.join(","), services.join(",")
        );
        let revision = self.store.put("config", "main", &spec);
        self.record.say(format!(
            "store acknowledges config version {version}, revision {revision}"
        ));
    }

    /// Starts all balancers and waits until they are ready. Returns whether they are.
    pub fn start_balancers(&mut self) -> bool {
        for balancer in &mut self.balancers {
            balancer.start();
        }
        let end = Instant::now() + ms(15_000);
        while !self.balancers.iter().all(Balancer::is_ready) {
            if Instant::now() > end {
                self.record.say("the balancers did not become ready");
                return false;
            }
            thread::sleep(ms(50));
        }
        self.record.say("all balancers are ready");
        true
    }

    /// Returns the address of a new caller.
    pub fn new_caller(&self) -> SocketAddrV4 {
        new_caller(&self.callers)
    }

    /// Returns the counter of callers, for threads.
    pub fn callers(&self) -> Arc<AtomicU64> {
        self.callers.clone()
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.log.lock().unwrap().clone()
    }
}

pub fn new_caller(counter: &AtomicU64) -> SocketAddrV4 {
    let n = counter.fetch_add(1, SeqCst);
    let ip = Ipv4Addr::new(
        127,
        64 + (n / 62_500) as u8,
        (n / 250 % 250) as u8,
        (n % 250) as u8 + 1,
    );
    SocketAddrV4::new(ip, 40_001)
}

impl Drop for World {
    fn drop(&mut self) {
        for balancer in &mut self.balancers {
            balancer.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---------------------------------------------------------------- routers and traffic

/// The platform's routers: they send each flow of a zone to one of its balancers in rotation.
pub struct Router {
    /// The balancers of each zone: entry, readiness address, and whether they are in rotation.
    zones: Vec<Vec<(SocketAddrV4, SocketAddrV4, AtomicBool)>>,
}

impl Router {
    /// Starts to ask the balancers twice per second whether they are ready.
    pub fn start(world: &World, zones: &[&str], stop: &Arc<AtomicBool>) -> Arc<Router> {
        let of_zone = |zone: &&str| {
            let own = world.balancers.iter().filter(|b| b.zone == **zone);
            own.map(|b| (b.entry, b.admin, AtomicBool::new(true)))
                .collect()
        };
        let router = Arc::new(Router {
            zones: zones.iter().map(of_zone).collect(),
        });
        for (z, zone) in router.zones.iter().enumerate() {
            for n in 0..zone.len() {
                let (router, stop) = (router.clone(), stop.clone());
                thread::spawn(move || {
                    let mut misses = 0;
                    while !stop.load(SeqCst) {
                        let (_, admin, is_in) = &router.zones[z][n];
                        misses = if is_page_ready(*admin) { 0 } else { misses + 1 };
                        if misses == 0 || misses >= 2 {
                            is_in.store(misses == 0, SeqCst);
                        }
                        thread::sleep(ms(500));
                    }
                });
            }
        }
        router
    }

    /// Returns the balancer for a flow of a zone, by a hash as of `steady`.
    pub fn pick(&self, zone: usize, flow: u64) -> SocketAddrV4 {
        let in_rotation = |z: usize| -> Vec<SocketAddrV4> {
            let ready = self.zones[z]
                .iter()
                .filter(|(_, _, is_in)| is_in.load(SeqCst));
            ready.map(|&(entry, _, _)| entry).collect()
        };
        let mut set = in_rotation(zone);
        if set.is_empty() {
            // The nodes of the nearest zones.
            set = (0..self.zones.len()).flat_map(in_rotation).collect();
        } else if set.len() * 2 < self.zones[zone].len() {
            set = self.zones[zone]
                .iter()
                .map(|&(entry, _, _)| entry)
                .collect();
        }
        if set.is_empty() {
            set = self.zones[zone]
                .iter()
                .map(|&(entry, _, _)| entry)
                .collect();
        }
        let score = |entry: &SocketAddrV4| {
            let mut x =
                flow ^ u64::from(u32::from(*entry.ip())).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            x ^= x >> 33;
            x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
            x ^ x >> 33
        };
        set.into_iter()
            .max_by_key(score)
            .expect("a zone has balancers")
    }
}

fn is_page_ready(admin: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&admin.into(), ms(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ms(400)));
    let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}

/// All attempts of the callers.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Starts callers in each zone, each request with up to two further tries, until `stop` is set.
/// `rates` are requests per second; one in 16 is for the second service address.
pub fn start_traffic(
    world: &World,
    router: &Arc<Router>,
    rates: &[u64],
    stop: &Arc<AtomicBool>,
) -> Attempts {
    let attempts = Attempts::default();
    for (zone, &rate) in rates.iter().enumerate() {
        let (router, stop, record) = (router.clone(), stop.clone(), world.record.clone());
        let (callers, attempts) = (world.callers(), attempts.clone());
        let services = [world.service_address(1), world.service_address(2)];
        thread::spawn(move || {
            let start = Instant::now();
            let mut sent = 0u64;
            while !stop.load(SeqCst) {
                let due = Duration::from_micros(sent * 1_000_000 / rate);
                thread::sleep(due.saturating_sub(start.elapsed()));
                sent += 1;
                let service = services[usize::from(sent % 16 == 0)];
                let (router, record) = (router.clone(), record.clone());
                let (callers, attempts) = (callers.clone(), attempts.clone());
                let end = Instant::now() + ms(1_500);
                thread::spawn(move || {
                    for t in 0..3 {
                        let caller = new_caller(&callers);
                        let via = router.pick(zone, u64::from(u32::from(*caller.ip())));
                        let id = format!("r{zone}-{sent}-{t}");
                        let left = end.saturating_duration_since(Instant::now());
                        let attempt = call(&record, &id, caller, service, via, left);
                        let is_over =
                            matches!(attempt.end, End::Served(_)) || Instant::now() >= end;
                        attempts.lock().unwrap().push(attempt);
                        if is_over {
                            return;
                        }
                        thread::sleep(ms(20));
                    }
                });
            }
        });
    }
    attempts
}

impl World {
    /// Records what cold servers got, and returns the most requests that one of them got within a
    /// second. Counted are flows whose opening packet was sent and taken inside that second.
    pub fn report_cold(
        &self,
        attempts: &Attempts,
        cold_from: &[(String, f64)],
        cold_ms: u64,
        limit: f64,
    ) -> usize {
        let attempts = attempts.lock().unwrap();
        let served = attempts
            .iter()
            .filter(|a| matches!(a.end, End::Served(_)))
            .count();
        self.record.say(format!(
            "{served} of {} attempts are served",
            attempts.len()
        ));
        let sent: HashMap<SocketAddrV4, &Attempt> =
            attempts.iter().map(|a| (a.caller, a)).collect();
        let seen = self.seen();
        let mut worst = 0;
        for (server, from) in cold_from {
            let to = from + cold_ms as f64;
            let mut taken = HashMap::new();
            for s in seen
                .iter()
                .filter(|s| &s.server == server && s.what.starts_with("took"))
            {
                if s.at >= *from && s.at < to {
                    taken.entry(s.caller).or_insert((s.at, s.id.clone()));
                }
            }
            // Arrival, sending and machine of each request.
            let mut times: Vec<(f64, f64, SocketAddrV4)> = Vec::new();
            for (caller, (at, copy)) in &taken {
                let copy: usize = copy.trim_start_matches("copy ").parse().unwrap_or(0);
                if let Some(attempt) = sent.get(caller) {
                    times.extend(
                        attempt
                            .openings
                            .get(copy)
                            .map(|sent| (*at, *sent, attempt.via)),
                    );
                }
            }
            let inside = |start: f64| -> Vec<SocketAddrV4> {
                let inside = times
                    .iter()
                    .filter(|&&(at, sent, _)| sent >= start && at < start + 1_000.0);
                inside.map(|&(_, _, via)| via).collect()
            };
            let starts = times.iter().map(|&(_, sent, _)| inside(sent));
            let most = starts.max_by_key(Vec::len).unwrap_or_default();
            let mut by_machine: BTreeMap<&str, usize> = BTreeMap::new();
            for via in &most {
                let balancer = self.balancers.iter().find(|b| b.entry == *via);
                *by_machine
                    .entry(balancer.map_or("", |b| &b.name))
                    .or_default() += 1;
            }
            self.record.say(format!(
                "cold server {server}: {} requests while cold, {} in its worst second, through {by_machine:?}; limit {limit}",
                times.len(),
                most.len()
            ));
            worst = worst.max(most.len());
        }
        worst
    }
}

/// The zones of zawadzki-rounds.
pub const ZONES: [&str; 3] = ["mazowsze-a", "mazowsze-b", "mazowsze-c"];
/// The requests per second of their callers.
pub const RATES: [u64; 3] = [134, 145, 121];

impl World {
    /// Makes the deployment of zawadzki-rounds: nine balancers, 14 servers of `rounds` and 4 of
    /// `route-sheets`. The first server has the id `first`, if that is given.
    pub fn zawadzki_rounds(record_path: &str, first: Option<&str>) -> World {
        let mut world = World::new(record_path, &[(ZONES[0], 4), (ZONES[1], 3), (ZONES[2], 2)]);
        let mut first = first;
        for (zone, rounds, sheets) in [(ZONES[0], 5, 2), (ZONES[1], 5, 1), (ZONES[2], 4, 1)] {
            for (service, count, work) in [("rounds", rounds, 30), ("route-sheets", sheets, 5)] {
                for _ in 0..count {
                    let id = format!(
                        "i-{:08x}",
                        0x7f3b_2f37 + world.servers.len() as u32 * 0x1_2f37
                    );
                    world.add_server(first.take().unwrap_or(&id), service, zone, ms(work));
                }
            }
        }
        world
    }

    /// Writes the config with a route to each service.
    pub fn write_first_config(&self, warmup_per_s: f64) {
        let routes = [
            ("stops", 1, "rounds", "idempotent"),
            ("sheets", 2, "route-sheets", "download"),
        ];
        self.write_config(7, &routes, warmup_per_s);
    }
}
