//! Parsing of HTTP requests and of request bodies; malformed ones are rejected.

use bronzeraild::front::Request;
use bronzeraild::front::api::{RequestParts, parse};
use settings::RequestSpec;

/// Parses a request with an empty JSON object as its body; the error is the HTTP status.
fn parse_parts(method: &str, url: &str) -> Result<Request, u16> {
    let parts = RequestParts { method, url, traceparent: None, author: None };
    parse(parts, b"{}".to_vec()).map_err(|answer| answer.status)
}

#[test]
fn parse_known_paths() {
    assert!(matches!(
        parse_parts("POST", "/v1/requests?wait_ms=5"),
        Ok(Request::Submit { wait_ms: Some(5), .. })
    ));
    assert!(matches!(
        parse_parts("GET", "/v1/requests/c/i"),
        Ok(Request::Status { wait_ms: 0, .. })
    ));
    assert!(matches!(parse_parts("DELETE", "/v1/requests/c/i"), Ok(Request::Cancel { .. })));
    assert!(matches!(parse_parts("GET", "/v1/requests/c/i/explain"), Ok(Request::Explain { .. })));
    assert!(matches!(
        parse_parts("PUT", "/v1/settings/rules?base=3"),
        Ok(Request::ApplySettings { base: 3, .. })
    ));
    assert!(matches!(parse_parts("GET", "/v1/members"), Ok(Request::Survey { .. })));
}

#[test]
fn parse_unknown_or_malformed() {
    assert_eq!(parse_parts("GET", "/v1/nothing"), Err(404));
    assert_eq!(parse_parts("POST", "/v1/requests/c/i"), Err(404));
    assert_eq!(parse_parts("GET", "/v1/requests/c/i?wait_ms=x"), Err(400));
    assert_eq!(parse_parts("PUT", "/v1/settings/rules"), Err(400));
}

#[test]
fn spec_malformed_refused() {
    let bad = [
        "",
        "{",
        r#"{"customer":"c"}"#,
        r#"{"customer":"c","id":"i","kind":"k","extra":1}"#,
        r#"{"customer":"c","id":"i","kind":"k","id":"j"}"#,
        r#"{"customer":"c/d","id":"i","kind":"k"}"#,
        r#"{"customer":"c","id":"","kind":"k"}"#,
        r#"{"customer":"c","id":"i","kind":"k","tasks":0}"#,
        r#"{"customer":"c","id":"i","kind":"k","tasks":99999}"#,
        r#"{"customer":"c","id":"i","kind":"k"} x"#,
    ];
    for body in bad {
        assert!(RequestSpec::parse(body.as_bytes()).is_err(), "{body}");
    }
    RequestSpec::parse(br#"{"customer":"c","id":"i","kind":"k"}"#).expect("the body is valid");
}
