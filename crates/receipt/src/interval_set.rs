//! A compact set of integers.

use serde::{Deserialize, Serialize};

/// A set of integers stored as closed ranges, which are sorted and neither overlap nor touch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IntervalSet {
    ranges: Vec<(u64, u64)>,
}

impl IntervalSet {
    /// Adds a number and returns whether it was new.
    pub fn insert(&mut self, number: u64) -> bool {
        let index = self.ranges.partition_point(|range| range.1 < number);
        if self
            .ranges
            .get(index)
            .is_some_and(|range| range.0 <= number)
        {
            return false;
        }
        let joins_left = index > 0 && self.ranges[index - 1].1 + 1 == number;
        let joins_right = self
            .ranges
            .get(index)
            .is_some_and(|range| range.0 == number + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.ranges[index - 1].1 = self.ranges[index].1;
                self.ranges.remove(index);
            }
            (true, false) => self.ranges[index - 1].1 = number,
            (false, true) => self.ranges[index].0 = number,
            (false, false) => self.ranges.insert(index, (number, number)),
        }
        true
    }

    /// Returns whether a number is in the set.
    pub fn contains(&self, number: u64) -> bool {
        let index = self.ranges.partition_point(|range| range.1 < number);
        self.ranges
            .get(index)
            .is_some_and(|range| range.0 <= number)
    }

    /// Returns the number of ranges.
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }
}
