//! One request of a flow: block-wise transfer, renewed route tokens, retries after refusals.

use std::time::Duration;

use coap_lite::block_handler::BlockValue;
use coap_lite::option_value::OptionValueU32;
use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use rand::Rng;
use tokio::time::Instant;

use super::assembly::Assembly;
use super::assembly::Step;
use super::exchange::Endpoint;
use super::exchange::Timeout;
use super::report::Outcome;
use crate::body;

/// The option that carries the time left for a request, in milliseconds.
const DEADLINE: CoapOption = CoapOption::Unknown(65002);

/// The Request-Tag option (RFC 9175).
const REQUEST_TAG: CoapOption = CoapOption::Unknown(292);

/// Size of a block.
const BLOCK_BYTES: usize = 1024;

/// Maximum number of restarts of one request without a pause.
const RESTARTS_MAX: u32 = 8;

/// Maximum number of times that one answer is fetched from its first block.
const FETCHES_MAX: u32 = 4;

/// Minimum pause after a refusal.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// A request and its expected answer.
#[derive(Clone, Debug)]
pub struct Request {
    method: RequestType,
    path: String,
    query: String,
    body: Vec<u8>,
    expected: Vec<u8>,
}

impl Request {
    /// Makes an idempotent request for `size` bytes.
    pub fn get(path: impl Into<String>, size: usize) -> Request {
        let path = path.into();
        Request {
            method: RequestType::Get,
            query: format!("size={size}"),
            body: Vec::new(),
            expected: body::generate(&path, size),
            path,
        }
    }

    /// Makes a request that must run at most once; `id` identifies it.
    pub fn post(path: impl Into<String>, id: &str, body: Vec<u8>) -> Request {
        Request {
            method: RequestType::Post,
            path: path.into(),
            query: format!("id={id}"),
            expected: body::receipt(id, &body).into_bytes(),
            body,
        }
    }

    fn packet(&self, until: Instant) -> Packet {
        let mut packet = Packet::new();
        packet.header.code = MessageClass::Request(self.method);
        for part in self.path.split('/').filter(|p| !p.is_empty()) {
            packet.add_option(CoapOption::UriPath, part.as_bytes().to_vec());
        }
        packet.add_option(CoapOption::UriQuery, self.query.as_bytes().to_vec());
        let left = until.saturating_duration_since(Instant::now());
        packet.add_option_as(DEADLINE, OptionValueU32(left.as_millis() as u32));
        packet
    }
}

/// How an attempt ended.
enum Attempt {
    Done(Outcome),
    /// The request did not run: retry after the pause. Holds the result code.
    Retry(String, Duration),
    /// The request did not run: restart without a pause, from the first block and with the current
    /// route token of the flow. Holds the reason.
    Restart(String),
}

/// Retry policy of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Maximum time of the request, retries included.
    pub deadline: Duration,
    /// Maximum pause after a refusal.
    pub pause_max: Duration,
    /// Number of refusals after which the request ends as refused.
    pub refusals: u32,
}

/// Makes a request on a flow and returns its outcome.
pub async fn run(flow: &mut Endpoint, request: &Request, policy: RetryPolicy) -> Outcome {
    let until = Instant::now() + policy.deadline;
    let mut refusals = 0;
    let mut restarts = 0;
    loop {
        match run_attempt(flow, request, until).await {
            Attempt::Done(outcome) => return outcome,
            Attempt::Restart(reason) => {
                restarts += 1;
                flow.tally().report.renewed += 1;
                if restarts > RESTARTS_MAX {
                    return Outcome::Failed(format!("{reason} too often"));
                }
            }
            Attempt::Retry(code, pause) => {
                refusals += 1;
                let pause = pause.clamp(PAUSE_MIN, policy.pause_max);
                let pause = pause.mul_f64(flow.rng.random_range(1.0..1.5));
                if refusals >= policy.refusals || Instant::now() + pause >= until {
                    return Outcome::Refused(code);
                }
                *flow.tally().report.retried_by.entry(code).or_default() += 1;
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn run_attempt(flow: &mut Endpoint, request: &Request, until: Instant) -> Attempt {
    let first = match upload(flow, request, until).await {
        Ok(answer) => answer,
        Err(Timeout) => return Attempt::Done(Outcome::Timeout),
    };
    if let Some(end) = failed_attempt(&first) {
        return end;
    }
    fetch_blocks(flow, request, first, until).await
}

/// Sends the request, in blocks if its body is large, and returns the last answer.
async fn upload(flow: &mut Endpoint, request: &Request, until: Instant) -> Result<Packet, Timeout> {
    if request.body.len() <= BLOCK_BYTES {
        let mut packet = request.packet(until);
        packet.payload = request.body.clone();
        return flow.exchange(packet, until).await;
    }
    let tag: [u8; 8] = flow.rng.random();
    let count = request.body.len().div_ceil(BLOCK_BYTES);
    for (n, block) in request.body.chunks(BLOCK_BYTES).enumerate() {
        let more = n + 1 < count;
        let mut packet = request.packet(until);
        packet.add_option(REQUEST_TAG, tag.to_vec());
        let value = BlockValue::new(n, more, BLOCK_BYTES).map_err(|_| Timeout)?;
        packet.add_option_as(CoapOption::Block1, value);
        packet.payload = block.to_vec();
        let answer = flow.exchange(packet, until).await?;
        if !more || !is_continue(&answer) {
            return Ok(answer);
        }
    }
    Err(Timeout)
}

fn is_continue(answer: &Packet) -> bool {
    answer.header.code == MessageClass::Response(ResponseType::Continue)
}

/// Fetches the remaining blocks of an answer.
async fn fetch_blocks(
    flow: &mut Endpoint,
    request: &Request,
    first: Packet,
    until: Instant,
) -> Attempt {
    let mut assembly = Assembly::default();
    let mut answer = first;
    let mut fetches = 1;
    loop {
        let next = match assembly.accept(&answer) {
            Step::Done(data) if data == request.expected => {
                return Attempt::Done(Outcome::Served);
            }
            Step::Done(_) => return Attempt::Done(Outcome::Wrong),
            Step::Next(n) => n,
            Step::Restart => 0,
        };
        if next == 0 {
            fetches += 1;
            flow.tally().report.refetched += 1;
            if fetches > FETCHES_MAX || request.method != RequestType::Get {
                return Attempt::Done(Outcome::Wrong);
            }
        }
        let mut packet = request.packet(until);
        if let Ok(value) = BlockValue::new(next as usize, false, BLOCK_BYTES) {
            packet.add_option_as(CoapOption::Block2, value);
        }
        answer = match flow.exchange(packet, until).await {
            Ok(answer) => answer,
            Err(Timeout) => return Attempt::Done(Outcome::Timeout),
        };
        if let Some(end) = failed_attempt(&answer) {
            return end;
        }
    }
}

/// Returns the end of the attempt if the answer is not a success.
fn failed_attempt(answer: &Packet) -> Option<Attempt> {
    let code = answer.header.code;
    if u8::from(code) >> 5 == 2 {
        return None;
    }
    let reason = result_code(answer);
    let max_age = answer
        .get_first_option_as::<OptionValueU32>(CoapOption::MaxAge)
        .and_then(Result::ok);
    Some(match code {
        // The route token was not valid, or the body was incomplete. Nothing ran: send the request
        // again from the first block.
        MessageClass::Response(
            ResponseType::Unauthorized | ResponseType::RequestEntityIncomplete,
        ) => Attempt::Restart(format!("{code} {reason}")),
        MessageClass::Response(ResponseType::ServiceUnavailable) => {
            let secs = max_age.map_or(0, |age| age.0);
            Attempt::Retry(reason, Duration::from_secs(secs.into()))
        }
        MessageClass::Response(ResponseType::GatewayTimeout) => {
            Attempt::Done(Outcome::Unknown(reason))
        }
        _ => Attempt::Done(Outcome::Failed(format!("{code} {reason}"))),
    })
}

/// Returns the result code in the diagnostic payload, such as `E101`.
fn result_code(answer: &Packet) -> String {
    let text = String::from_utf8_lossy(&answer.payload);
    let word = text.split_whitespace().next().unwrap_or_default();
    word.trim_end_matches(':').to_owned()
}
