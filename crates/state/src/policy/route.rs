//! Policy of one route: which requests go to which service, and how.

use std::time;

use crate::checked;
use crate::ids;
use crate::retry;

value! {
    /// Part of a split route.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Part {
        /// Service of the same section that runs the part's requests.
        pub service: ids::ServiceName,
        /// Share of the requests, relative to the weights of the other parts.
        pub weight: u32,
    }

    /// A route, matched by host, path prefix and method.
    #[serde(default, deny_unknown_fields)]
    pub struct Route {
        /// Service of the same section that runs the requests; empty for a split route.
        pub service: ids::ServiceName,
        /// Services that share the requests by weight, in place of `service`.
        pub split: Vec<Part>,
        /// Host in lower case without port.
        pub host: String,
        /// Path prefix; matches whole path segments.
        pub path: String,
        /// Methods in upper case; empty for all.
        pub methods: Vec<String>,
        /// Whether a request may be run more than once.
        pub idempotent: bool,
        /// Time until the answer's head, from the request's arrival.
        #[serde(with = "humantime_serde")]
        pub deadline: time::Duration,
        /// Time within which an answer is worth most to the caller; 0 if none is stated.
        #[serde(with = "humantime_serde")]
        pub objective: time::Duration,
        /// Rank among the routes of a service; 0 is the most urgent.
        pub rank: u32,
        /// Upstreams that one request may be handed to at most.
        pub attempts: u32,
        /// Whether callers without an organisation's key may use the route.
        pub public: bool,
    }
}

impl Default for Route {
    fn default() -> Self {
        Self {
            service: "".into(),
            split: Vec::new(),
            host: String::new(),
            path: "/".into(),
            methods: Vec::new(),
            idempotent: false,
            deadline: time::Duration::from_secs(10),
            objective: time::Duration::ZERO,
            rank: 0,
            attempts: retry::ATTEMPTS_MAX,
            public: true,
        }
    }
}

const DEADLINE_MIN: time::Duration = time::Duration::from_millis(1);
const DEADLINE_MAX: time::Duration = time::Duration::from_secs(24 * 3600);

impl Route {
    /// Reports every value out of range.
    pub fn check(&self, place: &checked::Place, reader: &mut checked::Reader<'_>) {
        let mut rule = |holds: bool, key: &str, reason: &str| {
            if !holds {
                reader.report(place, key, reason.to_owned());
            }
        };
        let one_target = self.service.is_empty() != self.split.is_empty();
        rule(one_target, "service", "a route needs either a service or a split");
        let weights_ok = self.split.is_empty() || self.split.iter().any(|part| part.weight > 0);
        rule(weights_ok, "split", "at least one part needs a weight over 0");
        rule(self.attempts > 0, "attempts", "a request needs at least one attempt");
        rule(!self.host.is_empty(), "host", "a route needs a host");
        let lower = !self.host.chars().any(|c| c.is_ascii_uppercase() || c == ':' || c == '/');
        rule(lower, "host", "write the host in lower case, without scheme or port");
        rule(self.path.starts_with('/'), "path", "a path starts with '/'");
        let upper = self.methods.iter().all(|m| m.chars().all(|c| c.is_ascii_uppercase()));
        rule(upper, "methods", "write methods in upper case");
        let deadline_ok = (DEADLINE_MIN..=DEADLINE_MAX).contains(&self.deadline);
        rule(deadline_ok, "deadline", "is not in 1ms to 24h");
    }

    /// Returns the services that the route may lead to, with their weights.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::route;
    /// let route = route::Route { service: "cart".into(), ..Default::default() };
    /// assert_eq!(route.targets().count(), 1);
    /// ```
    pub fn targets(&self) -> impl Iterator<Item = (&ids::ServiceName, u32)> {
        let whole = Some((&self.service, 1)).filter(|_| self.split.is_empty());
        whole.into_iter().chain(self.split.iter().map(|part| (&part.service, part.weight)))
    }

    /// Tells whether the route takes a request; the host is matched by the caller.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::route;
    /// let route = route::Route { path: "/cart".into(), ..Default::default() };
    /// assert!(route.matches("/cart/items", "GET"));
    /// assert!(!route.matches("/cartography", "GET"));
    /// ```
    pub fn matches(&self, path: &str, method: &str) -> bool {
        let method_ok = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        let Some(rest) = path.strip_prefix(self.path.as_str()) else { return false };
        method_ok && (rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'))
    }

    /// Tells whether two routes take some of the same requests at equal precedence.
    pub fn collides(&self, other: &Route) -> bool {
        let methods = self.methods.is_empty() == other.methods.is_empty()
            && (self.methods.is_empty() || self.methods.iter().any(|m| other.methods.contains(m)));
        self.host == other.host && self.path == other.path && methods
    }
}
