//! Backend servers that have departed, so that an announcement on its way cannot bring one back.

use indexmap::IndexMap;
use lynxmast_state::ids;

/// Newest start of each named backend server that has departed; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct Departed {
    incarnations: IndexMap<ids::InstanceName, ids::Incarnation>,
}

/// Departed backend servers remembered; a VM has few and they end one after the other.
const REMEMBERED_MAX: usize = 256;

impl Departed {
    /// Remembers that an instance departed in the given or an earlier start.
    pub fn note(&mut self, instance: &ids::InstanceName, incarnation: ids::Incarnation) {
        if self.incarnations.len() >= REMEMBERED_MAX {
            self.incarnations.shift_remove_index(0);
        }
        let known = self.incarnations.entry(instance.clone()).or_insert(incarnation);
        *known = (*known).max(incarnation);
    }

    /// Tells whether a start is known to have departed.
    pub fn covers(&self, instance: &str, incarnation: ids::Incarnation) -> bool {
        self.incarnations.get(instance).is_some_and(|departed| incarnation <= *departed)
    }
}

#[cfg(test)]
mod tests;
