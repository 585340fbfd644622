//! The operators' question where a request would go now: `GET /where?host=..&path=..&object=..&account=..`.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};
use sg_place::estimate::Estimate;
use sg_proxy::{
    Core, Dialect,
    explain::{Asked, Explanation, explain},
};

/// Responds with an explanation as JSON. Nothing is sent and no state changes.
pub(crate) fn respond<D: Dialect>(core: &Core<D>, query: Option<&str>) -> Response<Bytes> {
    let fields: Vec<(&str, String)> = query
        .unwrap_or_default()
        .split('&')
        .filter_map(|field| field.split_once('='))
        .map(|(name, value)| (name, decode(value)))
        .collect();
    let field = |name: &str| {
        let found = fields.iter().find(|(found, _)| *found == name);
        found.map(|(_, value)| value.as_str())
    };
    let (Some(host), Some(path)) = (field("host"), field("path")) else {
        let error = json!({"error": "host and path are required"});
        return response(StatusCode::BAD_REQUEST, &error);
    };
    let asked = Asked {
        host,
        path,
        object: field("object"),
        account: field("account"),
    };
    let body = match explain(core, &asked) {
        Ok(explanation) => described(&explanation),
        Err(reason) => json!({"decision": {"refused": reason.as_str()}}),
    };
    response(StatusCode::OK, &body)
}

fn described(explanation: &Explanation) -> Value {
    let decision = match &explanation.decision {
        Ok(target) => json!({"target": target.as_str()}),
        Err(reason) => json!({"refused": reason}),
    };
    let targets: Vec<Value> = explanation.targets.iter().map(target).collect();
    json!({
        "route": explanation.route.as_str(),
        "account": explanation.account.as_ref().map(AsRef::<str>::as_ref),
        "priority": explanation.priority,
        "service": explanation.service.as_str(),
        "planned_region": explanation.planned_region.as_ref().map(AsRef::<str>::as_ref),
        "targets": targets,
        "refused_fraction": explanation.refused_fraction,
        "decision": decision,
    })
}

fn target(estimate: &Estimate) -> Value {
    json!({
        "target": estimate.target.as_str(),
        "region": estimate.region.as_str(),
        "warm": estimate.is_warm,
        "highest_ranked": estimate.is_highest_ranked,
        "has_room": estimate.has_room,
        "wait_s": estimate.queue_wait_seconds,
        "work_s": estimate.work_seconds,
        "expected_s": estimate.expected_seconds,
        "score": estimate.score,
    })
}

fn response(status: StatusCode, body: &Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(format!("{body}\n")));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Decodes `%XX` in the value of a query field. Other bytes stay as they are.
fn decode(value: &str) -> String {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let digits = after.get(..2).filter(|_| byte == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &after[2..];
            }
            None => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
