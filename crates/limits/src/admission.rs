//! Whether a request may go to an endpoint now.

use kernel::Priority;

/// How full an endpoint may get for each priority class, as shares of its slots.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionSettings {
    /// For urgent work, waiting room at the engine included.
    pub urgent_share: f64,
    /// For normal work.
    pub normal_share: f64,
    /// For batch work.
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

/// Decides on the room left at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admission {
    settings: AdmissionSettings,
}

impl Admission {
    /// Makes a decider.
    pub fn new(settings: AdmissionSettings) -> Admission {
        Admission { settings }
    }

    /// Returns whether one more request of a class fits beside `load` requests on `slots` slots.
    pub fn admits(&self, priority: Priority, load: f64, slots: u32) -> bool {
        load + 1.0 <= self.limit(priority, slots)
    }

    /// Returns how many requests may be on an endpoint when one of a class is added.
    pub fn limit(&self, priority: Priority, slots: u32) -> f64 {
        let share = match priority {
            Priority::Urgent => self.settings.urgent_share,
            Priority::Normal => self.settings.normal_share,
            Priority::Batch => self.settings.batch_share,
        };
        (f64::from(slots) * share).max(1.0)
    }
}
