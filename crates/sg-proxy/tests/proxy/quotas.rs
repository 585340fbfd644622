//! Requests that wait for a token of their account's quota from other instances.

use sg_catalog::{Account, KeyDigest};
use sg_proxy::{
    core::{Fleet, Signal},
    quotas::Loan,
};
use sg_types::prelude::*;

use crate::harness::{Instance, OK, ScriptedTarget, Step, catalog, catalog_with_downloads, status};

fn name(name: &str) -> id::Instance {
    name.parse().expect("a name")
}

/// Starts one of three instances that hold equal parts of an account's quota of 1 request per second.
async fn start(has_large_responses: bool) -> (Arc<Instance>, ScriptedTarget) {
    let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let mut catalog = match has_large_responses {
        true => catalog_with_downloads(),
        false => catalog(),
    };
    catalog.revision = Revision::new(3);
    let account = Account {
        name: "saju71".parse().expect("a name"),
        rate: Some(Rate::per_second(1)),
        burst: 18,
        priority: None,
        home_regions: Arc::from([]),
    };
    let added = catalog.add_account(account, [KeyDigest::from_key("wide-key")]);
    added.expect("another account");
    assert!(instance.core.replace_catalog(catalog));
    let regions = [("far", "east"), ("near", "west")];
    let region = |(one, region): (&str, &str)| (name(one), region.parse().expect("a name"));
    instance.core.update_fleet(Fleet {
        instances: vec![name("far"), name("front-1"), name("near")],
        instance_regions: regions.into_iter().map(region).collect(),
        size: 3,
        budget_fraction: 1.0,
        ..Fleet::default()
    });
    (Arc::new(instance), target)
}

/// Sends a request and answers its asks, in turn, with these numbers of tokens. Returns the status and
/// the asked instances, each with whether a direct token was asked for.
async fn send(instance: &Arc<Instance>, replies: &[u32]) -> (u16, Vec<(id::Instance, bool)>) {
    let sender = instance.clone();
    let request =
        "GET /keyed/x HTTP/1.1\r\nhost: h\r\nid: a1\r\nkey: wide-key\r\nconnection: close\r\n\r\n";
    let response = tokio::spawn(async move { sender.send(request).await });
    let mut asked = Vec::new();
    for tokens in replies {
        let signal = instance.signals.lock().await.recv().await;
        let Some(Signal::BorrowToken {
            account,
            holder,
            asked_at,
        }) = signal
        else {
            panic!("{signal:?} instead of an ask");
        };
        asked.push((holder.clone(), asked_at.is_some()));
        let loan = Loan {
            from: holder,
            tokens: *tokens,
            asked_at,
        };
        instance.core.add_borrowed_tokens(&account, loan);
    }
    (status(&response.await.expect("a response")), asked)
}

/// Guards against a wait for another region while the own one has tokens, and against refusals while a
/// holder has tokens that was not asked.
#[tokio::test]
async fn holders_of_the_own_region_are_asked_first_and_all_of_them_before_a_refusal() {
    let (instance, _target) = start(true).await;
    let (near, far) = ((name("near"), true), (name("far"), true));
    let served = send(&instance, &[0, 1]).await;
    assert_eq!(served, (200, vec![near, far.clone()]));
    // The holder that had none is not asked again at once.
    assert_eq!(send(&instance, &[0]).await, (429, vec![far]));
    assert_eq!(send(&instance, &[]).await, (429, vec![]));
    let refused = |cause| instance.core.metrics.quota_refusals(cause);
    assert_eq!((refused("out-of-tokens"), refused("no-reply")), (2, 0));
}

/// Guards against a change for deployments without large responses.
#[tokio::test]
async fn tokens_are_not_direct_without_a_route_with_large_responses() {
    let (instance, _target) = start(false).await;
    let (status, asked) = send(&instance, &[1]).await;
    assert_eq!(status, 200);
    assert!(!asked[0].1);
}
