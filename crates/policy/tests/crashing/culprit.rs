//! Requests, and the culprits among them that crash endpoints.

use policy::crash::Content;
use policy::crash::MAX_CRASHES;
use policy::crash::MIN_BODIES;
use policy::crash::Scope;

/// Endpoints that one attempt of a caller may run on.
pub const ATTEMPTS: u32 = 2;

/// The path that most requests share, and how many others there are.
const SHARED_PATH: u128 = 1;
const OTHER_PATHS: u128 = 20;
/// Of so many requests of others, one goes to another path than the shared one.
const OTHER_PATHS_DIVISOR: u128 = 5;
/// Of so many requests of others, one has a body that many send after other turns.
const SAME_BODY_DIVISOR: u128 = 20;
/// The first path of the culprits.
const CULPRIT_PATH: u128 = 1_000;

/// What crashes endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Culprit {
    /// The same request each time.
    Content(u128),
    /// The same body after another turn each time.
    Body(u128),
    /// A path, with another body each time.
    Path(u128),
    /// The same request each time, on the path that most share.
    SharedPath(u128),
}

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    pub content: Content,
    pub wider: Scope,
    pub is_culprit: bool,
}

impl Request {
    fn new(path: u128, body: u128, content: u128) -> Self {
        let digest = |width: u128, number: u128| Content((width << 120) | number);
        let resource = path << 64;
        Self {
            content: digest(0, resource | content),
            wider: Scope {
                body: digest(1, resource | body),
                resource: digest(2, resource),
            },
            is_culprit: false,
        }
    }

    /// Returns a request of others.
    pub fn innocent(number: u128) -> Self {
        let path = if number.is_multiple_of(OTHER_PATHS_DIVISOR) {
            SHARED_PATH + 1 + number / OTHER_PATHS_DIVISOR % OTHER_PATHS
        } else {
            SHARED_PATH
        };
        let body = if number.is_multiple_of(SAME_BODY_DIVISOR) {
            0
        } else {
            number
        };
        Self::new(path, body, number)
    }
}

impl Culprit {
    /// Returns the next request that crashes endpoints.
    pub fn request(self, number: u128) -> Request {
        let request = match self {
            Self::Content(which) => Request::new(CULPRIT_PATH + which, which, which),
            Self::Body(which) => Request::new(CULPRIT_PATH + which, which, number),
            Self::Path(which) => Request::new(CULPRIT_PATH + which, number, number),
            Self::SharedPath(which) => {
                let digits = (1 << 60) + which;
                Request::new(SHARED_PATH, digits, digits)
            }
        };
        Request {
            is_culprit: true,
            ..request
        }
    }

    /// Returns how many endpoints may crash before it is refused everywhere: under one content as many
    /// as tell it from others; then under one attempt of the next program that sends the body, or under
    /// one attempt for each body that goes to the path.
    pub const fn max_crashes(self) -> usize {
        match self {
            Self::Content(_) | Self::SharedPath(_) => MAX_CRASHES,
            Self::Body(_) => MAX_CRASHES + ATTEMPTS as usize,
            Self::Path(_) => MIN_BODIES * ATTEMPTS as usize,
        }
    }
}
