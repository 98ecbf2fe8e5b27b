//! Record of departed backend servers, so that a delayed announcement cannot register one again.

use indexmap::IndexMap;
use lynxmast_state::ids;

/// Newest departed incarnation of each instance; the instance recorded first is evicted first.
#[derive(Debug, Default)]
pub struct Departed {
    incarnations: IndexMap<ids::InstanceName, ids::Incarnation>,
}

/// Maximum number of instances recorded; a VM runs few, and they depart one at a time.
const INSTANCES_MAX: usize = 256;

impl Departed {
    /// Records that the incarnation of an instance and all earlier ones have departed.
    pub fn record(&mut self, instance: &ids::InstanceName, incarnation: ids::Incarnation) {
        if self.incarnations.len() >= INSTANCES_MAX {
            self.incarnations.shift_remove_index(0);
        }
        let newest = self.incarnations.entry(instance.clone()).or_insert(incarnation);
        *newest = (*newest).max(incarnation);
    }

    /// Returns whether an incarnation of an instance has departed.
    pub fn contains(&self, instance: &str, incarnation: ids::Incarnation) -> bool {
        self.incarnations.get(instance).is_some_and(|departed| incarnation <= *departed)
    }
}

#[cfg(test)]
mod tests;
