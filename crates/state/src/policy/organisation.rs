//! Policy of an organisation: key, weight and rate limit.

use sha2::Digest;

use crate::ids;
use crate::validation;

value! {
    /// An organisation: a customer that shares the fleet's services with other customers.
    #[serde(default, deny_unknown_fields)]
    pub struct Organisation {
        /// Name, unique in the policy document.
        pub name: ids::OrganisationName,
        /// SHA-256 of the organisation's key, in hexadecimal.
        pub key_hash: String,
        /// Weight in fair queueing: the share of a busy service's slots relative to the other
        /// organisations.
        pub weight: u32,
        /// Fleet-wide rate limit in requests per second; `None` for no limit.
        pub rate: Option<f64>,
    }
}

impl Default for Organisation {
    fn default() -> Self {
        Self { name: "".into(), key_hash: String::new(), weight: 1, rate: None }
    }
}

/// Organisation name under which requests without a key are counted.
pub const PUBLIC: &str = "public";
const WEIGHT_MAX: u32 = 1000;
const HASH_LENGTH: usize = 64;

impl Organisation {
    /// Reports every invalid value to `reader`.
    pub fn validate(&self, location: &validation::Location, reader: &mut validation::Reader<'_>) {
        let mut require = |is_valid: bool, key: &str, reason: String| {
            if !is_valid {
                reader.report(location, key, reason);
            }
        };
        require(!self.name.is_empty(), "name", "an organisation needs a name".into());
        require(
            &*self.name != PUBLIC,
            "name",
            format!("'{PUBLIC}' is reserved for callers without a key"),
        );
        let hash = &self.key_hash;
        let is_hash = hash.len() == HASH_LENGTH
            && hash.chars().all(|c| c.is_ascii_digit() || ('a'..='f').contains(&c));
        require(
            is_hash,
            "key-hash",
            "is not a SHA-256 hash in 64 lower-case hexadecimal digits".into(),
        );
        let weight_ok = (1..=WEIGHT_MAX).contains(&self.weight);
        require(
            weight_ok,
            "weight",
            format!("{} is not in the range 1 to {WEIGHT_MAX}", self.weight),
        );
        let rate_ok = self.rate.is_none_or(|r| r > 0.0 && r.is_finite());
        require(rate_ok, "rate", "is not a positive number of requests per second".into());
    }
}

/// Returns the hash of an organisation's key in the form that the policy document stores.
///
/// # Examples
///
/// ```
/// use lynxmast_state::policy::organisation;
/// assert!(organisation::hash_key("secret").starts_with("2bb80d537b1da3e3"));
/// ```
pub fn hash_key(key: &str) -> String {
    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
