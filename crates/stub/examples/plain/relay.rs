//! Passes requests of callers to backend servers, and the answers back.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::hash;
use base::prelude::*;
use bytes::Bytes;
use conf::object::State;
use eyre::eyre;
use eyre::Result;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use shell::socket::Datagram;
use shell::socket::Socket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::Semaphore;
use wire::coap::response_code;
use wire::coap::Answer;
use wire::coap::Method;
use wire::coap::Request;

use crate::conf_watch::Watch;

/// Maximum number of requests that this balancer runs at once on a backend server. A deployment has
/// nine balancers: the share of each is a ninth of the slots, and at least one.
const SLOTS_PER_SERVER: usize = 1;
/// Deadline of a request without a deadline option.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Seconds after which a refused caller may retry.
const MAX_AGE_S: u32 = 1;
/// Maximum number of messages remembered to detect duplicates; when it is reached, all are dropped.
const RECORDS_MAX: usize = 50_000;

/// Identity of a message: caller, message ID and token.
type Key = (SocketAddr, u16, Vec<u8>);

/// Known messages with their answers; `None` while the request runs.
type Records = Mutex<BTreeMap<Key, Option<Bytes>>>;

/// The backend server chosen for a request.
#[derive(Clone, Debug)]
struct Target {
    service: String,
    address: SocketAddr,
}

/// An answer to be sent.
struct Outgoing {
    from: Datagram,
    data: Bytes,
}

/// The balancer.
pub(crate) struct Relay {
    watch: Arc<Watch>,
    records: Records,
    permits: Mutex<BTreeMap<SocketAddr, Arc<Semaphore>>>,
}

impl Relay {
    pub(crate) fn new(watch: Arc<Watch>) -> Arc<Relay> {
        Arc::new(Relay {
            watch,
            records: Mutex::default(),
            permits: Mutex::default(),
        })
    }

    /// Serves until the process is asked to stop, then waits for running requests.
    pub(crate) async fn run(self: Arc<Self>, mut socket: Socket) -> Result<()> {
        let (answers, mut ready) = mpsc::channel::<Outgoing>(1024);
        let mut batch = VecDeque::new();
        let mut stop = std::pin::pin!(stub::process::wait_for_termination());
        loop {
            tokio::select! {
                received = socket.recv(&mut batch) => received?,
                Some(out) = ready.recv() => send(&socket, out)?,
                stopped = stop.as_mut() => {
                    stopped?;
                    break;
                }
            }
            for datagram in batch.drain(..) {
                tokio::spawn(self.clone().handle(datagram, answers.clone()));
            }
        }
        // Each running request holds a sender, so the loop ends with the last request.
        drop(answers);
        while let Some(out) = ready.recv().await {
            send(&socket, out)?;
        }
        Ok(())
    }

    async fn handle(self: Arc<Self>, from: Datagram, answers: mpsc::Sender<Outgoing>) {
        let Ok(request) = Request::try_from(&from.data[..]) else {
            return;
        };
        let key = (from.from, request.message_id, request.token.clone());
        match self.find_or_insert(&key) {
            Some(None) => return,
            Some(Some(data)) => {
                let _ = answers.send(Outgoing { from, data }).await;
                return;
            }
            None => {}
        }
        let answer = self.serve(&from, &request).await;
        let data = answer.encode(&request, None);
        self.store_answer(key, &data);
        let _ = answers.send(Outgoing { from, data }).await;
    }

    /// Returns the record of a message; adds one, without an answer, if there is none.
    fn find_or_insert(&self, key: &Key) -> Option<Option<Bytes>> {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = records.get(key) {
            return Some(known.clone());
        }
        if records.len() >= RECORDS_MAX {
            records.clear();
        }
        records.insert(key.clone(), None);
        None
    }

    fn store_answer(&self, key: Key, data: &Bytes) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.insert(key, Some(data.clone()));
    }

    async fn serve(&self, from: &Datagram, request: &Request) -> Answer {
        if request.block1.is_some() {
            // Blocks of one body reach different balancers, so none can reassemble it.
            return Answer::refusal(response_code::TOO_LARGE, Code::BodyTooLarge);
        }
        let Some(target) = self.choose_server(from) else {
            return refuse(Code::NoServer);
        };
        let deadline = request.deadline.map_or(DEFAULT_DEADLINE, |span| {
            Duration::from_millis(span.as_millis())
        });
        let permits = self.permits_of(target.address);
        let Ok(Ok(_permit)) = tokio::time::timeout(deadline, permits.acquire()).await else {
            return refuse(Code::DeadlineUnmet);
        };
        let called = tokio::time::timeout(deadline, call_server(&target, request)).await;
        match called {
            Ok(Ok((StatusCode::SERVICE_UNAVAILABLE, _))) => refuse(Code::Shed),
            Ok(Ok((status, body))) if status.is_success() => {
                Answer::new(response_code::CONTENT, body)
            }
            Ok(Ok(_)) => Answer::refusal(response_code::BAD_GATEWAY, Code::Unreachable),
            Ok(Err(_)) => Answer::refusal(response_code::TIMEOUT, Code::AnswerCut),
            Err(_) => Answer::refusal(response_code::TIMEOUT, Code::ServerSilent),
        }
    }

    /// Chooses a backend server by hash of the caller's address alone.
    fn choose_server(&self, from: &Datagram) -> Option<Target> {
        let key = hash::bytes(from.from.to_string().as_bytes());
        self.watch.table(|table| {
            let service = table.service_at(from.to)?;
            let servers = table.servers_of(service).iter().map(|s| &table[*s]);
            let eligible = servers.filter(|row| row.state == State::In);
            let best = eligible.max_by_key(|row| hash::pair(key, row.uid.into()))?;
            Some(Target {
                service: table[service].name.clone(),
                address: best.address,
            })
        })
    }

    fn permits_of(&self, address: SocketAddr) -> Arc<Semaphore> {
        let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = permits.entry(address);
        entry
            .or_insert_with(|| Arc::new(Semaphore::new(SLOTS_PER_SERVER)))
            .clone()
    }
}

fn send(socket: &Socket, out: Outgoing) -> Result<()> {
    Ok(socket.send(Some(out.from.to), out.from.from, &out.data)?)
}

fn refuse(code: Code) -> Answer {
    Answer::refusal(response_code::UNAVAILABLE, code).with_max_age(MAX_AGE_S)
}

/// Runs a request on a backend server, over a connection of its own.
async fn call_server(target: &Target, request: &Request) -> Result<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(target.address).await?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    let _driver = tokio::task::JoinSet::from_iter([conn]);
    let method: &str = request.method.into();
    let built = hyper::Request::builder()
        .method(method)
        .uri(&request.target)
        .header("host", &target.service)
        .body(Full::new(request.payload.clone()))?;
    let answer = sender.send_request(built).await?;
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    match request.method {
        Method::Get | Method::Post => Ok((status, body)),
        other => Err(eyre!("{other:?} is not supported")),
    }
}
