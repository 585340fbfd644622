//! Processor time and memory of this process, as the kernel counts them.

use std::fs;

/// The name of the threads that instances run on.
pub const THREAD: &str = "sg-entry";
/// The size of a page of memory, in bytes.
const PAGE: f64 = 4_096.0;

/// Processor time of the threads of the instances so far, in microseconds.
pub fn micros() -> f64 {
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

/// Copies that use up the memory that was freed before, uncounted.
const FIRST: usize = 4;
/// Copies whose memory is counted together, since the kernel counts whole pages.
const COUNTED: usize = 16;

/// Bytes of memory of each of many copies. All live until the end, so that none takes the place of
/// an earlier one.
pub fn bytes_of<T>(mut make: impl FnMut() -> T) -> f64 {
    let mut copies: Vec<T> = (0..FIRST).map(|_| make()).collect();
    let before = resident();
    copies.extend((0..COUNTED).map(|_| make()));
    (resident() - before) / COUNTED as f64
}

/// Processor time of this thread so far, in microseconds.
pub fn own_micros() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel counts time");
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.map_or(0.0, |nanos: f64| nanos / 1_000.0)
}

/// Resident memory of this process, in bytes.
pub fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the kernel counts pages");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.map_or(0.0, |pages: f64| pages * PAGE)
}
