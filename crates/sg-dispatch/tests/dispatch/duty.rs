//! All instances name the same dispatcher, and few services move when an instance leaves.

use sg_dispatch::duty::{Candidate, dispatcher};
use sg_types::prelude::*;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

/// Returns the dispatchers of 40 services among instances with these numbers and memory sizes.
fn named(instances: &[(u32, u64)]) -> Vec<Option<u32>> {
    let names: Vec<id::Instance> = instances
        .iter()
        .map(|(number, _)| name(&format!("front-{number}")))
        .collect();
    let candidates = names.iter().zip(instances);
    let candidates: Vec<Candidate<'_>> = candidates
        .map(|(instance, (_, memory_mb))| Candidate {
            instance,
            memory_mb: *memory_mb,
        })
        .collect();
    let services = (0..40).map(|service| name(&format!("service-{service}")));
    let named = services.map(|service| dispatcher(&service, &name("west"), &candidates));
    named
        .map(|index| index.map(|index| instances[index].0))
        .collect()
}

/// Instances that hear the others in different orders must ask the same dispatcher.
#[test]
fn order_of_the_candidates_does_not_matter() {
    assert_eq!(
        named(&[(1, 256), (2, 256), (3, 300)]),
        named(&[(3, 300), (1, 256), (2, 256)])
    );
}

#[test]
fn only_the_services_of_a_leaving_instance_move() {
    let all = named(&[(1, 0), (2, 0), (3, 0), (4, 0)]);
    let rest = named(&[(1, 0), (2, 0), (4, 0)]);
    let moved = all
        .iter()
        .zip(&rest)
        .filter(|(before, after)| before != after);
    assert!(moved.clone().count() > 0);
    assert!(moved.into_iter().all(|(before, _)| *before == Some(3)));
}

/// A dispatcher handles the messages of a whole region, which the smallest machines have no processor time for.
#[test]
fn small_instances_do_not_dispatch_beside_large_ones() {
    let named = named(&[(1, 112), (2, 512), (3, 260)]);
    assert!(named.contains(&Some(2)) && named.contains(&Some(3)));
    assert!(!named.contains(&Some(1)));
}

#[test]
fn no_candidate_no_dispatcher() {
    assert!(named(&[]).iter().all(Option::is_none));
}
