//! Processor time and memory of this process, as reported by the kernel.

use std::fs;

/// Name of the threads that run instances.
pub const THREAD: &str = "sg-entry";
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the processor time of the instance threads so far, in microseconds.
pub fn instance_micros() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the kernel lists threads");
    tasks
        .filter_map(Result::ok)
        .filter(|task| {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            name.trim_end() == THREAD
        })
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split(' ').next()?.parse::<f64>().ok())
        .map(|nanos| nanos / 1_000.0)
        .sum()
}

/// Number of copies made before the measurement, which reuse memory that was freed earlier.
const WARM_UP_COPIES: usize = 4;
/// Number of measured copies. Several are measured together, since the kernel counts whole pages.
const MEASURED_COPIES: usize = 16;

/// Returns the memory per copy, in bytes. All copies live until the end, so that none reuses the
/// memory of an earlier one.
pub fn bytes_per_copy<T>(mut make: impl FnMut() -> T) -> f64 {
    let mut copies: Vec<T> = (0..WARM_UP_COPIES).map(|_| make()).collect();
    let before = resident_bytes();
    copies.extend((0..MEASURED_COPIES).map(|_| make()));
    (resident_bytes() - before) / MEASURED_COPIES as f64
}

/// Returns the processor time of this thread so far, in microseconds.
pub fn thread_micros() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel counts time");
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.map_or(0.0, |nanos: f64| nanos / 1_000.0)
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the kernel counts pages");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.map_or(0.0, |pages: f64| pages * PAGE_BYTES)
}
