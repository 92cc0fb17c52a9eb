//! Answers and route tokens to callers.

use base::prelude::*;
use conf::key;
use wire::coap::response_code;
use wire::coap::Answer;
use wire::coap::Request;
use wire::frame::Ownership;
use wire::frame::Relay;
use wire::token::Token;

use crate::effect::Effect;
use crate::state::Node;

/// Seconds after which a refused caller may retry, sent as the Max-Age option.
const RETRY_AFTER_SECS: u32 = 1;

/// Creates a "not run" answer.
pub(crate) fn not_run(code: Code) -> Answer {
    debug_assert!(code.is_not_run(), "{code} is not a \"not run\" code");
    let class = match code {
        Code::TokenNeeded | Code::FlowMoved => response_code::UNAUTHORIZED,
        Code::DigestClash => response_code::BAD_REQUEST,
        Code::BodyTooLarge => response_code::TOO_LARGE,
        Code::BlockMissing => response_code::INCOMPLETE,
        _ => response_code::UNAVAILABLE,
    };
    let answer = Answer::refusal(class, code);
    match class {
        response_code::UNAVAILABLE => answer.with_max_age(RETRY_AFTER_SECS),
        _ => answer,
    }
}

/// Creates an "outcome unknown" answer.
pub(crate) fn unknown(code: Code) -> Answer {
    debug_assert!(
        code.is_outcome_unknown(),
        "{code} is not an \"outcome unknown\" code"
    );
    Answer::refusal(response_code::TIMEOUT, code)
}

/// Replaces a "not run" answer by "outcome unknown" if an earlier attempt may have run the request.
pub(crate) fn correct_refusal(relay: &Relay, answer: Answer) -> Answer {
    match relay.may_have_run && answer.code.is_not_run() {
        true => unknown(Code::AnswerCut),
        false => answer,
    }
}

/// Sends the answer to one datagram of a request.
pub(crate) fn send(
    node: &mut Node,
    relay: &Relay,
    request: &Request,
    answer: &Answer,
    token: Option<Token>,
    out: &mut Vec<Effect>,
) {
    node.counts.add_code(answer.code);
    let echo = token.map(|token| node.setting.ring.seal(&token));
    out.push(Effect::Answer {
        service: relay.service,
        caller: relay.caller,
        data: answer.encode(request, echo.as_ref()),
    });
}

/// Returns the ownership that tokens for a backend server have to name, if its owner is known to be
/// alive.
pub(crate) fn live_ownership(node: &Node, server: key::Server) -> Option<Ownership> {
    if let Some(owned) = node.owned.get(&server) {
        return Some(owned.ownership);
    }
    let entry = node.owners.get(server)?;
    let owner = node.group.get(entry.load.ownership.owner)?;
    owner.state.is_live().then_some(entry.load.ownership)
}

/// Creates a token that pins a flow to a backend server.
pub(crate) fn make_token(
    node: &Node,
    service: key::Service,
    server: key::Server,
    nonce: u64,
) -> Option<Token> {
    let ownership = live_ownership(node, server)?;
    let row = &node.table[server];
    Some(Token {
        service: node.table[service].uid,
        server: row.uid,
        generation: row.generation,
        owner: ownership.owner,
        term: ownership.term as u8,
        nonce,
        issued: node.now.secs() as u32,
    })
}
