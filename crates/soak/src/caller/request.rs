//! Requests: how often a caller sends one, on which flow, and in how many attempts.

use std::net::SocketAddrV4;
use std::time::Duration;

use base::prelude::*;
use rand::Rng;
use tokio::time::Instant;

use super::Endpoint;
use super::Flow;
use super::Reply;
use crate::address;
use crate::fabric;
use crate::operator::PRIORITY_ROUTES;
use crate::operator::UPLOAD_ROUTE;
use crate::world::CompletedRequest;
use crate::world::Outcome;
use crate::world::State;

/// Most attempts of a request.
const ATTEMPTS_MAX: u32 = 3;
/// Time within which a request must be answered, over all its attempts.
const DEADLINE: Duration = Duration::from_secs(3);
/// Range of the pause before each request of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 40..400;
/// Most requests on a long flow.
const LONG_FLOW_REQUESTS: u32 = 20;
/// Share of requests that are uploads while the link of a host of the domain is full. The others of
/// a run with loads are those that draw the route of uploads.
const UPLOADS: f64 = 0.5;
/// Time between two probes of recently changed routes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks whether there is a crowd.
const CROWD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// One of this many requests of a crowd is urgent. The servers can serve the urgent ones, but not
/// all.
const URGENT_EVERY: u32 = 4;

/// How a caller sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Each request has a flow of its own.
    Short,
    /// A flow is kept for further requests.
    Long,
    /// As `Short`, to the pool with priorities and only during a crowd.
    Crowd,
}

/// A request.
struct Request {
    service: SocketAddrV4,
    method: &'static str,
    id: u64,
    /// Whether a body is uploaded first.
    is_upload: bool,
    /// Whether its flow is kept for further requests.
    is_long: bool,
    /// When it must have been answered.
    until: Instant,
    /// The balancer that the fabric selected for the first attempt.
    via: Option<usize>,
}

/// Sends a caller's requests until the run ends. `caller` is unique among the callers of the run.
pub async fn run(endpoint: Endpoint, caller: u64, pattern: Pattern) {
    let mut flow: Option<(Flow, u32)> = None;
    let mut count = 0u64;
    loop {
        if pattern == Pattern::Crowd
            && !endpoint
                .world
                .with(|state, now| state.had_crowd(now, Span(0)))
        {
            tokio::time::sleep(CROWD_POLL_INTERVAL).await;
            continue;
        }
        let (pause, is_non_idempotent, route) = endpoint.world.with(|state, _| {
            let pause = state.random.random_range(PAUSE_MS);
            let mut links = (0..).zip(&state.links.hosts);
            let has_full_link = links
                .any(|(host, link)| link.is_some() && address::domain_of(host) == endpoint.domain);
            let route = match pattern {
                Pattern::Crowd => draw_crowd_route(state),
                Pattern::Short if has_full_link && state.random.random_bool(UPLOADS) => {
                    UPLOAD_ROUTE
                }
                Pattern::Short | Pattern::Long => draw_route(state),
            };
            (pause, state.random.random_range(0..4) == 0, route)
        });
        tokio::time::sleep(Duration::from_millis(pause)).await;
        count += 1;
        let mut request = Request {
            service: endpoint.world.addresses.service(route),
            method: if is_non_idempotent { "POST" } else { "GET" },
            id: caller << 24 | count,
            is_upload: route == UPLOAD_ROUTE && endpoint.world.with(|state, _| state.has_loads),
            is_long: pattern == Pattern::Long,
            until: Instant::now() + DEADLINE,
            via: None,
        };
        match pattern {
            // A crowd goes on to send while its requests wait, so that it exceeds the capacity.
            Pattern::Crowd => {
                let endpoint = endpoint.clone();
                tokio::spawn(async move {
                    complete_request(&endpoint, &mut None, &mut request).await;
                });
            }
            Pattern::Short | Pattern::Long => {
                complete_request(&endpoint, &mut flow, &mut request).await
            }
        }
    }
}

/// Sends a request and records how it ended.
async fn complete_request(
    endpoint: &Endpoint,
    idle: &mut Option<(Flow, u32)>,
    request: &mut Request,
) {
    let sent = endpoint.world.now();
    let outcome = attempt_request(endpoint, idle, request).await;
    endpoint.world.with(|state, now| {
        state.completed.push(CompletedRequest {
            sent,
            outcome,
            took: now.since(sent),
            route: request.service.ip().octets()[3],
            via: request.via,
        })
    });
}

fn draw_route(state: &mut State) -> u8 {
    let present = state
        .routes
        .iter()
        .filter(|(_, route)| route.removed.is_none());
    let present: Vec<u8> = present.map(|(&route, _)| route).collect();
    present[state.random.random_range(0..present.len())]
}

fn draw_crowd_route(state: &mut State) -> u8 {
    let (urgent, less_urgent) = PRIORITY_ROUTES;
    match state.random.random_range(0..URGENT_EVERY) {
        0 => urgent,
        _ => less_urgent,
    }
}

/// Makes up to [`ATTEMPTS_MAX`] attempts of a request. `idle` is the flow that the caller keeps,
/// with the number of requests that it has served. It is used first, also if it leads to another
/// service.
async fn attempt_request(
    endpoint: &Endpoint,
    idle: &mut Option<(Flow, u32)>,
    request: &mut Request,
) -> Outcome {
    for attempt in 0..ATTEMPTS_MAX {
        if Instant::now() >= request.until {
            return Outcome::TimedOut;
        }
        let (mut flow, used) = match idle.take() {
            Some(idle) => idle,
            None => (endpoint.new_flow(request.service), 0),
        };
        let via = endpoint
            .world
            .with(|state, _| fabric::select_balancer(state, endpoint.domain, flow.caller));
        request.via.get_or_insert(via);
        if used == 0 && !endpoint.open_flow(&mut flow).await {
            endpoint.remove_flow(&flow);
            continue;
        }
        let early_end = match request.is_upload {
            true => endpoint.upload(&mut flow, request.until).await,
            false => None,
        };
        let (method, id) = (request.method, request.id);
        let data = format!("{method} /{id} HTTP/1.1\r\nX-Request-Id: {id:x}-{attempt}\r\n\r\n");
        let reply = match early_end {
            Some(reply) => reply,
            None => {
                endpoint
                    .send_request(&mut flow, data.as_bytes(), request.until)
                    .await
            }
        };
        match reply {
            Reply::Served if request.is_long && used + 1 < LONG_FLOW_REQUESTS => {
                *idle = Some((flow, used + 1))
            }
            _ => endpoint.finish_flow(&mut flow).await,
        }
        match reply {
            Reply::Served | Reply::Last => return Outcome::Served,
            Reply::NotRun => (),
            Reply::TimedOut => return Outcome::TimedOut,
            Reply::Reset if method == "POST" => return Outcome::Refused,
            Reply::Reset => (),
        }
    }
    Outcome::Refused
}

/// Opens flows on routes that were recently added or removed, as operators' own probes do.
pub async fn probe_routes(endpoint: Endpoint) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let route = endpoint.world.with(|state, now| {
            let recent = state.routes.iter().filter(|(_, route)| {
                let changed = route.removed.unwrap_or(route.added);
                now.since(changed) < Span::secs(8)
            });
            let recent: Vec<u8> = recent.map(|(&route, _)| route).collect();
            if recent.is_empty() {
                return None;
            }
            Some(recent[state.random.random_range(0..recent.len())])
        });
        let Some(route) = route else { continue };
        let mut flow = endpoint.new_flow(endpoint.world.addresses.service(route));
        if endpoint.open_flow(&mut flow).await {
            endpoint.finish_flow(&mut flow).await;
        } else {
            endpoint.remove_flow(&flow);
        }
    }
}
