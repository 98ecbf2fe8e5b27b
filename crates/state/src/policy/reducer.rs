//! Deterministic reducer of the policy log: every daemon that applies the same records has the same
//! policy and the same verdicts.

use indexmap::IndexMap;

use crate::ids;
use crate::policy::document;
use crate::policy::edit;
use crate::policy::section;
use crate::policy::signature;

value! {
    /// Policy and verdicts after applying the policy stream up to an offset.
    #[derive(Default)]
    pub struct Reducer {
        /// Offset of the next record to apply.
        pub next: ids::Offset,
        /// Version of the newest accepted edit; 0 before the first.
        pub version: ids::PolicyVersion,
        /// Active document.
        pub document: document::Document,
        /// Version of each section, by team.
        pub versions: IndexMap<ids::TeamName, ids::PolicyVersion>,
        /// Recent verdicts by edit id, oldest first; used to skip duplicates and to report the
        /// verdict to the publisher.
        pub verdicts: IndexMap<String, edit::Verdict>,
    }
}

/// Number of verdicts kept. A duplicate that follows after more edits than this is evaluated again
/// and rejected because its base version is outdated.
const VERDICTS_MAX: usize = 4096;

impl Reducer {
    /// Applies the edit at `offset` of the policy stream and returns its verdict.
    ///
    /// Returns `None` and changes nothing if the offset has been applied already. If the edit's id
    /// already has a verdict, returns that verdict and leaves the policy unchanged.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::{edit, reducer};
    ///
    /// let mut reducer = reducer::Reducer::default();
    /// let text = "team = 'media'".to_string();
    /// let edit = edit::Edit { id: "1".into(), team: "media".into(), base: 0, text, signature: String::new() };
    /// assert_eq!(reducer.apply(0, &edit), Some(edit::Verdict::Accepted { version: 1 }));
    /// assert_eq!(reducer.apply(1, &edit), Some(edit::Verdict::Accepted { version: 1 }));
    /// assert_eq!(reducer.version, 1);
    /// ```
    pub fn apply(&mut self, offset: ids::Offset, edit: &edit::Edit) -> Option<edit::Verdict> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        if let Some(first) = self.verdicts.get(&edit.id) {
            return Some(first.clone());
        }
        let verdict = self.evaluate(offset, edit);
        if self.verdicts.len() == VERDICTS_MAX {
            self.verdicts.shift_remove_index(0);
        }
        self.verdicts.insert(edit.id.clone(), verdict.clone());
        Some(verdict)
    }

    /// Skips the record at `offset`, which cannot be decoded.
    pub fn skip(&mut self, offset: ids::Offset) {
        self.next = self.next.max(offset + 1);
    }

    /// Evaluates an edit and, if it is accepted, applies it to the document.
    fn evaluate(&mut self, offset: ids::Offset, edit: &edit::Edit) -> edit::Verdict {
        if !self.is_authorised(edit) {
            let reason = "signature: does not match any key of the team's active section";
            return edit::Verdict::Invalid { problems: vec![reason.into()] };
        }
        let newest = self.versions.get(&edit.team).copied().unwrap_or(0);
        if edit.base != newest {
            return edit::Verdict::Conflict { newest };
        }
        let section = match self.validate(edit) {
            Ok(section) => section,
            Err(problems) => return edit::Verdict::Invalid { problems },
        };
        self.version = offset + 1;
        self.versions.insert(edit.team.clone(), self.version);
        self.document.sections.insert(edit.team.clone(), section);
        edit::Verdict::Accepted { version: self.version }
    }

    /// Returns whether the edit is signed by a key of the team's active section. Without an active
    /// section, or without keys in it, anyone who can append to the log may edit the section.
    fn is_authorised(&self, edit: &edit::Edit) -> bool {
        let section = self.document.sections.get(&edit.team);
        section.is_none_or(|section| {
            section.keys.is_empty() || signature::is_signed_by(edit, &section.keys)
        })
    }

    /// Parses the section of an edit and checks its size and team, that an edit which adds the
    /// first keys is signed by one of them, and that its names are unique in the document.
    ///
    /// # Errors
    ///
    /// Returns one line per problem.
    fn validate(&self, edit: &edit::Edit) -> Result<section::Section, Vec<String>> {
        if edit.text.len() > edit::Edit::TEXT_MAX_BYTES {
            return Err(vec![format!("text: larger than {} bytes", edit::Edit::TEXT_MAX_BYTES)]);
        }
        let to_lines = |problems: Vec<crate::validation::Problem>| {
            problems.iter().map(ToString::to_string).collect::<Vec<_>>()
        };
        let section = section::Section::parse(&edit.text).map_err(to_lines)?;
        if section.team != edit.team {
            let reason = format!(
                "team: team '{}' may not change the section of team '{}'",
                edit.team, section.team
            );
            return Err(vec![reason]);
        }
        if !section.keys.is_empty() && !signature::is_signed_by(edit, &section.keys) {
            let had_keys =
                self.document.sections.get(&edit.team).is_some_and(|s| !s.keys.is_empty());
            if !had_keys {
                return Err(vec![
                    "keys: the first edit that adds keys must be signed by one of them".into(),
                ]);
            }
        }
        let conflicts = self.document.name_conflicts(&section);
        if conflicts.is_empty() { Ok(section) } else { Err(to_lines(conflicts)) }
    }
}
