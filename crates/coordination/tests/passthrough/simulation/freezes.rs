//! Freezes of processes, as of a stopped virtual machine: a frozen process
//! handles no events, and its clock stands still.

use indexmap::IndexMap;

#[derive(Debug, Default)]
struct Freeze {
    until: u64,
    clock_lag_ms: u64,
}

/// The freezes of each process since its start.
#[derive(Debug, Default)]
pub struct Freezes(IndexMap<usize, Freeze>);

impl Freezes {
    pub fn freeze(&mut self, process: usize, now: u64, for_ms: u64) {
        let freeze = self.0.entry(process).or_default();
        let begin = now.max(freeze.until);
        let end = begin.max(now + for_ms);
        freeze.clock_lag_ms += end - begin;
        freeze.until = end;
    }

    /// Forgets the freezes of a process, as it was restarted.
    pub fn restart(&mut self, process: usize) {
        self.0.swap_remove(&process);
    }

    /// End of the current freeze; none: the process runs.
    pub fn until(&self, process: usize, now: u64) -> Option<u64> {
        let freeze = self.0.get(&process)?;
        (now < freeze.until).then_some(freeze.until)
    }

    /// End of the last freeze; zero: there was none.
    pub fn end(&self, process: usize) -> u64 {
        self.0.get(&process).map_or(0, |f| f.until)
    }

    /// How far the clock of a process is behind, in milliseconds.
    pub fn clock_lag_ms(&self, process: usize) -> u64 {
        self.0.get(&process).map_or(0, |f| f.clock_lag_ms)
    }
}
