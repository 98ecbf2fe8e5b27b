//! Policy of an organisation: keys, weight, rank and quota.

use std::fmt;
use std::str;

use sha2::Digest;

use crate::ids;
use crate::quota;
use crate::validation;

value! {
    /// An organisation: a customer that shares the fleet's services with other customers.
    #[serde(default, deny_unknown_fields)]
    pub struct Organisation {
        /// Name, unique in the policy document.
        pub name: ids::OrganisationName,
        /// SHA-256 of the organisation's key, in hexadecimal; empty if `key_hashes` is set.
        pub key_hash: String,
        /// SHA-256 of each of the organisation's keys, in hexadecimal, in addition to `key_hash`. An
        /// organisation without any key cannot send requests.
        pub key_hashes: Vec<String>,
        /// Weight in fair queueing: the share of a busy service's slots relative to the other
        /// organisations.
        pub weight: u32,
        /// Rank of all requests of the organisation, which takes precedence over the rank of the
        /// route; 0 is the highest priority. `None` for the rank of the route.
        pub rank: Option<u32>,
        /// Fleet-wide rate limit in requests per second; `None` for no limit.
        pub rate: Option<f64>,
        /// Requests that the organisation may send at once in addition to `rate`, in the whole
        /// fleet; `None` for those of [`BURST_DEFAULT_S`]. Has no effect without `rate`.
        pub burst: Option<f64>,
    }
}

impl Default for Organisation {
    fn default() -> Self {
        Self {
            name: "".into(),
            key_hash: String::new(),
            key_hashes: Vec::new(),
            weight: 1,
            rank: None,
            rate: None,
            burst: None,
        }
    }
}

/// SHA-256 of a key in binary form, which takes a third of the memory of the hexadecimal form.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of a key.
    pub fn of_key(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

/// Hides the hash: hashes must not appear in logs.
impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl str::FromStr for KeyHash {
    type Err = NotAHash;

    /// Parses the form that the policy document stores.
    fn from_str(text: &str) -> Result<Self, NotAHash> {
        if !is_hash(text) {
            return Err(NotAHash);
        }
        let mut hash = [0; 32];
        for (byte, digits) in hash.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let digits = str::from_utf8(digits).map_err(|_| NotAHash)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| NotAHash)?;
        }
        Ok(Self(hash))
    }
}

/// A text is not a hash in the form that the policy document stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAHash;

/// Organisation name under which requests without a key are counted.
pub const PUBLIC: &str = "public";
/// Default of `burst`, in seconds at `rate`.
pub const BURST_DEFAULT_S: f64 = 1.0;
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
        let not_a_hash = "is not a SHA-256 hash in 64 lower-case hexadecimal digits";
        let has_list = !self.key_hashes.is_empty();
        let is_valid = is_hash(&self.key_hash) || (self.key_hash.is_empty() && has_list);
        require(is_valid, "key-hash", not_a_hash.into());
        require(self.key_hashes.iter().all(|hash| is_hash(hash)), "key-hashes", not_a_hash.into());
        let weight_ok = (1..=WEIGHT_MAX).contains(&self.weight);
        require(
            weight_ok,
            "weight",
            format!("{} is not in the range 1 to {WEIGHT_MAX}", self.weight),
        );
        let rate_ok = self.rate.is_none_or(|r| r > 0.0 && r.is_finite());
        require(rate_ok, "rate", "is not a positive number of requests per second".into());
        let burst_ok = self.burst.is_none_or(|b| b >= 1.0 && b.is_finite());
        require(burst_ok, "burst", "is not a number of requests of at least 1".into());
        let has_rate = self.burst.is_none() || self.rate.is_some();
        require(has_rate, "burst", "has no effect without 'rate'".into());
    }

    /// Returns the hashes of all keys of the organisation.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::organisation;
    /// let key_hashes = vec![organisation::hash_key("a"), organisation::hash_key("b")];
    /// let organisation = organisation::Organisation { key_hashes, ..Default::default() };
    /// assert_eq!(organisation.hashes().count(), 2);
    /// ```
    pub fn hashes(&self) -> impl Iterator<Item = &String> {
        let single = Some(&self.key_hash).filter(|hash| !hash.is_empty());
        single.into_iter().chain(&self.key_hashes)
    }

    /// Returns the fleet-wide quota of the organisation; `None` without a limit.
    pub fn quota(&self) -> Option<quota::Limit> {
        let rate = self.rate?;
        let burst = self.burst.unwrap_or((rate * BURST_DEFAULT_S).max(1.0));
        Some(quota::Limit { rate, burst })
    }
}

fn is_hash(text: &str) -> bool {
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    text.len() == HASH_LENGTH && text.chars().all(is_digit)
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
