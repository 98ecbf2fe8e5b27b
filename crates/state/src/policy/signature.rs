//! Ed25519 signatures of edits. Keys and signatures are written in hexadecimal.

use displaydoc::Display;
use ed25519_dalek::Signer;

use crate::policy::edit;

/// Key pair of a team.
pub struct TeamKey(ed25519_dalek::SigningKey);

/// Why a key cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KeyError {
    /// is not a key of 64 hexadecimal digits
    Malformed,
}

impl std::error::Error for KeyError {}

/// Domain separation: a signature of an edit is not valid for any other use of the key.
const DOMAIN_SEPARATOR: &[u8] = b"lynxmast-edit-1";

impl TeamKey {
    /// Creates a key pair from 32 random bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::signature;
    /// let key = signature::TeamKey::new([7; 32]);
    /// let same = signature::TeamKey::parse(&key.private_hex()).unwrap();
    /// assert_eq!(key.public_hex(), same.public_hex());
    /// ```
    pub fn new(seed: [u8; 32]) -> Self {
        Self(ed25519_dalek::SigningKey::from_bytes(&seed))
    }

    /// Parses a private key in hexadecimal; leading and trailing white space is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::Malformed`] if the text is not a private key.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut seed = [0; 32];
        hex::decode_to_slice(text.trim(), &mut seed).map_err(|_| KeyError::Malformed)?;
        Ok(Self::new(seed))
    }

    /// Returns the private key in hexadecimal.
    pub fn private_hex(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    /// Returns the public key in hexadecimal, as listed in sections.
    pub fn public_hex(&self) -> String {
        hex::encode(self.0.verifying_key().to_bytes())
    }

    /// Signs `edit` and stores the signature in it.
    pub fn sign(&self, edit: &mut edit::Edit) {
        edit.signature = hex::encode(self.0.sign(&signed_bytes(edit)).to_bytes());
    }
}

/// Returns whether `text` is a valid public key in hexadecimal.
pub fn is_public_key(text: &str) -> bool {
    parse_public(text).is_some()
}

/// Returns whether the signature of `edit` is valid for one of the public `keys`.
pub fn is_signed_by(edit: &edit::Edit, keys: &[String]) -> bool {
    let mut bytes = [0; 64];
    if hex::decode_to_slice(&edit.signature, &mut bytes).is_err() {
        return false;
    }
    let signature = ed25519_dalek::Signature::from_bytes(&bytes);
    let message = signed_bytes(edit);
    let public_keys = keys.iter().filter_map(|key| parse_public(key));
    public_keys.into_iter().any(|key| key.verify_strict(&message, &signature).is_ok())
}

fn parse_public(text: &str) -> Option<ed25519_dalek::VerifyingKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    ed25519_dalek::VerifyingKey::from_bytes(&bytes).ok()
}

/// Returns the bytes that are signed. Each field is prefixed with its length, so that no two edits
/// have the same bytes.
fn signed_bytes(edit: &edit::Edit) -> Vec<u8> {
    let base = edit.base.to_le_bytes();
    let fields =
        [DOMAIN_SEPARATOR, edit.id.as_bytes(), edit.team.as_bytes(), &base, edit.text.as_bytes()];
    let mut message = Vec::new();
    for field in fields {
        message.extend((field.len() as u64).to_le_bytes());
        message.extend(field);
    }
    message
}
