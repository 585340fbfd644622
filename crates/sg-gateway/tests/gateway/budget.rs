//! Division of descriptors and memory.

use quickcheck::quickcheck;
use sg_gateway::{budget::Budget, settings::Limits};
use sg_types::prelude::Bytes;

const BASE: Bytes = Bytes::new(8 << 20);

fn limits(descriptors: u64, memory_mb: u64) -> Limits {
    Limits {
        max_descriptors: Some(descriptors),
        memory_mb: Some(memory_mb),
    }
}

#[test]
fn the_lower_limit_counts() {
    let own = Budget::divide(&limits(8_192, 512), 4_096, BASE);
    assert_eq!(own, Budget::divide(&limits(4_096, 512), 1 << 20, BASE));
    assert_eq!(own.descriptors, 4_096);
    let small = Budget::divide(&limits(8_192, 64), 1 << 20, BASE);
    assert!(small.callers < own.callers, "{small:?}");
}

/// Guards against buffers, state and unread bytes exceeding the memory of a small machine together.
#[test]
fn buffers_leave_room_for_the_rest_of_the_process() {
    for memory_mb in [112, 260, 512] {
        let budget = Budget::divide(&limits(2_870, memory_mb), 1 << 20, BASE);
        let receive_buffer = budget.receive_buffer.expect("a limit").get();
        let unread = receive_buffer * budget.callers as u64 / 2;
        let used = BASE.get() + budget.buffered.get() + unread;
        assert!(used < memory_mb << 20, "{budget:?}");
        assert!(budget.buffered.get() > (memory_mb << 20) / 2, "{budget:?}");
    }
}

quickcheck! {
    /// All uses fit into the limit together, with room for refused connections and sends in progress.
    fn parts_fit_into_the_whole(descriptors: u16, memory_mb: u16) -> bool {
        let descriptors = u64::from(descriptors) + 512;
        let budget = Budget::divide(&limits(descriptors, u64::from(memory_mb) + 16), 1 << 20, BASE);
        let used = budget.callers + budget.callers / 8 + budget.idle_targets + budget.auxiliary;
        (used as u64) < descriptors * 9 / 10
    }
}
