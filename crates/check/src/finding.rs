//! Findings and their codes.

use std::fmt;

/// What a finding says of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The entry is invalid.
    Error,
    /// The entry has no effect.
    NeverMatches,
    /// Two values cannot both take effect.
    Contradiction,
}

impl Class {
    /// Returns the name that is printed.
    pub fn name(self) -> &'static str {
        match self {
            Class::Error => "error",
            Class::NeverMatches => "never-matches",
            Class::Contradiction => "contradiction",
        }
    }
}

macro_rules! codes {
    ($($code:ident $name:literal $class:ident,)*) => {
        /// Code of a finding. The codes are stable, and OPERATIONS.md explains each.
        #[allow(missing_docs)]
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Code {
            $($code,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &[Code] = &[$(Code::$code,)*];

            /// Returns the name that is printed.
            pub fn name(self) -> &'static str {
                match self {
                    $(Code::$code => $name,)*
                }
            }

            /// Returns the class of the findings with this code.
            pub fn class(self) -> Class {
                match self {
                    $(Code::$code => Class::$class,)*
                }
            }
        }
    };
}

codes! {
    Syntax "syntax" Error,
    FieldMissing "field-missing" Error,
    FieldType "field-type" Error,
    NumberRange "number-range" Error,
    PrefixSlash "prefix-slash" Error,
    RouteUnreachable "route-unreachable" Error,
    RouteNoService "route-no-service" Error,
    ServiceUnknown "service-unknown" Error,
    ServiceDuplicate "service-duplicate" Error,
    WorkspaceDuplicate "workspace-duplicate" Error,
    KeyDuplicate "key-duplicate" Error,
    VersionNotAbove "version-not-above" Error,
    ServiceUnused "service-unused" NeverMatches,
    SplitZero "split-zero" NeverMatches,
    SplitAllZero "split-all-zero" NeverMatches,
    WorkspaceNoKeys "workspace-no-keys" NeverMatches,
    NotStreaming "not-streaming" NeverMatches,
    SizeUnknown "size-unknown" NeverMatches,
    ObjectiveAboveTimeout "objective-above-timeout" Contradiction,
    AttemptsAboveTimeout "attempts-above-timeout" Contradiction,
    GapAboveTimeout "gap-above-timeout" Contradiction,
    HeadAboveBody "head-above-body" Contradiction,
    ArrivalAboveIdle "arrival-above-idle" Contradiction,
    ColdRateLow "cold-rate-low" Contradiction,
    ColdIncomplete "cold-incomplete" Contradiction,
    HomeEmpty "home-empty" Contradiction,
    SlotsAboveConnections "slots-above-connections" Contradiction,
}

/// One finding in a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// What was found.
    pub code: Code,
    /// Path of the entry, or line and column of a syntax error.
    pub place: String,
    /// What is wrong and what the operator can change.
    pub message: String,
}

/// Findings up to a limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// The first findings.
    pub kept: Vec<Finding>,
    /// How many more there are.
    pub left_out: usize,
}

impl Findings {
    /// Returns how many findings there are, with those left out.
    pub fn count(&self) -> usize {
        self.kept.len() + self.left_out
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = self.code.class().name();
        let code = self.code.name();
        write!(f, "{class} [{code}] {}: {}", self.place, self.message)
    }
}
