//! Typed objects, validated on conversion from a `raw::Object`.
//!
//! Rules that span several objects are checked in `table`.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;

use base::prelude::*;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::error::Error;
use crate::label;
use crate::label::Labels;
use crate::label::Selector;
use crate::raw;
pub use crate::routing::Pool;
pub use crate::routing::Route;
pub use crate::routing::Routing;
pub use crate::routing::Share;
pub use crate::routing::Traffic;
pub use crate::routing::DEFAULT_CHECK_PATH;
pub use crate::routing::DEFAULT_IDLE_MS;
pub use crate::routing::DEFAULT_TARGET_MS;
pub use crate::routing::DEFAULT_TIMEOUT_MS;
use crate::spec;

/// Maximum length of the name of an object, in bytes.
pub const NAME_MAX_BYTES: usize = 63;
/// Maximum length of the spec of an object that operators write, in bytes.
pub const SPEC_MAX_BYTES: usize = 4096;
/// Maximum length of the spec of a report, in bytes.
pub const REPORT_SPEC_MAX_BYTES: usize = 512 * 1024;
/// Maximum length of the spec of a routing, in bytes. A routing holds every route, and the platform
/// limits values to this size.
pub const ROUTING_SPEC_MAX_BYTES: usize = 1024 * 1024;
/// Deadline of requests to a service that sets none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 10_000;
/// Maximum deadline that a service may set, in milliseconds.
pub const DEADLINE_MAX_MS: u32 = 600_000;
/// Number of slots of a backend server that sets none.
pub const DEFAULT_SLOTS: u16 = 2;
/// Connection limit of a backend server that sets none.
pub const DEFAULT_CONNECTIONS: u16 = 2000;
/// Label of a backend server whose value is the name of its failure domain.
pub const DOMAIN_LABEL: &str = "domain";
/// Label of a backend server whose value is the name of its pool for packet flows.
pub const POOL_LABEL: &str = "pool";
/// Label of a backend server or failure domain whose value is its `State`.
pub const STATE_LABEL: &str = "state";

/// Kind of an object.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EnumIter, EnumString, IntoStaticStr,
)]
pub enum Kind {
    /// A service that callers reach at one address.
    Service,
    /// A backend server.
    Server,
    /// A failure domain.
    Domain,
    /// The configuration that the balancers of one failure domain have in force.
    Report,
    /// Routing of packet flows: all routes, and the pools that they lead to.
    Routing,
}

/// Desired state of a backend server or failure domain. Where both are set, the greater one is in
/// effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// In service: accepts new flows.
    #[default]
    In,
    /// Draining: accepts no new flows; flows and requests in progress finish.
    Drain,
    /// Out of service: receives no traffic.
    Out,
}

/// Fields common to objects of all kinds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Meta {
    /// Name, unique among the objects of a kind.
    pub name: String,
    /// Distinguishes objects that were created under the same name one after another.
    pub uid: u32,
    /// Platform revision of the last change.
    pub version: u64,
    /// Number of changes of the body.
    pub generation: u16,
    /// All labels, including those that are interpreted, such as `STATE_LABEL`.
    pub labels: Labels,
}

/// An object that passed the validation of single objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Fields common to all kinds.
    pub meta: Meta,
    /// Fields of its kind.
    pub body: Body,
}

/// Fields specific to a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// A service.
    Service(Service),
    /// A backend server.
    Server(Server),
    /// A failure domain.
    Domain(Domain),
    /// A report.
    Report(Report),
    /// A routing.
    Routing(Routing),
}

/// A service that callers reach at one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service address.
    pub address: IpAddr,
    /// Selector of its backend servers.
    pub selector: Selector,
    /// Deadline of requests whose caller sets none.
    pub deadline: Span,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Address that it accepts requests at.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub connections: u16,
    /// Name of its failure domain, from the label `DOMAIN_LABEL`.
    pub domain: String,
    /// Its own state, from the label `STATE_LABEL`.
    pub state: State,
    /// Name of its pool for packet flows, from the label `POOL_LABEL`.
    pub pool: Option<String>,
    /// Identifies it in forwarded packets, so that a server that later reuses its address ignores
    /// them.
    pub identity: Option<u64>,
    /// Time for which it stays cold, counted from when the object was written.
    pub cold: Span,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// State, from the label `STATE_LABEL`: `In` or `Out`.
    pub state: State,
}

/// The configuration that the balancers of one failure domain have in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The balancers known to the writer in its failure domain.
    pub balancers: Vec<Balancer>,
}

/// One balancer in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Balancer {
    /// Name of the balancer.
    pub name: String,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address of its admin interface.
    pub admin: SocketAddr,
    /// Revision that it has in force.
    pub revision: u64,
    /// Faults of objects that it does not apply, or only in part.
    pub faults: Vec<Finding>,
}

/// A fault, as listed in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// The result code of the violated rule.
    pub code: Code,
}

impl Kind {
    /// Returns the name of the kind on the platform.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

impl State {
    /// Returns the value of the label `STATE_LABEL` for this state.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

impl Object {
    /// Returns the kind of the object.
    pub fn kind(&self) -> Kind {
        match self.body {
            Body::Service(_) => Kind::Service,
            Body::Server(_) => Kind::Server,
            Body::Domain(_) => Kind::Domain,
            Body::Report(_) => Kind::Report,
            Body::Routing(_) => Kind::Routing,
        }
    }
}

/// Validates the name of an object.
///
/// # Errors
///
/// `BadName` when the name is empty, too long, or has characters outside `[a-z0-9.-]`.
pub fn check_name(name: &str) -> Result<(), Error> {
    let is_allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'.' || byte == b'-'
    };
    if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.bytes().all(is_allowed) {
        return Err(Error::new(Code::BadName, format!("{name:?}")));
    }
    Ok(())
}

/// Parses the name of a kind.
///
/// # Errors
///
/// `UnknownKind` when there is no such kind.
pub fn parse_kind(name: &str) -> Result<Kind, Error> {
    name.parse()
        .map_err(|_| Error::new(Code::UnknownKind, format!("{name:?}")))
}

impl TryFrom<&raw::Object> for Object {
    type Error = Error;

    fn try_from(raw: &raw::Object) -> Result<Object, Error> {
        let kind = parse_kind(&raw.kind)?;
        check_name(&raw.name)?;
        label::check_all(&raw.labels)?;
        if raw.deleted {
            return Err(bad_field("deleted", "a tombstone is not an object"));
        }
        let body = match kind {
            Kind::Service => {
                Body::Service(parse_spec::<spec::Service>(raw, SPEC_MAX_BYTES)?.try_into()?)
            }
            Kind::Server => {
                Body::Server(parse_server(parse_spec(raw, SPEC_MAX_BYTES)?, &raw.labels)?)
            }
            Kind::Domain => {
                let spec::Domain {} = parse_spec(raw, SPEC_MAX_BYTES)?;
                Body::Domain(parse_domain(&raw.labels)?)
            }
            Kind::Report => {
                Body::Report(parse_spec::<spec::Report>(raw, REPORT_SPEC_MAX_BYTES)?.into())
            }
            Kind::Routing => {
                Body::Routing(parse_spec::<spec::Routing>(raw, ROUTING_SPEC_MAX_BYTES)?.into())
            }
        };
        let meta = Meta {
            name: raw.name.clone(),
            uid: raw.uid,
            version: raw.version,
            generation: raw.generation,
            labels: raw.labels.clone(),
        };
        Ok(Object { meta, body })
    }
}

impl From<&Object> for raw::Object {
    fn from(object: &Object) -> raw::Object {
        let Meta {
            name,
            uid,
            version,
            generation,
            labels,
        } = object.meta.clone();
        raw::Object {
            kind: object.kind().name().into(),
            name,
            uid,
            version,
            generation,
            deleted: false,
            labels,
            spec: (&object.body).into(),
        }
    }
}

fn parse_spec<T: serde::de::DeserializeOwned>(raw: &raw::Object, max: usize) -> Result<T, Error> {
    // A spec that is absent, or null in JSON, stands for an empty object.
    let text = match raw.spec.0.as_str() {
        "" | "null" => "{}",
        text => text,
    };
    if text.len() > max {
        return Err(bad_field("spec", format!("longer than {max} bytes")));
    }
    // serde also deserializes structs from JSON arrays, which are not valid specs.
    if !text.trim_start().starts_with('{') {
        return Err(bad_field("spec", "not a JSON object"));
    }
    serde_json::from_str(text).map_err(|error| bad_field("spec", error.to_string()))
}

fn bad_field(name: &str, detail: impl Into<String>) -> Error {
    Error::new(Code::BadField, format!("{name}: {}", detail.into()))
}

impl TryFrom<spec::Service> for Service {
    type Error = Error;

    fn try_from(spec: spec::Service) -> Result<Service, Error> {
        let deadline = spec.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        if deadline == 0 || deadline > DEADLINE_MAX_MS {
            let detail = format!("{deadline} is not in the range 1 to {DEADLINE_MAX_MS}");
            return Err(bad_field("deadline_ms", detail));
        }
        if spec.address.is_unspecified() || spec.address.is_multicast() {
            return Err(bad_field("address", "must not be unspecified or multicast"));
        }
        Ok(Service {
            address: spec.address.to_canonical(),
            selector: spec.selector.parse()?,
            deadline: Span::millis(deadline.into()),
        })
    }
}

fn parse_server(spec: spec::Server, labels: &Labels) -> Result<Server, Error> {
    let slots = spec.slots.unwrap_or(DEFAULT_SLOTS);
    let connections = spec.connections.unwrap_or(DEFAULT_CONNECTIONS);
    if slots == 0 || connections == 0 {
        return Err(bad_field("slots, connections", "must not be 0"));
    }
    if spec.address.ip().is_unspecified() || spec.address.port() == 0 {
        return Err(bad_field(
            "address",
            "must have a specified IP address and a port other than 0",
        ));
    }
    let domain = labels
        .get(DOMAIN_LABEL)
        .ok_or_else(|| Error::new(Code::BadLabel, "a server needs the label domain"))?;
    Ok(Server {
        address: SocketAddr::new(spec.address.ip().to_canonical(), spec.address.port()),
        slots,
        connections,
        domain: domain.clone(),
        state: parse_state(labels)?,
        pool: labels.get(POOL_LABEL).cloned(),
        identity: spec.identity,
        cold: Span::millis(spec.cold_ms.unwrap_or_default().into()),
    })
}

fn parse_domain(labels: &Labels) -> Result<Domain, Error> {
    let state = parse_state(labels)?;
    if state == State::Drain {
        let detail = "state of a domain is in or out";
        return Err(Error::new(Code::BadLabel, detail));
    }
    Ok(Domain { state })
}

fn parse_state(labels: &Labels) -> Result<State, Error> {
    let Some(value) = labels.get(STATE_LABEL) else {
        return Ok(State::default());
    };
    value
        .parse()
        .map_err(|_| Error::new(Code::BadLabel, format!("state is {value:?}")))
}

impl From<spec::Report> for Report {
    fn from(spec: spec::Report) -> Report {
        let balancers = spec.balancers.into_iter().map(Balancer::from).collect();
        Report { balancers }
    }
}

impl From<spec::Balancer> for Balancer {
    fn from(spec: spec::Balancer) -> Balancer {
        let finding = |fault: spec::Fault| Finding {
            kind: fault.kind,
            name: fault.name,
            // A balancer of a later release can report a code that this one does not have.
            code: Code::from_repr(fault.code).unwrap_or(Code::UnknownCode),
        };
        Balancer {
            name: spec.name,
            incarnation: spec.incarnation,
            admin: spec.admin,
            revision: spec.revision,
            faults: spec.faults.into_iter().map(finding).collect(),
        }
    }
}

impl From<&Report> for spec::Report {
    fn from(report: &Report) -> spec::Report {
        let fault = |finding: &Finding| spec::Fault {
            kind: finding.kind.clone(),
            name: finding.name.clone(),
            code: finding.code.number(),
        };
        let balancer = |balancer: &Balancer| spec::Balancer {
            name: balancer.name.clone(),
            incarnation: balancer.incarnation,
            admin: balancer.admin,
            revision: balancer.revision,
            faults: balancer.faults.iter().map(fault).collect(),
        };
        let balancers = report.balancers.iter().map(balancer).collect();
        spec::Report { balancers }
    }
}

impl From<&Body> for raw::Spec {
    fn from(body: &Body) -> raw::Spec {
        let value = match body {
            Body::Service(service) => serde_json::to_string(&spec::Service {
                address: service.address,
                selector: service.selector.to_string(),
                deadline_ms: u32::try_from(service.deadline.as_millis()).ok(),
            }),
            Body::Server(server) => serde_json::to_string(&spec::Server {
                address: server.address,
                slots: Some(server.slots),
                connections: Some(server.connections),
                identity: server.identity,
                cold_ms: u32::try_from(server.cold.as_millis())
                    .ok()
                    .filter(|&cold| cold > 0),
            }),
            Body::Domain(_) => serde_json::to_string(&spec::Domain {}),
            Body::Report(report) => serde_json::to_string(&spec::Report::from(report)),
            Body::Routing(routing) => serde_json::to_string(&spec::Routing::from(routing)),
        };
        raw::Spec(value.unwrap_or_default())
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
