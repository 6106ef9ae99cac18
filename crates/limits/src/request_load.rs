//! Estimated load of a request on its endpoint.
//!
//! It handles a few long prompts among many short ones: during the prefill of a long prompt all
//! later requests wait, whereas its decoding hardly delays others.

/// Load of a response in progress, or of a plain request.
const RESPONSE_LOAD: f64 = 1.0;

/// Prefill time that counts as much as one response in progress: a response takes about this much
/// of the steps of its batch.
const PREFILL_UNIT_MS: f64 = 10.0;

/// Load of one request, where 1 is the load of a response in progress.
///
/// # Examples
///
/// ```
/// use limits::RequestLoad;
///
/// let load = RequestLoad::from_prefill_ms(100.0);
/// assert_eq!(load.prefill, 10.0);
/// assert_eq!(load.response, 1.0);
/// ```
#[derive(Debug)]
pub struct RequestLoad {
    /// Load until the response begins.
    pub prefill: f64,
    /// Load until the response ends.
    pub response: f64,
}

impl RequestLoad {
    /// Estimates the load from the time that the prompt's prefill takes on an idle endpoint, in
    /// milliseconds; 0 without a prompt.
    pub fn from_prefill_ms(prefill_ms: f64) -> RequestLoad {
        RequestLoad::from_prefill(prefill_ms / PREFILL_UNIT_MS)
    }

    /// Creates the load from that of the prefill.
    pub fn from_prefill(prefill: f64) -> RequestLoad {
        RequestLoad {
            prefill,
            response: RESPONSE_LOAD,
        }
    }
}
