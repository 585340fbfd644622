//! Tests of publishing, loading and history on a store with injected faults.

use sg_store::{Store, change, head, history, key, load, memory::Fault, publish};
use sg_tree::Digest;
use sg_types::prelude::*;

use super::{options, store, tree};

/// Publishing must keep earlier revisions readable.
#[tokio::test(start_paused = true)]
async fn a_published_tree_is_loaded_with_its_history() {
    let store = store();
    for base in 0..3 {
        let tree = tree(&format!("{}s", base + 1));
        publish::publish(&store, &tree, options(base, u128::from(base)))
            .await
            .expect("accepted");
    }
    let loaded = load::load(&store).await.expect("loads");
    assert_eq!(loaded.head.revision, Revision::new(3));
    assert_eq!(loaded.tree, tree("3s"));
    let earlier = history::load(&store, Revision::new(1)).await.expect("kept");
    assert_eq!(earlier.tree, tree("1s"));
    let revisions: Vec<_> = history::list(&store).await.expect("lists");
    assert_eq!(revisions.len(), 3);
}

/// The response to a chunk, to the history entry or to the head may be lost. The change must be
/// recognized as accepted by its id.
#[tokio::test(start_paused = true)]
async fn a_lost_response_to_any_write_is_recovered() {
    for lost_responses in 0..4 {
        let store = store();
        let first = options(0, 1);
        publish::publish(&store, &tree("1s"), first)
            .await
            .expect("accepted");
        store.set_fault(Fault {
            lose_responses: lost_responses,
            ..Fault::default()
        });
        let outcome = publish::publish(&store, &tree("2s"), options(1, 2)).await;
        let outcome = outcome.expect("accepted in spite of lost responses");
        assert_eq!(
            outcome.head.revision,
            Revision::new(2),
            "lost {lost_responses}"
        );
        let loaded = load::load(&store).await.expect("loads");
        assert_eq!(loaded.head.change, change::Id::new(2));
    }
}

/// The operator publishes the change again after the responses of the store were lost, while
/// another operator has already published the next revision.
#[tokio::test(start_paused = true)]
async fn a_change_with_unknown_result_is_applied_once_when_republished() {
    let store = store();
    publish::publish(&store, &tree("1s"), options(0, 1))
        .await
        .expect("accepted");
    let lossy = store.connect();
    lossy.set_fault(Fault {
        lose_responses: u32::MAX,
        key_prefix: head::KEY,
        ..Fault::default()
    });
    let error = publish::publish(&lossy, &tree("2s"), options(1, 2))
        .await
        .expect_err("the result is unknown");
    assert!(
        matches!(error, publish::Error::ResultUnknown { change, .. } if change == change::Id::new(2))
    );
    publish::publish(&store, &tree("3s"), options(2, 3))
        .await
        .expect("another operator publishes the next revision");
    let again = publish::publish(&store, &tree("2s"), options(1, 2)).await;
    assert_eq!(again.expect("found").head.revision, Revision::new(2));
    assert_eq!(load::load(&store).await.expect("loads").tree, tree("3s"));
}

/// Two changes to the same revision must not both be accepted. The rejected operator gets the
/// accepted tree.
#[tokio::test(start_paused = true)]
async fn of_two_concurrent_changes_one_is_rejected_with_the_accepted_tree() {
    let store = store();
    publish::publish(&store, &tree("1s"), options(0, 1))
        .await
        .expect("accepted");
    let slow = store.connect();
    slow.set_fault(Fault {
        delay: Span::from_millis(50),
        ..Fault::default()
    });
    let (a, b) = tokio::join!(
        async { publish::publish(&store, &tree("2s"), options(1, 2)).await },
        async { publish::publish(&slow, &tree("9s"), options(1, 3)).await },
    );
    assert_eq!(a.expect("accepted").head.revision, Revision::new(2));
    match b.expect_err("a conflict") {
        publish::Error::Conflict {
            accepted,
            tree: found,
        } => {
            assert_eq!(accepted.change, change::Id::new(2));
            assert_eq!(*found, tree("2s"));
        }
        error => panic!("{error}"),
    }
}

/// A faulty tool replaces a chunk with a different valid tree.
#[tokio::test(start_paused = true)]
async fn a_tree_that_does_not_match_its_digest_is_rejected() {
    let store = store();
    publish::publish(&store, &tree("1s"), options(0, 1))
        .await
        .expect("accepted");
    let page = store.list("sg/tree/1/").await.expect("lists");
    store.overwrite(&page.entries[0].key, r#"{"deadline":"7s"}"#);
    let error = load::load(&store).await.expect_err("corrupt");
    assert!(matches!(error, load::Error::Corrupt { .. }), "{error}");
}

/// Chunks and heads of expired revisions must be removed from the store.
#[tokio::test(start_paused = true)]
async fn the_history_is_limited() {
    let store = store();
    for base in 0..history::MAX_REVISIONS + 5 {
        publish::publish(&store, &tree("1s"), options(base, u128::from(base)))
            .await
            .expect("accepted");
    }
    let heads = history::list(&store).await.expect("lists");
    assert_eq!(heads.len() as u64, history::MAX_REVISIONS);
    let all = store.list("sg/tree/").await.expect("lists");
    assert_eq!(
        all.entries.len() as u64,
        2 * history::MAX_REVISIONS,
        "a chunk and a head each"
    );
}

/// A key that is logged with its `Debug` form must not leak.
#[test]
fn keys_have_the_prefix_and_are_hidden_in_debug_output() {
    let key = key::generate();
    let text = key.to_string();
    assert!(text.starts_with(key::PREFIX));
    assert_ne!(text, key::generate().to_string());
    assert_eq!(key.digest(), Digest::of(&text));
    assert!(!format!("{key:?}").contains(&text[key::PREFIX.len()..]));
}
