//! Fields of a configuration, and their names as the operator writes them.

/// A field of a configuration.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    Version,
    Routes,
    Services,
    Limits,
    Workspaces,
    Host,
    Prefix,
    Kind,
    Timeout,
    Objective,
    Priority,
    Sizes,
    Service,
    Split,
    Weight,
    MaxAttempts,
    Public,
    Affinity,
    Resumable,
    MaxGap,
    HealthPath,
    MaxConnections,
    ColdStart,
    ColdRate,
    Engine,
    Slots,
    KvCache,
    Models,
    Cost,
    MaxHead,
    MaxBody,
    ArrivalTimeout,
    IdleTimeout,
    Keys,
    Homes,
}

/// Returns the name of a field as the operator writes it.
pub type Names = fn(Field) -> &'static str;
