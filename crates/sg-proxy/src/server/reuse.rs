//! What requests and responses say of the reuse of their connection.

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, Version, header};

use crate::callers::{Load, SHORT_IDLE_TIMEOUT};

/// Name of the header that states how long an idle connection is kept.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Returns whether `request` is the last one of its connection by what it says.
pub(super) fn ends_connection<B>(request: &Request<B>) -> bool {
    match request.version() {
        Version::HTTP_11 => says(request.headers(), "close"),
        _ => !says(request.headers(), "keep-alive"),
    }
}

/// Returns whether `headers` say that the connection goes on as `option` tells.
pub(super) fn says(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|found| found.trim().eq_ignore_ascii_case(option))
}

/// Tells the caller how long its connection is kept, if the load shortens that time.
pub(super) fn limit<B>(response: &mut Response<B>, load: Load) {
    match load {
        Load::Normal => {}
        Load::ShortIdle => {
            let seconds = SHORT_IDLE_TIMEOUT.as_millis() / 1_000;
            if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
                response.headers_mut().insert(KEEP_ALIVE, value);
            }
        }
        Load::NoReuse | Load::Full | Load::Overflow => close(response),
    }
}

/// Tells the caller that its connection closes with `response`.
pub(super) fn close<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}
