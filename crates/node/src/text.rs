//! Effects as text, for golden files of sessions.

use std::fmt;

use wire::frame::Body;
use wire::frame::Frame;

use crate::effect::Effect;
use crate::effect::Note;
use crate::effect::Request;

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::Answer {
                service,
                caller,
                data,
            } => write!(f, "answer {caller} from {service}, {} bytes", data.len()),
            Effect::Send { to, frame } => write!(f, "send {to}: {}", Line(frame)),
            Effect::Call { run, request } => write!(f, "{run} = call {request}"),
            Effect::Cancel(run) => write!(f, "cancel {run}"),
            Effect::Probe { server, address } => write!(f, "probe uid {server} at {address}"),
            Effect::Disconnect { address } => write!(f, "disconnect {address}"),
            Effect::Report { name, .. } => write!(f, "report {name}"),
            Effect::Refetch { since } => write!(f, "refetch since r{since}"),
            Effect::Log(Note { code, text, .. }) => write!(f, "log {code}: {text}"),
            Effect::Exit => f.write_str("exit"),
        }
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} of {} at {} until {}",
            self.method, self.target, self.service, self.address, self.deadline
        )
    }
}

/// A frame in one line.
struct Line<'a>(&'a Frame);

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0.body {
            Body::Ping { seq, .. } => write!(f, "ping {seq}"),
            Body::Ack { seq, .. } => write!(f, "ack {seq}"),
            Body::PingReq { seq, target, .. } => write!(f, "ping-req {seq} for {target}"),
            Body::Relay(relay) => write!(
                f,
                "relay of {} for uid {}, {} hops left",
                relay.caller, relay.server, relay.hops
            ),
            Body::Pull { since } => write!(f, "pull since r{since}"),
            Body::Delta {
                since,
                upto,
                objects,
            } => write!(f, "delta r{since}..r{upto}, {} objects", objects.len()),
            Body::Handover(handover) => write!(
                f,
                "hand-over {} of uid {} term {}, {} records, {} queued",
                handover.seq,
                handover.server,
                handover.term,
                handover.records.len(),
                handover.queued.len()
            ),
            Body::HandoverAck { server, seq } => write!(f, "hand-over-ack {seq} of uid {server}"),
            Body::Finished { server, record } => {
                write!(
                    f,
                    "finished message {} of uid {server}",
                    record.key.message_id
                )
            }
            Body::FinishedAck { server, key } => {
                write!(
                    f,
                    "finished-ack of message {} of uid {server}",
                    key.message_id
                )
            }
            Body::LoadReport(report) => {
                write!(f, "load report on {} servers", report.servers.len())
            }
            Body::Objects(objects) => write!(f, "objects of {} kinds", objects.len()),
            Body::ObjectsRequest(requests) => write!(f, "request for {} kinds", requests.len()),
            Body::Fragment(fragment) => {
                write!(f, "fragment {} of {}", fragment.index, fragment.count)
            }
            Body::Speeds(speeds) => write!(f, "speeds of {} servers", speeds.len()),
            Body::Demand(pools) => write!(f, "demand for {} pools", pools.len()),
            Body::DomainDemand(summary) => {
                let (domain, pools) = (&summary.domain, summary.pools.len());
                write!(f, "summary of {domain}, {pools} pools")
            }
            Body::HostUse(announced) => write!(f, "host used to {}%", announced.percent),
            Body::SnapshotRequest => f.write_str("request for a snapshot"),
            Body::SnapshotBusy { wait_ms, .. } => write!(f, "busy for {wait_ms} ms"),
            Body::Snapshot(snapshot) => {
                write!(f, "snapshot of {} bytes", snapshot.objects.len())
            }
        }
    }
}
