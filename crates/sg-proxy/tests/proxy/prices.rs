//! Requests that are refused by price, where a route has large responses.

use sg_catalog::Route;
use sg_proxy::explain::{Asked, explain};
use sg_types::prelude::*;

use crate::harness::{Instance, OK, ScriptedTarget, Step, catalog, get, header, route, status};

/// Sends 40 requests at once, alternately urgent and not, to one target with four slots. Returns the
/// responses of both kinds and the number of requests that the target got.
async fn burst(has_large_responses: bool) -> (Instance, [Vec<String>; 2], usize) {
    let target = ScriptedTarget::start(vec![Step::RespondAfter(150, OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let mut catalog = catalog();
    catalog.revision = Revision::new(2);
    let bulk = Route {
        large_responses: has_large_responses,
        ..route("bulk", "/bulk/", true)
    };
    for (name, priority) in [("urgent", 0), ("later", 2)] {
        let route = Route {
            priority,
            ..route(name, &format!("/{name}/"), true)
        };
        catalog.add_route("h", route).expect("a known service");
    }
    catalog.add_route("h", bulk).expect("a known service");
    assert!(instance.core.replace_catalog(catalog));
    let instance = Arc::new(instance);
    let sends: Vec<_> = (0..40)
        .map(|index| {
            let kind = if index % 2 == 0 { "urgent" } else { "later" };
            let request = get(&format!("/{kind}/{index}"), &format!("r{index}"));
            let instance = instance.clone();
            tokio::spawn(async move { instance.send(&request).await })
        })
        .collect();
    let mut responses = [Vec::new(), Vec::new()];
    for (index, send) in sends.into_iter().enumerate() {
        responses[index % 2].push(send.await.expect("a response"));
    }
    let instance = Arc::into_inner(instance).expect("one owner");
    (instance, responses, target.count())
}

fn refused(responses: &[String]) -> Vec<&String> {
    let refused = responses.iter();
    refused.filter(|response| status(response) == 503).collect()
}

/// Guards against less urgent requests that take the slots of urgent ones, against refusals of requests
/// that ran, and against callers that all come back at once.
#[tokio::test]
async fn less_urgent_requests_are_refused_first() {
    let (instance, [urgent, later], sent) = burst(true).await;
    let counted = |priority| instance.core.metrics.refusals("price", priority);
    println!("by price: urgent {}, later {}", counted(0), counted(2));
    let (urgent_refused, later_refused) = (refused(&urgent), refused(&later));
    assert!(counted(2) > 0 && counted(2) >= counted(0));
    assert!(urgent_refused.len() < later_refused.len());
    assert_eq!(sent + urgent_refused.len() + later_refused.len(), 40);
    let mut pauses: Vec<_> = later_refused
        .iter()
        .map(|response| header(response, "retry-after").expect("a pause"))
        .collect();
    pauses.sort();
    pauses.dedup();
    assert!(pauses.len() > later_refused.len() / 2, "{pauses:?}");
}

/// Guards against a price where no route has large responses.
#[tokio::test]
async fn without_large_responses_nothing_is_refused_by_price() {
    let (instance, ..) = burst(false).await;
    let refusals = [0, 2].map(|priority| instance.core.metrics.refusals("price", priority));
    assert_eq!(refusals, [0, 0]);
}

/// Guards against an explanation that sends the request, or that changes what later requests get.
#[tokio::test]
async fn explanation_names_the_target_and_sends_nothing() {
    let (instance, ..) = burst(true).await;
    let asked = |path| Asked {
        host: "h",
        path,
        object: Some("object"),
        account: None,
    };
    let sent = instance.core.metrics.refusals("price", 2);
    for _ in 0..100 {
        let explanation = explain(&instance.core, &asked("/later/x")).expect("a route");
        assert_eq!(explanation.route.as_str(), "later");
        assert_eq!(explanation.targets[0].target.as_str(), "t0");
        assert_eq!(
            explanation.decision,
            Ok(explanation.targets[0].target.clone())
        );
    }
    assert_eq!(instance.core.metrics.refusals("price", 2), sent);
    let unknown = explain(&instance.core, &asked("/none/x"));
    assert_eq!(unknown.err(), Some(Reason::NoRoute));
    let keyed = explain(&instance.core, &asked("/keyed/x"));
    assert_eq!(keyed.err(), Some(Reason::KeyMissing));
}
