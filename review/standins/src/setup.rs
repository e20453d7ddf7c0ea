//! The configuration of a small deployment, and requests to it.

use {
    crate::http::request,
    serde_json::{Value, json},
    std::sync::atomic::{AtomicU64, Ordering},
};

pub const HOST: &str = "jepu9.example";
pub const KEY: &str = "ctnfzs989anu6wsjnban";
pub const MODEL: &str = "daka510000";

/// The operator's document, with the routes and limits of the sheet of hbt-rings.
pub fn config(version: u64) -> Value {
    config_with(version, &json!([{"name": "sese880", "apiKeys": [KEY]}]))
}

/// The same with other tenants.
pub fn config_with(version: u64, tenants: &Value) -> Value {
    json!({"version": version,
     "routes": [
      {"name": "rulecheck", "host": HOST, "prefix": "/rulecheck/", "kind": "stream", "timeoutMs": 6000,
       "targetLatencyMs": 600, "priority": 1, "service": "loupe", "maxAttempts": 2, "public": false,
       "sticky": true, "resumable": true, "gapTargetMs": 300},
      {"name": "blurb", "host": HOST, "prefix": "/blurb/", "kind": "stream", "timeoutMs": 15000,
       "targetLatencyMs": 400, "priority": 0, "service": "loupe", "maxAttempts": 1, "public": false,
       "sticky": true, "resumable": false, "gapTargetMs": 300},
      {"name": "stone-hold", "host": HOST, "prefix": "/hold/", "kind": "unsafe", "timeoutMs": 800,
       "targetLatencyMs": 150, "priority": 2, "service": "bench", "maxAttempts": 1, "public": false},
      {"name": "design-read", "host": HOST, "prefix": "/read/", "kind": "safe", "timeoutMs": 800,
       "targetLatencyMs": 150, "priority": 2, "service": "bench", "maxAttempts": 2, "public": false}],
     "services": [
      {"name": "loupe", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
       "engine": {"slots": 64, "kvCapacityTokens": 105_812, "kvTokenBytes": 163_840, "linkMbps": 740_000.0,
                  "maxInFlight": 12, "models": [{"name": MODEL}]}},
      {"name": "bench", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}],
     "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
     "tenants": tenants})
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A new id of an attempt.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    format!("9c41d07b{number:08x}")
}

/// A request to a plain service.
pub fn plain_request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", &*deadline),
        ("X-Api-Key", KEY),
    ];
    request(method, path, &headers, body)
}

/// A request to a model, with headers besides.
pub fn model_request(
    path: &str,
    id: &str,
    deadline_ms: u64,
    tokens: &str,
    prefix: &str,
    key: &str,
    more: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", &*deadline),
        ("X-Api-Key", key),
        ("X-Model", MODEL),
        ("X-Token-Count", tokens),
        ("X-Prompt-Prefix", prefix),
    ];
    headers.extend_from_slice(more);
    request("POST", path, &headers, body)
}
