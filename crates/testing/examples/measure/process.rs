//! Runtimes by role, the CPU time of their threads, and the memory of the process.

use std::fs;
use std::time;

use tokio::runtime;

/// Returns a runtime whose worker threads are named after `role`.
pub fn runtime(role: &'static str, threads: usize) -> runtime::Runtime {
    let mut builder = runtime::Builder::new_multi_thread();
    builder.worker_threads(threads).thread_name(role).enable_all();
    builder.build().expect("worker threads")
}

/// Unit of the CPU times in `/proc/*/stat`: clock ticks per second.
const CPU_TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time used by the threads of a role.
pub fn cpu_time(role: &str) -> time::Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return time::Duration::ZERO };
    let stats =
        threads.filter_map(|thread| fs::read_to_string(thread.ok()?.path().join("stat")).ok());
    let cpu_ticks: f64 = stats.filter_map(|stat| cpu_ticks(&stat, role)).sum();
    time::Duration::from_secs_f64(cpu_ticks / CPU_TICKS_PER_SECOND)
}

/// Parses the user and system time, in clock ticks, from the `stat` file of a thread. Returns
/// `None` if the thread is not named `role`.
fn cpu_ticks(stat: &str, role: &str) -> Option<f64> {
    let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let mut next = || fields.next()?.parse::<f64>().ok();
    (name == role).then_some(())?;
    Some(next()? + next()?)
}

/// Returns the resident memory of the process in bytes; 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
