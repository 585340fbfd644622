//! Checks that callers got the complete response to their own request.

use super::{Promise, Violation};
use crate::history::{AttemptResult, Body, Call, History};

pub(super) fn check(history: &History) -> Vec<Violation> {
    history.calls.iter().flat_map(check_call).collect()
}

fn check_call(call: &Call) -> Vec<Violation> {
    let bodies = call
        .attempts
        .iter()
        .filter_map(|attempt| match attempt.result {
            AttemptResult::Response { body, .. } => Some(body),
            AttemptResult::NotSent | AttemptResult::Lost => None,
        });
    let broken = bodies.filter_map(|body| match body {
        Body::Complete | Body::Refusal => None,
        Body::OtherRequest => Some((Promise::OwnAnswer, "the response is to another request")),
        Body::Incomplete => Some((
            Promise::WholeAnswer,
            "an incomplete response was passed on as complete",
        )),
    });
    broken
        .map(|(promise, seen)| Violation::new(promise, call.id.as_ref(), seen))
        .collect()
}
