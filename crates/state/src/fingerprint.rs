//! Fingerprint of a request: equal for all copies of a request, whichever daemon computes it.
//!
//! Two requests are copies if method, host, target, organisation and body are equal. Of a long body
//! only the first [`BODY_PREFIX_MAX`] bytes and the announced length count.

use std::fmt;
use std::hash::Hasher;

use siphasher::sip;

use crate::ids;

value! {
    /// Identifies the copies of a request.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Fingerprint {
        /// Hash of method, host, target, organisation and announced body length. It is known before
        /// the body.
        pub head: u64,
        /// Hash of the first bytes of the body.
        pub body: u64,
    }
}

/// Number of body bytes that the fingerprint depends on.
pub const BODY_PREFIX_MAX: usize = 64 * 1024;

/// Key of the hashes. Callers who do not know it cannot construct two requests with the same
/// fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key(u64, u64);

/// Parts of a request head that its fingerprint depends on.
#[derive(Debug, Clone, Copy)]
pub struct Head<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host in lower case, without port.
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Organisation that the request is accounted to.
    pub organisation: &'a ids::OrganisationName,
    /// Announced length of the body in bytes; 0 if it is not announced.
    pub body_size: u64,
}

impl Key {
    /// Derives the key from the secret that all daemons of a fleet share.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::fingerprint;
    /// let key = fingerprint::Key::from_secret("a secret");
    /// assert_eq!(key, fingerprint::Key::from_secret("a secret"));
    /// assert_ne!(key, fingerprint::Key::from_secret("another"));
    /// ```
    pub fn from_secret(secret: &str) -> Self {
        let hash = |domain| sip::SipHasher24::new_with_keys(domain, 0).hash(secret.as_bytes());
        Self(hash(0), hash(1))
    }

    /// Returns the hash of a request head.
    pub fn hash_head(self, head: &Head<'_>) -> u64 {
        let mut hasher = self.hasher();
        for part in [head.method, head.host, head.target, head.organisation] {
            hasher.write_u64(part.len() as u64);
            hasher.write(part.as_bytes());
        }
        hasher.write_u64(head.body_size);
        hasher.finish()
    }

    fn hasher(self) -> sip::SipHasher13 {
        sip::SipHasher13::new_with_keys(self.0, self.1)
    }
}

/// Hash of a body that arrives in pieces.
#[derive(Debug, Clone)]
pub struct BodyHasher {
    hasher: sip::SipHasher13,
    /// Bytes hashed so far.
    hashed: usize,
}

impl BodyHasher {
    /// Returns the hasher of a body of which nothing has arrived.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::fingerprint;
    /// let key = fingerprint::Key::from_secret("a secret");
    /// let (mut whole, mut parts) =
    ///     (fingerprint::BodyHasher::new(key), fingerprint::BodyHasher::new(key));
    /// whole.update(b"an order");
    /// parts.update(b"an ");
    /// parts.update(b"order");
    /// assert_eq!(whole.hash(), parts.hash());
    /// ```
    pub fn new(key: Key) -> Self {
        Self { hasher: key.hasher(), hashed: 0 }
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, data: &[u8]) {
        let counted = data.len().min(BODY_PREFIX_MAX - self.hashed);
        self.hasher.write(&data[..counted]);
        self.hashed += counted;
    }

    /// Returns whether further bytes of the body do not change the hash.
    pub fn is_full(&self) -> bool {
        self.hashed == BODY_PREFIX_MAX
    }

    /// Returns the hash of the bytes added so far.
    pub fn hash(&self) -> u64 {
        self.hasher.finish()
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.head, self.body)
    }
}
