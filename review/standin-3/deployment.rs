//! Plays a small deployment on loopback for the cases of this review: the platform's store, backend
//! servers, callers and the operator in this process, and `wasabid forward` as separate processes.
//!
//! Usage: deployment SCENARIO WASABID RECORD. `TROUBLE=0` leaves out the disruption.
//!
//! - drain, config, evacuate: a drill of the store. It is away for a moment and comes back from a
//!   copy that is some seconds old, with a higher `Store-Era`.
//! - refused: the store turns away four of five machines of a zone, of twelve in all, by silence, and
//!   serves the others.
//! - unreadable: another writer puts an entry among those of the servers that cannot be read.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

// The bounds of the site file sites/lsff-edge.toml and of its settings.
const DRAIN_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 3_000;
const EVACUATE_MS: u64 = 5_000;
/// What an unstable store adds to the bounds of the config and of an evacuation.
const OUTER_MS: u64 = 12_000;
const STABILITY_WINDOW_MS: u64 = 4_000;
const HEARTBEAT_MS: u64 = 770;
/// How long the store is away.
const AWAY_MS: u64 = 1_000;
/// The number of times that it turns machines away.
const ROUNDS: u8 = 7;
/// The number of balancers that it turns away: the first ones.
const TURNED_AWAY: usize = 4;
/// The age of the copy from which it comes back.
const COPY_AGE_MS: u64 = 5_000;

const SYN: u8 = 64;
const ACK: u8 = 16;
const FIN: u8 = 8;
const RST: u8 = 1;
const HEAD: usize = 31;
const KEY: u32 = 0x5eed_1e55;

/// The time after which a run is given up.
const RUN_MAX: Duration = Duration::from_secs(100);
/// The process identifiers of the balancers, for the end of a run that is given up.
static STARTED: OnceLock<Mutex<Vec<u32>>> = OnceLock::new();

// ---- record ----

struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    fn line(&self, text: &str) {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:3}.{:03} {}", at / 1000, at % 1000, text);
    }
}

// ---- the platform's store ----

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Clone, Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Default)]
struct State {
    data: Data,
    era: u64,
    is_away: bool,
    /// Copies of the data with the time when they were made, in milliseconds.
    copies: Vec<(u64, Data)>,
}

struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

/// The spec without the field `sequence`, whose changes do not count as changes of an entry.
fn without_sequence(spec: &str) -> String {
    match spec.find("\"sequence\":") {
        None => spec.to_string(),
        Some(at) => {
            let rest = &spec[at..];
            let end = rest.find([',', '}']).unwrap_or(rest.len());
            format!("{}{}", &spec[..at], &rest[end..])
        }
    }
}

impl Data {
    /// Creates or replaces an object; returns the store's revision after it.
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let id = (kind.to_string(), name.to_string());
        if let Some(object) = self.objects.get_mut(&id) {
            if without_sequence(&object.spec) == without_sequence(spec) {
                object.spec = spec.to_string();
                return self.revision;
            }
        }
        self.revision += 1;
        let created = self.objects.get(&id).map_or(self.revision, |o| o.created);
        let object = Object {
            revision: self.revision,
            created,
            spec: spec.to_string(),
        };
        let text = format!("{{\"removed\":false,\"object\":{}}}", render(name, &object));
        self.events.push(Event {
            revision: self.revision,
            kind: kind.into(),
            text,
        });
        self.objects.insert(id, object);
        self.revision
    }
    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let Some(mut object) = self.objects.remove(&(kind.to_string(), name.to_string())) else {
            return false;
        };
        self.revision += 1;
        object.revision = self.revision;
        let text = format!("{{\"removed\":true,\"object\":{}}}", render(name, &object));
        self.events.push(Event {
            revision: self.revision,
            kind: kind.into(),
            text,
        });
        true
    }
}

impl Store {
    /// A write of a server or of the operator; `None` if the store is away.
    fn put(&self, kind: &str, name: &str, spec: &str) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let before = state.data.revision;
        let revision = state.data.put(kind, name, spec);
        drop(state);
        self.changed.notify_all();
        if revision != before {
            self.record.line(&format!(
                "store: {kind}/{name} written, revision {revision}: {}",
                brief(spec)
            ));
        }
        Some(revision)
    }

    /// Removes an entry.
    fn delete(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().data.delete(kind, name);
        self.changed.notify_all();
    }

    /// Copies the data ten times a second, for the drill.
    fn keep_copies(self: Arc<Self>) {
        loop {
            let now = self.record.now();
            {
                let mut state = self.state.lock().unwrap();
                if !state.is_away {
                    let copy = state.data.clone();
                    state.copies.push((now, copy));
                    state
                        .copies
                        .retain(|(at, _)| now - at < COPY_AGE_MS + 2_000);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn drill(&self) {
        let now = self.record.now();
        {
            let mut state = self.state.lock().unwrap();
            state.is_away = true;
            self.record.line(&format!(
                "drill: the store is away, revision {}",
                state.data.revision
            ));
        }
        self.changed.notify_all();
        thread::sleep(Duration::from_millis(AWAY_MS));
        let mut state = self.state.lock().unwrap();
        let copy = state
            .copies
            .iter()
            .filter(|(at, _)| at + COPY_AGE_MS <= now)
            .next_back();
        let (at, data) = copy.cloned().expect("a copy of that age");
        state.data = data;
        state.copies.clear();
        state.era += 1;
        state.is_away = false;
        self.record.line(&format!(
            "drill: the store is back from a copy of {} ms before it went, revision {}, Store-Era {}",
            now - at, state.data.revision, state.era
        ));
    }

    fn serve(self: Arc<Self>, listener: TcpListener, is_refused: Arc<AtomicBool>) {
        for stream in listener.incoming().flatten() {
            let (store, is_refused) = (self.clone(), is_refused.clone());
            thread::spawn(move || {
                let _ = store.converse(stream, &is_refused);
            });
        }
    }

    /// Answers the calls of one connection. While the store is away, connections end. While the
    /// machine is refused, it gets no answer, and nothing more comes on the connection.
    fn converse(&self, stream: TcpStream, is_refused: &AtomicBool) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let Some((method, target, body)) = read_request(&mut reader)? else {
                return Ok(());
            };
            let Some((status, text, era)) = self.answer(&method, &target, &body) else {
                return Ok(());
            };
            if is_refused.load(Ordering::Relaxed) {
                let _ = reader.read_to_end(&mut Vec::new());
                return Ok(());
            }
            write!(
                writer,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            )?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> Option<(u16, String, u64)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let era = state.era;
        let reply = |status: u16, text: String| Some((status, text, era));
        match (method, parts.as_slice()) {
            ("GET", ["objects", kind]) if field("watch").is_some() => {
                let since: u64 = field("watch")?.parse().ok()?;
                let wait: u64 = field("waitMs")
                    .and_then(|wait| wait.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    // It went away meanwhile: the waiting watch is cut off.
                    if state.is_away || state.era != era {
                        return None;
                    }
                    if since > state.data.revision {
                        drop(state);
                        self.record
                            .line(&format!("store: watch of {kind} from {since}: 410"));
                        return reply(410, "{}".into());
                    }
                    let events: Vec<&str> = state
                        .data
                        .events
                        .iter()
                        .filter(|event| event.revision > since && event.kind == *kind)
                        .map(|event| event.text.as_str())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"storeRevision\":{}}}",
                            events.join(","),
                            state.data.revision
                        );
                        return reply(200, text);
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", ["objects", kind]) => {
                let after = field("after").unwrap_or("");
                let items: Vec<String> = state
                    .data
                    .objects
                    .iter()
                    .filter(|((of, name), _)| of == kind && name.as_str() > after)
                    .map(|((_, name), object)| render(name, object))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"more\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    state.data.revision
                );
                reply(200, text)
            }
            ("GET", ["objects", kind, name]) => {
                match state
                    .data
                    .objects
                    .get(&(kind.to_string(), name.to_string()))
                {
                    Some(object) => reply(200, render(name, object)),
                    None => reply(404, "{}".into()),
                }
            }
            ("POST", ["objects", kind]) => {
                let name = text_field(body, "name")?;
                if let Some(object) = state.data.objects.get(&(kind.to_string(), name.clone())) {
                    return reply(409, render(&name, object));
                }
                let spec = object_field(body, "spec")?;
                state.data.put(kind, &name, &spec);
                let text = render(
                    &name,
                    &state.data.objects[&(kind.to_string(), name.clone())],
                );
                drop(state);
                self.changed.notify_all();
                self.record
                    .line(&format!("store: {kind}/{name} created by the system"));
                reply(200, text)
            }
            ("PUT", ["objects", kind, name]) => {
                let id = (kind.to_string(), name.to_string());
                if !state.data.objects.contains_key(&id) {
                    return reply(404, "{}".into());
                }
                let spec = object_field(body, "spec")?;
                state.data.put(kind, name, &spec);
                let text = render(name, &state.data.objects[&id]);
                drop(state);
                self.changed.notify_all();
                reply(200, text)
            }
            ("DELETE", ["objects", kind, name]) => {
                let found = state.data.delete(kind, name);
                drop(state);
                self.changed.notify_all();
                reply(if found { 200 } else { 404 }, "{}".into())
            }
            _ => reply(404, "{}".into()),
        }
    }
}

fn brief(text: &str) -> String {
    text.chars().take(220).collect()
}

fn text_field(body: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":\"");
    let rest = &body[body.find(&key)? + key.len()..];
    Some(rest[..rest.find('"')?].to_string())
}

fn object_field(body: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":");
    let rest = &body[body.find(&key)? + key.len()..];
    let mut depth = 0;
    for (at, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => {
                depth -= 1;
                if depth == 0 {
                    return Some(rest[..=at].to_string());
                }
            }
            _ => (),
        }
    }
    None
}

fn read_request(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<(String, String, String)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or("").to_string();
    let target = words.next().unwrap_or("").to_string();
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        let header = header.trim();
        if header.is_empty() {
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

// ---- packets ----

#[derive(Clone, Copy, Debug)]
struct Packet {
    flags: u8,
    seq: u32,
    ack: u32,
    echo: u32,
    src: Ipv4Addr,
    sport: u16,
    dst: Ipv4Addr,
    dport: u16,
}

/// The keyed sum over all fields but echo, pad and BOUNCED. The stand-ins have a key of their own.
fn sum(p: &Packet, data: &[u8]) -> u32 {
    let mut h = 0x811c_9dc5u32 ^ KEY;
    let mut add = |bytes: &[u8]| {
        for b in bytes {
            h = (h ^ u32::from(*b)).wrapping_mul(0x0100_0193);
        }
    };
    add(&[p.flags & !128]);
    add(&p.seq.to_be_bytes());
    add(&p.ack.to_be_bytes());
    add(&p.src.octets());
    add(&p.sport.to_be_bytes());
    add(&p.dst.octets());
    add(&p.dport.to_be_bytes());
    add(data);
    h
}

fn encode(p: &Packet, data: &[u8]) -> Vec<u8> {
    let mut out = vec![p.flags];
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(p.seq.to_be_bytes());
    out.extend(p.ack.to_be_bytes());
    out.extend(p.echo.to_be_bytes());
    out.extend(p.sport.to_be_bytes());
    out.extend(p.dst.octets());
    out.extend(p.src.octets());
    out.extend(p.dport.to_be_bytes());
    out.extend(sum(p, data).to_be_bytes());
    out.extend(data);
    out
}

fn decode(bytes: &[u8]) -> Option<(Packet, Vec<u8>, bool)> {
    if bytes.len() < HEAD {
        return None;
    }
    let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
        |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let packet = Packet {
        flags: bytes[0] & !128,
        seq: u32_at(3),
        ack: u32_at(7),
        echo: u32_at(11),
        sport: u16_at(15),
        dst: Ipv4Addr::from(u32_at(17)),
        src: Ipv4Addr::from(u32_at(21)),
        dport: u16_at(25),
    };
    let data = bytes[HEAD..].to_vec();
    let is_true = u32_at(27) == sum(&packet, &data);
    Some((packet, data, is_true))
}

// ---- backend servers ----

struct Server {
    id: String,
    number: u64,
    service: String,
    zone: String,
    address: SocketAddr,
    is_draining: AtomicBool,
    is_registered: AtomicBool,
    sequence: AtomicU64,
    born: u64,
}

/// An opening packet that a server took.
#[derive(Clone, Debug)]
struct Taken {
    server: String,
    sport: u16,
    dport: u16,
    sent: u64,
    arrived: u64,
}

/// What the caller knows of a flow.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// When its first opening packet was sent.
    at: u64,
    /// The balancer that it was sent to.
    balancer: usize,
    dport: u16,
    outcome: &'static str,
}

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    taken: Mutex<Vec<Taken>>,
    /// The flows that the caller opened, by its port.
    sent: Mutex<BTreeMap<u16, Sent>>,
    opened: AtomicU32,
    resets: AtomicU32,
    entry_port: u16,
    stop: AtomicBool,
}

impl World {
    fn note(&self, sport: u16, outcome: &'static str) {
        if let Some(sent) = self.sent.lock().unwrap().get_mut(&sport) {
            sent.outcome = outcome;
        }
    }

    /// Writes what was sent, run and answered: each flow of these balancers, and the sums of all.
    fn record_flows(&self, balancers: impl Fn(usize) -> bool) {
        let taken = self.taken.lock().unwrap();
        let mut by_port: BTreeMap<u16, Vec<String>> = BTreeMap::new();
        for one in taken.iter() {
            by_port
                .entry(one.sport)
                .or_default()
                .push(format!("{} at {}", one.server, one.arrived));
        }
        let mut sums: BTreeMap<(usize, &str), u32> = BTreeMap::new();
        for (sport, sent) in self.sent.lock().unwrap().iter() {
            let servers = by_port
                .get(sport)
                .map_or("none".into(), |servers| servers.join(", "));
            let Sent {
                at,
                balancer,
                dport,
                outcome,
            } = sent;
            *sums.entry((*balancer, *outcome)).or_insert(0) += 1;
            if !balancers(*balancer) {
                continue;
            }
            self.record.line(&format!("flow {sport} to {dport} by balancer {balancer}: sent {at}, taken by {servers}, {outcome}"));
        }
        for ((balancer, outcome), count) in sums {
            self.record
                .line(&format!("flows by balancer {balancer}, {outcome}: {count}"));
        }
    }
}

impl Server {
    fn spec(&self) -> String {
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"maxConcurrency\":4,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{},\"born\":{}}}",
            self.service, self.address, self.zone, self.sequence.fetch_add(1, Ordering::Relaxed), self.born
        )
    }

    fn start(
        world: &Arc<World>,
        id: &str,
        service: &str,
        zone: &str,
        host: Ipv4Addr,
    ) -> Arc<Server> {
        // Its address is one port for datagrams and for status checks.
        let (socket, listener) = loop {
            let listener = TcpListener::bind((host, 0)).expect("a free port");
            let address = listener.local_addr().unwrap();
            if let Ok(socket) = UdpSocket::bind(address) {
                break (socket, listener);
            }
        };
        let server = Arc::new(Server {
            id: id.into(),
            number: u64::from_str_radix(id.trim_start_matches("i-"), 16).unwrap(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            is_draining: AtomicBool::new(false),
            is_registered: AtomicBool::new(true),
            sequence: AtomicU64::new(1),
            born: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64,
        });
        let (one, w) = (server.clone(), world.clone());
        thread::spawn(move || one.take_packets(&w, socket));
        let one = server.clone();
        thread::spawn(move || one.answer_checks(listener));
        let (one, w) = (server.clone(), world.clone());
        thread::spawn(move || loop {
            if one.is_registered.load(Ordering::Relaxed) {
                w.store.put("servers", &one.id, &one.spec());
            }
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        });
        server
    }

    fn answer_checks(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut writer = stream;
            if let Ok(Some(_)) = read_request(&mut reader) {
                let status = if self.is_draining.load(Ordering::Relaxed) {
                    503
                } else {
                    200
                };
                let _ = write!(writer, "HTTP/1.1 {status} X\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", self.id);
            }
        }
    }

    fn take_packets(&self, world: &World, socket: UdpSocket) {
        let mut buffer = [0u8; 2048];
        let mut flows: BTreeMap<(Ipv4Addr, u16), u32> = BTreeMap::new();
        loop {
            let Ok((size, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            if size < 8 + HEAD {
                continue;
            }
            let named = u64::from_be_bytes(buffer[..8].try_into().unwrap());
            let Some((packet, data, is_true)) = decode(&buffer[8..size]) else {
                continue;
            };
            if !is_true {
                world.record.line(&format!("{}: a forged packet", self.id));
                continue;
            }
            let flow = (packet.src, packet.sport);
            let is_meant = named == 0 || named == self.number;
            let answer = |flags: u8, seq: u32, ack: u32, data: &[u8]| {
                let reply = Packet {
                    flags,
                    seq,
                    ack,
                    echo: packet.echo,
                    src: packet.dst,
                    sport: packet.dport,
                    dst: packet.src,
                    dport: packet.sport,
                };
                let _ = socket.send_to(&encode(&reply, data), (packet.src, world.entry_port));
            };
            if packet.flags & SYN != 0 {
                if !is_meant {
                    continue;
                }
                let is_new = !flows.contains_key(&flow);
                let own = *flows
                    .entry(flow)
                    .or_insert(0x4000_0000 | u32::from(packet.sport) << 8);
                if is_new {
                    let sent = world
                        .sent
                        .lock()
                        .unwrap()
                        .get(&packet.sport)
                        .map_or(0, |sent| sent.at);
                    let arrived = world.record.now();
                    world.taken.lock().unwrap().push(Taken {
                        server: self.id.clone(),
                        sport: packet.sport,
                        dport: packet.dport,
                        sent,
                        arrived,
                    });
                }
                answer(SYN | ACK, own, packet.seq.wrapping_add(1), b"");
                continue;
            }
            match flows.get(&flow) {
                None if is_meant => answer(RST, 0, packet.seq, b""),
                None => (),
                Some(_) if packet.flags & RST != 0 => {
                    flows.remove(&flow);
                }
                Some(own) if packet.flags & FIN != 0 => {
                    answer(ACK, own.wrapping_add(1), packet.seq.wrapping_add(1), b"");
                }
                // A request: the response closes the flow.
                Some(own) if !data.is_empty() => {
                    let seq = packet.seq.wrapping_add(data.len() as u32);
                    answer(
                        ACK | FIN,
                        own.wrapping_add(1),
                        seq,
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
                    );
                }
                Some(_) => (),
            }
        }
    }
}

// ---- callers ----

/// Opens a flow at each `pause` in turn through each balancer and on each route.
fn call(
    world: Arc<World>,
    host: Ipv4Addr,
    entries: Vec<SocketAddr>,
    route: Ipv4Addr,
    ports: Vec<u16>,
    pause: Duration,
) {
    let socket = UdpSocket::bind((host, world.entry_port)).expect("the caller's address");
    socket
        .set_read_timeout(Some(Duration::from_millis(1)))
        .unwrap();
    let mut buffer = [0u8; 2048];
    let (mut sport, mut turn) = (10_000u16, 0usize);
    let mut next = Instant::now();
    // By the caller's port: the balancer, the route's port, when the first SYN went, copies.
    let mut waiting: BTreeMap<u16, (SocketAddr, u16, Instant, u32)> = BTreeMap::new();
    while !world.stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        let open = |sport: u16, dport: u16, ack: u32, entry: SocketAddr| {
            let seq = u32::from(sport) << 12;
            let syn = Packet {
                flags: SYN,
                seq,
                ack,
                echo: 0,
                src: host,
                sport,
                dst: route,
                dport,
            };
            let _ = socket.send_to(&encode(&syn, b""), entry);
        };
        if now >= next {
            next += pause;
            sport += 1;
            turn += 1;
            let entry = entries[turn % entries.len()];
            let dport = ports[(turn / entries.len()) % ports.len()];
            let sent = Sent {
                at: world.record.now(),
                balancer: turn % entries.len(),
                dport,
                outcome: "no answer",
            };
            world.sent.lock().unwrap().insert(sport, sent);
            open(sport, dport, 0, entry);
            waiting.insert(sport, (entry, dport, now, 0));
        }
        for (sport, (entry, dport, since, copies)) in &mut waiting {
            let age = now.duration_since(*since).as_millis();
            if *copies == 0 && age >= 200 || *copies == 1 && age >= 600 {
                *copies += 1;
                open(*sport, *dport, *copies, *entry);
            }
        }
        waiting.retain(|_, (_, _, since, _)| now.duration_since(*since).as_millis() < 1_400);
        let Ok((size, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some((packet, data, _)) = decode(&buffer[..size]) else {
            continue;
        };
        let own = packet.dport;
        let seq = (u32::from(own) << 12).wrapping_add(1);
        if packet.flags & RST != 0 {
            world.resets.fetch_add(1, Ordering::Relaxed);
            world.note(own, "reset");
            waiting.remove(&own);
            continue;
        }
        let entry = entries[(usize::from(own) - 10_000) % entries.len()];
        let send = |flags: u8, seq: u32, ack: u32, data: &[u8]| {
            let reply = Packet {
                flags,
                seq,
                ack,
                echo: packet.echo,
                src: host,
                sport: own,
                dst: packet.src,
                dport: packet.sport,
            };
            let _ = socket.send_to(&encode(&reply, data), entry);
        };
        let request = b"GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n\r\n";
        if packet.flags & SYN != 0 {
            if waiting.remove(&own).is_some() {
                world.opened.fetch_add(1, Ordering::Relaxed);
                world.note(own, "opened");
                send(ACK, seq, packet.seq.wrapping_add(1), request);
            }
        } else if packet.flags & FIN != 0 {
            world.note(own, "answered");
            let end = packet.seq.wrapping_add(data.len() as u32 + 1);
            send(ACK | FIN, seq.wrapping_add(request.len() as u32), end, b"");
        }
    }
}

// ---- the deployment ----

struct Balancer {
    child: Child,
    admin: SocketAddr,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_ready(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&admin, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line);
    line.contains(" 200")
}

/// A port that is free on all these hosts, for datagrams and connections.
fn free_port(hosts: &[Ipv4Addr]) -> u16 {
    loop {
        let first = UdpSocket::bind((hosts[0], 0)).expect("a free port");
        let port = first.local_addr().unwrap().port();
        let others: Vec<_> = hosts[1..]
            .iter()
            .map(|host| UdpSocket::bind((*host, port)))
            .collect();
        let streams: Vec<_> = hosts
            .iter()
            .map(|host| TcpListener::bind((*host, port)))
            .collect();
        if others.iter().all(Result::is_ok) && streams.iter().all(Result::is_ok) {
            return port;
        }
    }
}

/// The configuration: the routes at these ports, all to the service `fit`.
fn config(version: u64, timeout_ms: u64, ports: &[u16], route: Ipv4Addr) -> String {
    let routes: Vec<String> = ports.iter().map(|port| format!(
        "{{\"name\":\"r-{port}\",\"host\":\"{route}\",\"pathPrefix\":\"/{port}/\",\"routeType\":\"idempotent\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":200,\"priority\":2,\"service\":\"fit\",\"attempts\":2}}"
    )).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"fit\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn run(
    scenario: &str,
    wasabid: &str,
    record: &Arc<Record>,
    has_trouble: bool,
    folder: &std::path::Path,
) -> Result<bool, String> {
    let zones: &[&str] = match scenario {
        "refused" => &[
            "za", "za", "za", "za", "za", "zb", "zb", "zb", "zc", "zc", "zc", "zc",
        ],
        _ => &["za", "za", "zb"],
    };
    let hosts: Vec<Ipv4Addr> = (1..=zones.len() as u8)
        .map(|n| Ipv4Addr::new(127, 0, 31, n))
        .collect();
    let caller = Ipv4Addr::new(127, 0, 33, 1);
    let route = Ipv4Addr::new(127, 0, 34, 1);
    let all: Vec<Ipv4Addr> = hosts.iter().copied().chain([caller]).collect();
    let entry_port = free_port(&all);
    let peer_port = loop {
        let port = free_port(&hosts);
        if port != entry_port {
            break port;
        }
    };
    let admin_port = loop {
        let port = free_port(&hosts);
        if port != entry_port && port != peer_port {
            break port;
        }
    };
    let store = Arc::new(Store {
        state: Mutex::default(),
        changed: Condvar::new(),
        record: record.clone(),
    });
    store.state.lock().unwrap().data.revision = 400;
    store.state.lock().unwrap().era = 1;
    // One address of the store for each machine, so that it can turn away some of them.
    let refused: Vec<Arc<AtomicBool>> = hosts.iter().map(|_| Arc::default()).collect();
    let mut platforms = Vec::new();
    for flag in &refused {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        platforms.push(listener.local_addr().unwrap());
        let (one, flag) = (store.clone(), flag.clone());
        thread::spawn(move || one.serve(listener, flag));
    }
    let one = store.clone();
    thread::spawn(move || one.keep_copies());
    let world = Arc::new(World {
        record: record.clone(),
        store: store.clone(),
        taken: Mutex::default(),
        sent: Mutex::default(),
        opened: AtomicU32::new(0),
        resets: AtomicU32::new(0),
        entry_port,
        stop: AtomicBool::new(false),
    });
    let ports = [8443u16, 9443];
    let mut version = 3;
    store.put("config", "main", &config(version, 2_500, &ports, route));
    let mut servers = Vec::new();
    let server_zones: &[&str] = match scenario {
        "refused" => &[
            "za", "za", "za", "za", "za", "za", "za", "zb", "zb", "zb", "zb", "zc", "zc", "zc",
            "zc",
        ],
        _ => &["za", "za", "zb", "zb"],
    };
    for (n, zone) in server_zones.iter().enumerate() {
        let id = format!("i-7f3a91c{n:x}");
        servers.push(Server::start(
            &world,
            &id,
            "fit",
            zone,
            Ipv4Addr::new(127, 0, 32, n as u8 + 1),
        ));
    }
    sleep_ms(200);
    // The balancers, with the command of the deploy file and its settings.
    let seeds: Vec<String> = hosts
        .iter()
        .map(|host| format!("{host}:{admin_port}"))
        .collect();
    let mut balancers = Vec::new();
    for (n, host) in hosts.iter().enumerate() {
        if scenario == "refused" && n == TURNED_AWAY {
            // The other machines are added to the four of za that there are.
            sleep_ms(2_100);
        }
        let platform = platforms[n];
        let settings = format!(
            "WASABI_NAME=edge-{z}-{n}\nWASABI_DOMAIN={z}\nWASABI_ENTRY={host}:{entry_port}\nWASABI_PEER={host}:{peer_port}\nWASABI_ADMIN={host}:{admin_port}\nWASABI_PLATFORM=http://{platform}\nWASABI_SEEDS={}\nWASABI_COLD_OVERAGE=1.5\nWASABI_COLD_SLACK=5\nWASABI_OUT_WITHIN_MS={EVACUATE_MS}\nWASABI_GRACE_S=6\nWASABI_LINK_MBPS=1000\nWASABI_CPU_QUOTA=0.25\n",
            seeds.join(","), z = zones[n]
        );
        let path = folder.join(format!("balancer-{n}.env"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log =
            File::create(folder.join(format!("balancer-{n}.log"))).map_err(|e| e.to_string())?;
        let child = Command::new(wasabid)
            .arg("forward")
            .env("WASABIARCH_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        STARTED
            .get_or_init(Mutex::default)
            .lock()
            .unwrap()
            .push(child.id());
        record.line(&format!("balancer {n} started in {}", zones[n]));
        balancers.push(Balancer {
            child,
            admin: SocketAddr::from((*host, admin_port)),
        });
    }
    let since = Instant::now();
    while !balancers.iter().all(|balancer| is_ready(balancer.admin)) {
        if since.elapsed() > Duration::from_secs(15) {
            return Err("the balancers do not get ready".into());
        }
        sleep_ms(100);
    }
    record.line("all balancers are ready");
    let entries: Vec<SocketAddr> = hosts
        .iter()
        .map(|host| SocketAddr::from((*host, entry_port)))
        .collect();
    let w = world.clone();
    let calls = ports.to_vec();
    let pause = Duration::from_millis(if scenario == "refused" { 2 } else { 20 });
    thread::spawn(move || call(w, caller, entries, route, calls, pause));
    if scenario == "refused" {
        sleep_ms(6_000);
        return refuse(&world, &refused, servers, balancers, has_trouble);
    }
    sleep_ms(6_000);
    // Planned work: the operator changes a time-out of the routes a few times.
    let changes = if scenario == "evacuate" { 2 } else { 6 };
    for n in 0..changes {
        version += 2;
        store.put(
            "config",
            "main",
            &config(version, 2_500 + n * 10, &ports, route),
        );
        sleep_ms(500);
    }
    let latest = config(version, 2_490 + changes * 10, &ports, route);
    // All balancers have what was written so far, and the copy is older than the first change.
    sleep_ms(if scenario == "evacuate" { 3_000 } else { 500 });
    match (scenario, has_trouble) {
        ("unreadable", true) => {
            // A tabulator inside of a string, which JSON does not permit.
            let spec = "{\"service\":\"fit\",\"address\":\"127.0.32.9:9\",\"zone\":\"za\",\"version\":\"v1\tb\",\"maxConcurrency\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1}";
            store
                .put("servers", "i-5ca1ab1e", spec)
                .ok_or("the store is away")?;
        }
        (_, true) => {
            store.drill();
            // What the operator wrote is written again; the servers do so with their next heartbeat.
            store.put("config", "main", &latest);
        }
        (_, false) => sleep_ms(AWAY_MS),
    }
    if scenario != "evacuate" {
        // The store is stable again, and all machines are in touch.
        sleep_ms(STABILITY_WINDOW_MS + 2_000);
    }
    let (bound, mut late, what): (u64, Vec<Taken>, String);
    let ack;
    match scenario {
        "drain" | "unreadable" => {
            let leaving = &servers[0];
            leaving.is_draining.store(true, Ordering::Relaxed);
            store
                .put("servers", &leaving.id, &leaving.spec())
                .ok_or("the store is away")?;
            ack = record.now();
            bound = DRAIN_MS;
            record.line(&format!("ack: {} is draining", leaving.id));
            // It goes on for the bound and some seconds.
            sleep_ms(DRAIN_MS + 5_000);
            what = format!("flows opened at {} by packets sent more than {bound} ms after the store acknowledged that it is draining", leaving.id);
            late = world.taken.lock().unwrap().clone();
            late.retain(|taken| taken.server == leaving.id);
        }
        "config" => {
            version += 2;
            store
                .put(
                    "config",
                    "main",
                    &config(version, 2_550, &ports[..1], route),
                )
                .ok_or("the store is away")?;
            ack = record.now();
            bound = CONFIG_APPLY_MS;
            record.line(&format!(
                "ack: version {version} of the config drops the route at port {}",
                ports[1]
            ));
            // Planned work: more servers are started, so the store's revision rises further.
            for n in 0..8u8 {
                sleep_ms(500);
                let id = format!("i-7f3a92c{n}");
                servers.push(Server::start(
                    &world,
                    &id,
                    "fit",
                    "zb",
                    Ipv4Addr::new(127, 0, 32, 11 + n),
                ));
            }
            sleep_ms(CONFIG_APPLY_MS + 5_000);
            what = format!("flows of the dropped route opened at servers by packets sent more than {bound} ms after the store acknowledged the version that drops it");
            late = world.taken.lock().unwrap().clone();
            late.retain(|taken| taken.dport == ports[1]);
        }
        "evacuate" => {
            store
                .put("evacuations", "za", "{}")
                .ok_or("the store is away")?;
            ack = record.now();
            // The store is not stable yet, so the longest bound holds.
            bound = EVACUATE_MS + OUTER_MS;
            record.line("ack: za is evacuated");
            // Planned work goes on, so the store's revision rises further.
            sleep_ms(8_000);
            version += 2;
            store.put("config", "main", &config(version, 2_600, &ports, route));
            sleep_ms(bound - 8_000 + 5_000);
            let out: Vec<&str> = servers
                .iter()
                .filter(|server| server.zone == "za")
                .map(|server| server.id.as_str())
                .collect();
            what = format!("flows opened at servers of za by packets sent more than {bound} ms after the store acknowledged its evacuation");
            late = world.taken.lock().unwrap().clone();
            late.retain(|taken| out.contains(&taken.server.as_str()));
        }
        _ => return Err("no such scenario".into()),
    }
    let before = late.iter().filter(|taken| taken.sent <= ack).count();
    late.retain(|taken| taken.sent > ack + bound);
    world.stop.store(true, Ordering::Relaxed);
    for (n, balancer) in balancers.iter_mut().enumerate() {
        if let Ok(Some(status)) = balancer.child.try_wait() {
            return Err(format!("balancer {n} ended: {status}"));
        }
    }
    let newest = world
        .taken
        .lock()
        .unwrap()
        .iter()
        .filter(|taken| taken.sent > ack + bound)
        .count();
    record.line(&format!(
        "flows opened in all: {}, resets: {}",
        world.opened.load(Ordering::Relaxed),
        world.resets.load(Ordering::Relaxed)
    ));
    record.line(&format!(
        "of the flows in question before the ack: {before}"
    ));
    if before == 0 || newest == 0 {
        return Err("the callers were not served".into());
    }
    for taken in late.iter().take(20) {
        record.line(&format!(
            "late: port {} to {}: sent at {} ms, arrived at {} ms at {}; ack at {ack} ms",
            taken.sport, taken.dport, taken.sent, taken.arrived, taken.server
        ));
    }
    world.record_flows(|_| true);
    record.line(&format!(
        "{what}: {} of {newest} flows opened at that time",
        late.len()
    ));
    Ok(late.is_empty())
}

/// In each round the store turns away the four older machines of za. Meanwhile two servers of za drain.
fn refuse(
    world: &Arc<World>,
    refused: &[Arc<AtomicBool>],
    mut servers: Vec<Arc<Server>>,
    mut balancers: Vec<Balancer>,
    has_trouble: bool,
) -> Result<bool, String> {
    let record = &world.record;
    let (mut broken, mut counted) = (0, 0);
    for round in 0..ROUNDS {
        if has_trouble {
            refused[..TURNED_AWAY]
                .iter()
                .for_each(|flag| flag.store(true, Ordering::Relaxed));
            record.line(&format!(
                "round {round}: the store turns away the balancers 0 to 3"
            ));
        }
        let begin = record.now();
        let leaving: Vec<Arc<Server>> = servers.drain(..2).collect();
        let mut acks = Vec::new();
        for server in &leaving {
            server.is_draining.store(true, Ordering::Relaxed);
            world
                .store
                .put("servers", &server.id, &server.spec())
                .ok_or("the store is away")?;
            acks.push(record.now());
            record.line(&format!("ack: {} is draining", server.id));
        }
        sleep_ms(DRAIN_MS + 1_000);
        refused
            .iter()
            .for_each(|flag| flag.store(false, Ordering::Relaxed));
        if has_trouble {
            record.line(&format!(
                "round {round}: the store serves all balancers again"
            ));
        }
        sleep_ms(1_000);
        let taken = world.taken.lock().unwrap().clone();
        for (server, ack) in leaving.iter().zip(acks) {
            counted += taken
                .iter()
                .filter(|taken| taken.server == server.id && taken.sent < begin)
                .count();
            let by = |taken: &Taken| {
                world
                    .sent
                    .lock()
                    .unwrap()
                    .get(&taken.sport)
                    .map_or(0, |sent| sent.balancer)
            };
            let late = |taken: &&Taken| taken.server == server.id && taken.sent > ack + DRAIN_MS;
            // The machines that were turned away are not in touch.
            let late = |taken: &&Taken| late(taken) && by(taken) >= TURNED_AWAY;
            let late: Vec<&Taken> = taken.iter().filter(late).collect();
            for taken in late.iter().take(5) {
                let by = by(taken);
                record.line(&format!("late: port {} by balancer {by}: sent at {} ms, arrived at {} ms at {}; ack at {ack} ms", taken.sport, taken.sent, taken.arrived, taken.server));
            }
            record.line(&format!("flows opened at {} by packets sent more than {DRAIN_MS} ms after the ack through machines in touch: {}", server.id, late.len()));
            broken += late.len();
            server.is_registered.store(false, Ordering::Relaxed);
            sleep_ms(50);
            world.store.delete("servers", &server.id);
        }
        for n in 0..2 {
            let id = format!("i-7f3a9{round:x}{n:x}e");
            servers.insert(
                0,
                Server::start(
                    world,
                    &id,
                    "fit",
                    "za",
                    Ipv4Addr::new(127, 0, 32, 30 + 2 * round + n),
                ),
            );
        }
        // All machines are in touch again. The rounds fall into different parts of a watch's wait.
        sleep_ms(STABILITY_WINDOW_MS + 130 * u64::from(round));
    }
    world.stop.store(true, Ordering::Relaxed);
    for (n, balancer) in balancers.iter_mut().enumerate() {
        if let Ok(Some(status)) = balancer.child.try_wait() {
            return Err(format!("balancer {n} ended: {status}"));
        }
    }
    if counted == 0 {
        return Err("the callers were not served".into());
    }
    world.record_flows(|balancer| balancer == TURNED_AWAY);
    record.line(&format!("flows opened too late in all rounds: {broken}"));
    Ok(broken == 0)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, wasabid, path] = args.as_slice() else {
        eprintln!("usage: drill SCENARIO WASABID RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(file) = File::create(path) else {
        std::process::exit(2)
    };
    let record = Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    record.line(&format!(
        "scenario {scenario}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let folder = std::env::temp_dir().join(format!("wasabi-review-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&folder);
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(RUN_MAX);
        watchdog.line("could not run: it takes too long");
        for process in STARTED.get_or_init(Mutex::default).lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &process.to_string()])
                .status();
        }
        std::process::exit(2);
    });
    let play = || run(scenario, wasabid, &record, has_trouble, &folder);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let result = result.unwrap_or_else(|_| Err("the stand-in failed".into()));
    let keep = std::env::var("KEEP").is_ok();
    if !keep {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let status = match result {
        Ok(true) => {
            record.line("the rule held");
            0
        }
        Ok(false) => {
            record.line("the rule was broken");
            1
        }
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            2
        }
    };
    std::process::exit(status);
}
