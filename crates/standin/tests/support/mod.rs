//! Calls to the simulated platform over HTTP.

use std::net::SocketAddr;

use serde_json::Value;

/// Sends a POST request; returns status and body, which is null if it isn't JSON.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let request = agent().post(format!("http://{address}{path}"));
    let request = request.header("Content-Type", "application/json");
    let response = request.send(body.to_string()).expect("the platform answers");
    read(response)
}

/// Agent that returns responses of any status.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).build().new_agent()
}

/// Reads a response's status and body, which is null if it isn't JSON.
pub fn read(mut response: ureq::http::Response<ureq::Body>) -> (u16, Value) {
    let text = response.body_mut().read_to_string().expect("the body is text");
    (response.status().as_u16(), serde_json::from_str(&text).unwrap_or_default())
}
