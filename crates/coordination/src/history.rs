//! Recent policy records, kept in memory to serve daemons whose policy is older.

use std::collections;
use std::sync;

use lynxmast_protocol::control;
use lynxmast_state::ids;
use lynxmast_state::policy::edit;

/// Bounded buffer of consecutive policy records.
#[derive(Debug, Default)]
pub struct History {
    records: sync::Mutex<collections::VecDeque<control::PolicyRecord>>,
}

/// Records kept in memory.
const RECORDS_MAX: usize = 512;
/// Records returned by one call.
const BATCH_RECORDS_MAX: usize = 64;

impl History {
    /// Adds a record. If it does not directly follow the newest record, all earlier records are
    /// dropped, so that the buffer never has a gap.
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

    /// Returns a bounded number of records, starting at offset `from`. Returns `None` if the offset
    /// is older than the oldest record in memory, or if there are no records.
    pub fn since(&self, from: ids::Offset) -> Option<Vec<control::PolicyRecord>> {
        let records = self.lock();
        let first = records.front()?.offset;
        let skip = usize::try_from(from.checked_sub(first)?).ok()?;
        Some(records.iter().skip(skip).take(BATCH_RECORDS_MAX).cloned().collect())
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<control::PolicyRecord>> {
        self.records.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
