//! Messages between the ingresses and the owner of an organisation's quota.

use crate::ids;

value! {
    /// Request of an ingress for tokens of one organisation.
    pub struct Ask {
        /// Organisation whose requests the tokens are for.
        #[serde(rename = "o")]
        pub organisation: ids::OrganisationName,
        /// Unspent tokens that the ingress holds.
        #[serde(rename = "h")]
        pub held: u32,
        /// Number of the newest grant that the ingress has received; 0 without any.
        #[serde(rename = "s")]
        pub seq: u64,
        /// Tokens wanted in addition to those held, for requests that wait.
        #[serde(rename = "w")]
        pub wanted: u32,
        /// Further tokens wanted, for requests that are expected.
        #[serde(rename = "a")]
        pub advance: u32,
    }

    /// Tokens lent to an ingress.
    pub struct Grant {
        /// Organisation whose requests the tokens are for.
        #[serde(rename = "o")]
        pub organisation: ids::OrganisationName,
        /// Tokens lent.
        #[serde(rename = "t")]
        pub tokens: u32,
        /// Number of the grant; larger than that of all earlier ones to the same ingress.
        #[serde(rename = "s")]
        pub seq: u64,
        /// Time after which to ask again, in milliseconds; 0 if all wanted tokens were lent.
        #[serde(rename = "w")]
        pub wait_ms: u32,
    }
}

/// Maximum number of asks in one message.
pub const ASKS_MAX: usize = 64;
