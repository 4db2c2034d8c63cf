//! HTTP client of the OTLP exporter, which blocks the exporter's own thread only.

use std::time::Duration;

use bytes::Bytes;
use opentelemetry_http::{HttpClient, HttpError, Request, Response};

/// Longest time for one export request, from connect to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Blocking HTTP client that hands every status code back to the exporter.
#[derive(Debug)]
pub(super) struct Client {
    agent: ureq::Agent,
}

impl Default for Client {
    fn default() -> Self {
        let config = ureq::Agent::config_builder();
        let config =
            config.http_status_as_error(false).timeout_global(Some(REQUEST_TIMEOUT)).build();
        Self { agent: config.new_agent() }
    }
}

#[async_trait::async_trait]
impl HttpClient for Client {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (parts, body) = request.into_parts();
        let request = Request::from_parts(parts, body.to_vec());
        let (parts, mut body) = self.agent.run(request)?.into_parts();
        let bytes = body.read_to_vec()?;
        Ok(Response::from_parts(parts, Bytes::from(bytes)))
    }
}
