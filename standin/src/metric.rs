//! Counters of a stand-in in the Prometheus text format.

use coltsfoothook_telemetry::process_usage;
use http::StatusCode;
use prometheus::{Gauge, IntCounter, Registry, TextEncoder};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::reply::{self, Refusal, Reply};

const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Answers with `counters`, which serializes to an object of numbers, and with the memory and CPU
/// time of the process, which may host several stand-ins.
pub(crate) fn metrics(server: &str, counters: &impl Serialize) -> Result<Reply, Refusal> {
    let fields = match serde_json::to_value(counters) {
        Ok(Value::Object(fields)) => fields,
        _ => Map::new(),
    };
    let text = encode(server, &fields).map_err(|error| {
        reply::refusal(StatusCode::INTERNAL_SERVER_ERROR, "metrics", &error.to_string())
    })?;
    Ok(reply::buffered(StatusCode::OK, CONTENT_TYPE, text.into_bytes()))
}

fn encode(server: &str, fields: &Map<String, Value>) -> prometheus::Result<String> {
    let registry = Registry::new();
    for (name, value) in fields {
        let full_name = format!("coltsfoothook_standin_{server}_{name}_total");
        let help = format!("See {name} in docs/STANDINS.md");
        let counter = IntCounter::new(full_name, help)?;
        counter.inc_by(value.as_u64().unwrap_or_default());
        registry.register(Box::new(counter))?;
    }
    let usage = process_usage();
    for (name, help, value) in [
        ("process_resident_memory_bytes", "Resident memory.", usage.resident_bytes as f64),
        ("process_cpu_seconds_total", "Processor time.", usage.cpu_seconds),
    ] {
        let gauge = Gauge::new(name, help)?;
        gauge.set(value);
        registry.register(Box::new(gauge))?;
    }
    TextEncoder::new().encode_to_string(&registry.gather())
}
