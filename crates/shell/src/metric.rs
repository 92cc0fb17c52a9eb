//! Metrics, recorded with OpenTelemetry and exported in Prometheus's text format.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use eyre::WrapErr;
use forward::observation::Class;
use forward::observation::Observation;
use node::event::Failure;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bucket bounds of the histograms of reply and flow times, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];
/// Bucket bounds of the histogram of step times, in seconds.
const STEP_BOUNDS_S: [f64; 8] = [1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 1e-3, 1e-2, 0.1];

/// The transport that carries a frame between balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// UDP datagram.
    Datagram,
    /// QUIC stream.
    Stream,
}

impl Transport {
    fn name(self) -> &'static str {
        match self {
            Transport::Datagram => "datagram",
            Transport::Stream => "stream",
        }
    }
}

/// A counter or gauge of the reducer, exported as a gauge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    name: &'static str,
    code: Option<Code>,
    value: u64,
}

impl Count {
    /// Makes a value whose metric is `wasabi_node_` followed by `name`, in snake case.
    pub fn new(name: &'static str, value: u64) -> Count {
        let code = None;
        Count { name, code, value }
    }

    /// Sets the result code by which the value is labelled.
    pub fn with_code(mut self, code: Code) -> Count {
        self.code = Some(code);
        self
    }
}

/// All instruments of a balancer.
pub struct Metric {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
    gauges: Mutex<BTreeMap<&'static str, Gauge<u64>>>,
    datagrams: Counter<u64>,
    drops: Counter<u64>,
    answers: Counter<u64>,
    replies: Counter<u64>,
    reply_time: Histogram<f64>,
    frame_bytes: Counter<u64>,
    frames: Counter<u64>,
    platform_calls: Counter<u64>,
    step_time: Histogram<f64>,
    pauses: Counter<u64>,
    flow_open_time: Histogram<f64>,
    flow_time: Histogram<f64>,
    flows: Counter<u64>,
    answer_time: Histogram<f64>,
    request_time: Histogram<f64>,
    route_flows: Counter<u64>,
}

impl Metric {
    /// Makes the instruments of the balancer called `name`.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be set up.
    pub fn new(name: &str) -> eyre::Result<Metric> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .build()
            .wrap_err("cannot set up metrics")?;
        let resource = opentelemetry_sdk::Resource::builder_empty()
            .with_service_name("wasabid")
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()))
            .build();
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource)
            .build();
        let meter = provider.meter("wasabi");
        let counter = |name, text| {
            let builder = meter.u64_counter(name).with_description(text);
            builder.build()
        };
        let histogram = |name, text, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder
                .with_unit("s")
                .with_boundaries(bounds.to_vec())
                .build()
        };
        Ok(Metric {
            datagrams: counter("wasabi_datagrams", "Datagrams of callers taken in."),
            drops: counter("wasabi_drops", "Datagrams dropped, by result code."),
            answers: counter("wasabi_answers", "Datagrams sent to callers, by CoAP code."),
            replies: counter("wasabi_replies", "Requests to backend servers, by outcome."),
            reply_time: histogram(
                "wasabi_reply_time",
                "Time from the first byte to a backend server to the last byte back.",
                &LATENCY_BOUNDS_S,
            ),
            frame_bytes: counter("wasabi_control_bytes", "Bytes to and from peers."),
            frames: counter("wasabi_frames", "Frames to and from peers."),
            platform_calls: counter("wasabi_platform_calls", "Calls of the platform."),
            step_time: histogram(
                "wasabi_step_time",
                "Time of one reducer step.",
                &STEP_BOUNDS_S,
            ),
            pauses: counter("wasabi_pauses", "Pauses of the process."),
            flow_open_time: histogram(
                "wasabi_flow_open_time",
                "Time from an opening packet to the caller's answer to the server's.",
                &LATENCY_BOUNDS_S,
            ),
            flow_time: histogram(
                "wasabi_flow_time",
                "Time from the first opening packet of a flow to its end.",
                &LATENCY_BOUNDS_S,
            ),
            flows: counter("wasabi_flows", "Flows opened or refused, by outcome."),
            answer_time: histogram(
                "wasabi_answer_time",
                "Time from the opening packet, or a later request, to the first part of the answer.",
                &LATENCY_BOUNDS_S,
            ),
            request_time: histogram(
                "wasabi_request_time",
                "Time from the opening packet, or a later request, to the end of the answer.",
                &LATENCY_BOUNDS_S,
            ),
            route_flows: counter(
                "wasabi_route_flows",
                "Flows offered and refused, by priority and kind of route.",
            ),
            registry,
            provider,
            meter,
            gauges: Mutex::default(),
        })
    }

    /// Counts datagrams received from callers.
    pub fn count_datagrams(&self, count: u64) {
        self.datagrams.add(count, &[]);
    }

    /// Counts dropped datagrams by result code.
    pub fn count_drops(&self, code: Code, count: u64) {
        if count > 0 {
            let code = KeyValue::new("code", code.name());
            self.drops.add(count, &[code]);
        }
    }

    /// Counts an answer datagram by the CoAP code in its second byte.
    pub fn count_answer(&self, data: &[u8]) {
        let byte = data.get(1).copied().unwrap_or_default();
        let code = format!("{}.{:02}", byte >> 5, byte & 0x1f);
        self.answers.add(1, &[KeyValue::new("code", code)]);
    }

    /// Counts a completed request to a backend server by outcome, and records the time of a reply.
    pub fn record_reply(&self, result: Result<Span, Failure>) {
        let outcome = match result {
            Ok(took) => {
                self.reply_time.record(took.0 as f64 / 1e6, &[]);
                "answered"
            }
            Err(Failure::Unreachable) => "unreachable",
            Err(Failure::Unsent) => "unsent",
            Err(Failure::WrongService) => "foreign",
            Err(Failure::ConnectionLost) => "cut",
            Err(Failure::TimedOut { .. }) => "silent",
            Err(Failure::Cancelled) => "cancelled",
        };
        self.replies.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a frame sent to a peer.
    pub fn count_sent_frame(&self, transport: Transport, bytes: usize) {
        self.count_frame("sent", transport, bytes);
    }

    /// Counts a frame received from a peer.
    pub fn count_received_frame(&self, transport: Transport, bytes: usize) {
        self.count_frame("received", transport, bytes);
    }

    /// Counts a call to the platform.
    pub fn count_platform_call(&self, call: &'static str, ok: bool) {
        let attributes = [KeyValue::new("call", call), KeyValue::new("ok", ok)];
        self.platform_calls.add(1, &attributes);
    }

    /// Records the time of a step of the reducer.
    pub fn record_step(&self, took: Duration) {
        self.step_time.record(took.as_secs_f64(), &[]);
    }

    /// Counts a pause of the process.
    pub fn count_pause(&self) {
        self.pauses.add(1, &[]);
    }

    /// Counts a flow as opened and records the time that its opening took.
    pub fn record_opened_flow(&self, took: Span) {
        self.flow_open_time.record(took.0 as f64 / 1e6, &[]);
        self.count_flow("opened");
    }

    /// Counts a flow as closed by its caller and records its duration.
    pub fn record_closed_flow(&self, lasted: Span) {
        self.flow_time.record(lasted.0 as f64 / 1e6, &[]);
        self.count_flow("closed");
    }

    /// Counts a flow by outcome.
    pub fn count_flow(&self, outcome: &'static str) {
        self.flows.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records what happened to a flow, by priority and kind of its route.
    pub fn record_observation(&self, class: Class, observation: Observation) {
        let priority = KeyValue::new("priority", i64::from(class.priority));
        let kind = KeyValue::new("kind", class.kind.name());
        let count = |outcome: &'static str| {
            let outcome = KeyValue::new("outcome", outcome);
            let attributes = [priority.clone(), kind.clone(), outcome];
            self.route_flows.add(1, &attributes);
        };
        let record = |histogram: &Histogram<f64>, took: Span| {
            histogram.record(took.0 as f64 / 1e6, &[priority.clone(), kind.clone()]);
        };
        match observation {
            Observation::Offered => count("offered"),
            Observation::Refused => count("refused"),
            Observation::Answered(took) => record(&self.answer_time, took),
            Observation::Ended(took) => record(&self.request_time, took),
        }
    }

    /// Renders all metrics, including the reducer's values as gauges.
    ///
    /// # Errors
    ///
    /// Fails when the encoder does.
    pub fn render(&self, counts: &[Count]) -> eyre::Result<String> {
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        for count in counts {
            let gauge = gauges.entry(count.name).or_insert_with(|| {
                let name = format!("wasabi_node_{}", count.name);
                self.meter.u64_gauge(name).build()
            });
            let code = count.code.map(|code| KeyValue::new("code", code.name()));
            gauge.record(count.value, code.as_slice());
        }
        drop(gauges);
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .wrap_err("cannot encode metrics")
    }

    fn count_frame(&self, direction: &'static str, transport: Transport, bytes: usize) {
        let attributes = [
            KeyValue::new("direction", direction),
            KeyValue::new("way", transport.name()),
        ];
        self.frame_bytes.add(bytes as u64, &attributes);
        self.frames.add(1, &attributes);
    }
}

impl Drop for Metric {
    fn drop(&mut self) {
        let _ = self.provider.shutdown();
    }
}
