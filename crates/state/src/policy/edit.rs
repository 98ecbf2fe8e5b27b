//! Edits of the policy document and their verdicts.

use crate::ids;

value! {
    /// Proposed new text of one team's section, as appended to the log.
    pub struct Edit {
        /// Idempotency key: an edit that is appended several times is applied once.
        pub id: String,
        /// Team whose section is replaced.
        pub team: ids::TeamName,
        /// Version of the section that the edit is based on; 0 if the team has no section yet.
        pub base: ids::PolicyVersion,
        /// TOML text of the new section.
        pub text: String,
        /// Signature with a key of the team, in hexadecimal; empty if the edit is not signed.
        pub signature: String,
    }

    /// Result of applying an edit.
    pub enum Verdict {
        /// The edit was applied.
        Accepted {
            /// Policy version with the edit applied.
            version: ids::PolicyVersion,
        },
        /// The edit is not based on the newest version of the section.
        Conflict {
            /// Newest version of the section when the edit was evaluated.
            newest: ids::PolicyVersion,
        },
        /// The edit is not authorised, or its section is invalid or conflicts with another one.
        Invalid {
            /// One line per problem.
            problems: Vec<String>,
        },
    }
}

impl Edit {
    /// Maximum size of the text of a section.
    pub const TEXT_MAX_BYTES: usize = 4 * 1024 * 1024;
}
