//! Recent policy records, kept in memory for daemons that are behind.

use std::collections;
use std::sync;

use lynxmast_protocol::control;
use lynxmast_state::ids;
use lynxmast_state::policy::edit;

/// Bounded run of records without gaps.
#[derive(Debug, Default)]
pub struct History {
    records: sync::Mutex<collections::VecDeque<control::PolicyRecord>>,
}

/// Records kept.
const RECORDS_MAX: usize = 512;
/// Records handed out at a time.
const BATCH_MAX: usize = 64;

impl History {
    /// Adds a record; a gap to the newest one drops everything before it.
    pub fn push(&self, offset: ids::Offset, edit: edit::Edit) {
        let mut records = self.lock();
        if records.back().is_some_and(|newest| newest.offset + 1 != offset) {
            records.clear();
        }
        if records.len() == RECORDS_MAX {
            records.pop_front();
        }
        records.push_back(control::PolicyRecord { offset, edit });
    }

    /// Returns records from an offset on, or `None` where they are not kept.
    pub fn since(&self, from: ids::Offset) -> Option<Vec<control::PolicyRecord>> {
        let records = self.lock();
        let first = records.front()?.offset;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        Some(records.iter().skip(skip).take(BATCH_MAX).cloned().collect())
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<control::PolicyRecord>> {
        self.records.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
