//! Policy of the fleet under test, and the requests that its routes take.

use std::time;

use lynxmast_state::policy::organisation;
use lynxmast_state::quota;

/// Host of all soak requests.
pub const HOST: &str = "soak.example";
/// Path of the idempotent route.
pub const IDEMPOTENT_PATH: &str = "/read";
/// Path of the route whose requests must not run twice.
pub const NON_IDEMPOTENT_PATH: &str = "/buy";
/// Path of the idempotent route whose requests crash the backend server that runs them.
pub const CRASHING_PATH: &str = "/crash";
/// Path of the idempotent route of the organisation with a quota.
pub const QUOTA_PATH: &str = "/quota";
/// Key of the organisation with a quota.
pub const QUOTA_KEY: &str = "key-of-the-limited-organisation";
/// Quota of the organisation.
pub const QUOTA: quota::Limit = quota::Limit { rate: 10.0, burst: 10.0 };
/// Path of the route whose requests need a key.
pub const KEYED_PATH: &str = "/keyed";
/// Deadline of all routes.
pub const DEADLINE: time::Duration = time::Duration::from_secs(2);
/// Service of all backend servers.
pub const SERVICE: &str = "shop";

/// Returns the key that is valid from an edit on until the next one.
pub fn key(edit: u64) -> String {
    format!("soak-key-{edit}")
}

/// Returns the policy section of an edit. Edits differ in the key of the organisation and in the
/// queue limit, which the soak's load does not reach.
pub fn section(edit: u64) -> String {
    format!(
        "team = 'soak'\n[[service]]\nname = '{SERVICE}'\nramp = '0s'\nqueue = {}\n\
         [[route]]\nservice = '{SERVICE}'\nhost = '{HOST}'\npath = '{CRASHING_PATH}'\nidempotent = true\npublic = true\n\
         deadline = '2s'\n\
         [[route]]\nservice = '{SERVICE}'\nhost = '{HOST}'\npath = '{IDEMPOTENT_PATH}'\nidempotent = true\npublic = true\n\
         deadline = '2s'\n\
         [[route]]\nservice = '{SERVICE}'\nhost = '{HOST}'\npath = '{NON_IDEMPOTENT_PATH}'\npublic = true\ndeadline = '2s'\n\
         [[route]]\nservice = '{SERVICE}'\nhost = '{HOST}'\npath = '{KEYED_PATH}'\npublic = false\ndeadline = '2s'\n\
         [[route]]\nservice = '{SERVICE}'\nhost = '{HOST}'\npath = '{QUOTA_PATH}'\nidempotent = true\n\
         deadline = '2s'\n\
         [[organisation]]\nname = 'soak'\nkey-hash = '{}'\n\
         [[organisation]]\nname = 'limited'\nkey-hash = '{}'\nrate = {:?}\nburst = {:?}\n",
        100 + edit % 100,
        organisation::hash_key(&key(edit)),
        organisation::hash_key(QUOTA_KEY),
        QUOTA.rate,
        QUOTA.burst
    )
}
