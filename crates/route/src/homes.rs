//! Home regions: the only ones in which a request may run.

use std::sync::Arc;

use crate::route::Route;
use crate::workspace::Workspace;

/// Returns the home regions of a request, or `None` if neither its route nor its workspace has any. Where both
/// have some, only regions in both lists remain, which may be none.
pub fn common_homes(route: &Route, workspace: Option<&Workspace>) -> Option<Arc<[Arc<str>]>> {
    let of_workspace = workspace.and_then(|workspace| workspace.homes.as_ref());
    match (&route.homes, of_workspace) {
        (Some(homes), Some(others)) => {
            let common = homes.iter().filter(|home| others.contains(home));
            Some(common.cloned().collect())
        }
        (homes, others) => homes.as_ref().or(others).cloned(),
    }
}
