//! Conversion between membership messages and the bodies of peer frames.

use wire::frame::Body;
use wire::frame::Gossip;
use wire::frame::Load;
use wire::frame::Update;

use crate::event::Message;
use crate::record::Member;
use crate::record::UnknownState;

/// Data piggybacked on a membership message, apart from the membership updates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Piggyback {
    /// In crate `node`, the configuration revision in force at the sender; in crate `forward`, the
    /// highest version of any object that the sender has.
    pub revision: u64,
    /// Load reports of backend servers.
    pub loads: Vec<Load>,
}

/// Converts a message to a frame body.
pub fn encode(message: Message, piggyback: Piggyback) -> Body {
    let gossip = Gossip {
        revision: piggyback.revision,
        updates: message.updates().iter().map(Update::from).collect(),
        loads: piggyback.loads,
    };
    match message {
        Message::Ping { seq, .. } => Body::Ping { seq, gossip },
        Message::Ack { seq, .. } => Body::Ack { seq, gossip },
        Message::PingReq { seq, target, .. } => Body::PingReq {
            seq,
            target,
            gossip,
        },
    }
}

/// Converts a frame body to a message. Updates with an unknown state are left out.
///
/// # Errors
///
/// Returns the body if it is not a membership message.
pub fn decode(body: Body) -> Result<(Message, Piggyback), Box<Body>> {
    match body {
        Body::Ping { seq, gossip } => {
            let (updates, piggyback) = split(gossip);
            Ok((Message::Ping { seq, updates }, piggyback))
        }
        Body::Ack { seq, gossip } => {
            let (updates, piggyback) = split(gossip);
            Ok((Message::Ack { seq, updates }, piggyback))
        }
        Body::PingReq {
            seq,
            target,
            gossip,
        } => {
            let (updates, piggyback) = split(gossip);
            let message = Message::PingReq {
                seq,
                target,
                updates,
            };
            Ok((message, piggyback))
        }
        body => Err(Box::new(body)),
    }
}

fn split(gossip: Gossip) -> (Vec<Member>, Piggyback) {
    let updates = gossip.updates.into_iter();
    let members = updates
        .filter_map(|update| update.try_into().ok())
        .collect();
    let piggyback = Piggyback {
        revision: gossip.revision,
        loads: gossip.loads,
    };
    (members, piggyback)
}

impl From<&Member> for Update {
    fn from(member: &Member) -> Update {
        Update {
            incarnation: member.incarnation,
            name: member.name.clone(),
            domain: member.domain.clone(),
            peer: member.peer,
            admin: member.admin,
            epoch: member.epoch,
            state: member.state.into(),
            revision: member.revision,
        }
    }
}

impl TryFrom<Update> for Member {
    type Error = UnknownState;

    fn try_from(update: Update) -> Result<Member, UnknownState> {
        Ok(Member {
            incarnation: update.incarnation,
            name: update.name,
            domain: update.domain,
            peer: update.peer,
            admin: update.admin,
            epoch: update.epoch,
            state: update.state.try_into()?,
            revision: update.revision,
        })
    }
}
