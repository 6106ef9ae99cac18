//! Admission of requests to an endpoint by priority class.

use kernel::Priority;

/// Load limits of an endpoint for each priority class, as shares of its slots.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionSettings {
    /// Limit for urgent requests; above 1, so that they may wait in the engine's queue.
    pub urgent_share: f64,
    /// Limit for normal requests.
    pub normal_share: f64,
    /// Limit for batch requests, which leaves slots free for the other classes.
    pub batch_share: f64,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            urgent_share: 1.25,
            normal_share: 1.0,
            batch_share: 0.8,
        }
    }
}

/// Admission control for the requests of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admission {
    settings: AdmissionSettings,
}

impl Admission {
    /// Creates admission control with the given limits.
    pub fn new(settings: AdmissionSettings) -> Admission {
        Admission { settings }
    }

    /// Returns whether one more request of a class fits on `slots` slots with `load` requests.
    pub fn admits(&self, priority: Priority, load: f64, slots: u32) -> bool {
        load + 1.0 <= self.limit(priority, slots)
    }

    /// Returns the highest load, the new request included, at which a class is admitted.
    pub fn limit(&self, priority: Priority, slots: u32) -> f64 {
        let share = match priority {
            Priority::Urgent => self.settings.urgent_share,
            Priority::Normal => self.settings.normal_share,
            Priority::Batch => self.settings.batch_share,
        };
        (f64::from(slots) * share).max(1.0)
    }
}
