//! Policy of a route: the requests that it matches, their service, deadline and retries.

use std::time;

use crate::ids;
use crate::retry;
use crate::validation;

value! {
    /// One of the services that a route splits its requests over.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct SplitTarget {
        /// Service, defined in the same section.
        pub service: ids::ServiceName,
        /// Share of the requests, relative to the weights of the other targets.
        pub weight: u32,
    }

    /// A route, matched by host, path prefix and method.
    #[serde(default, deny_unknown_fields)]
    pub struct Route {
        /// Service, defined in the same section; empty if `split` is set.
        pub service: ids::ServiceName,
        /// Services that the requests are split over by weight; empty if `service` is set.
        pub split: Vec<SplitTarget>,
        /// Host in lower case without port.
        pub host: String,
        /// Path prefix; only whole path segments match.
        pub path: String,
        /// Methods in upper case; empty for all methods.
        pub methods: Vec<String>,
        /// Whether requests are idempotent, so that a request that may have run can be retried.
        pub idempotent: bool,
        /// Time limit from the arrival of the request to the headers of its response.
        #[serde(with = "humantime_serde")]
        pub deadline: time::Duration,
        /// Latency objective: time after which a response is worth less to the caller; 0 for none.
        #[serde(with = "humantime_serde")]
        pub objective: time::Duration,
        /// Priority rank among the routes of a service; 0 is the highest priority.
        pub rank: u32,
        /// Maximum number of attempts for one request, including the first one and hedges.
        pub attempts: u32,
        /// Whether callers without a key of an organisation may use the route.
        pub public: bool,
        /// Whether a public route also accepts a key that is unknown or belongs to an organisation of
        /// another team; such a request counts as one without a key.
        pub any_key: bool,
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
            any_key: false,
        }
    }
}

const DEADLINE_MIN: time::Duration = time::Duration::from_millis(1);
const DEADLINE_MAX: time::Duration = time::Duration::from_secs(24 * 3600);

impl Route {
    /// Reports every invalid value to `reader`.
    pub fn validate(&self, location: &validation::Location, reader: &mut validation::Reader<'_>) {
        let mut require = |is_valid: bool, key: &str, reason: &str| {
            if !is_valid {
                reader.report(location, key, reason.to_owned());
            }
        };
        let has_target = self.service.is_empty() != self.split.is_empty();
        require(has_target, "service", "a route needs either a service or a split");
        let has_weight = self.split.is_empty() || self.split.iter().any(|target| target.weight > 0);
        require(has_weight, "split", "at least one target needs a weight greater than 0");
        require(self.attempts > 0, "attempts", "must be at least 1");
        require(!self.host.is_empty(), "host", "a route needs a host");
        let is_normalised =
            !self.host.chars().any(|c| c.is_ascii_uppercase() || c == ':' || c == '/');
        require(is_normalised, "host", "must be in lower case, without scheme or port");
        require(self.path.starts_with('/'), "path", "must start with '/'");
        let is_upper = self.methods.iter().all(|m| m.chars().all(|c| c.is_ascii_uppercase()));
        require(is_upper, "methods", "must be in upper case");
        let in_range = (DEADLINE_MIN..=DEADLINE_MAX).contains(&self.deadline);
        require(in_range, "deadline", "is not in the range 1ms to 24h");
        require(
            self.public || !self.any_key,
            "any-key",
            "has no effect on a route that is not public",
        );
    }

    /// Returns the services of the route with their weights; a single service has weight 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::route;
    /// let route = route::Route { service: "cart".into(), ..Default::default() };
    /// assert_eq!(route.targets().count(), 1);
    /// ```
    pub fn targets(&self) -> impl Iterator<Item = (&ids::ServiceName, u32)> {
        let single = Some((&self.service, 1)).filter(|_| self.split.is_empty());
        single.into_iter().chain(self.split.iter().map(|target| (&target.service, target.weight)))
    }

    /// Returns whether the path and the method of a request match the route. Does not compare the
    /// host.
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
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        let Some(rest) = path.strip_prefix(self.path.as_str()) else { return false };
        method_matches && (rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'))
    }

    /// Returns whether this route matches every request that `other` matches, with at least the same
    /// precedence if it comes first.
    pub fn covers(&self, other: &Route) -> bool {
        let is_same_kind = self.methods.is_empty() == other.methods.is_empty();
        let has_methods = other.methods.iter().all(|method| self.methods.contains(method));
        self.host == other.host && self.path == other.path && is_same_kind && has_methods
    }

    /// Returns whether some request matches both routes with neither taking precedence over the
    /// other.
    pub fn overlaps(&self, other: &Route) -> bool {
        let methods_overlap = self.methods.is_empty() == other.methods.is_empty()
            && (self.methods.is_empty() || self.methods.iter().any(|m| other.methods.contains(m)));
        self.host == other.host && self.path == other.path && methods_overlap
    }
}
