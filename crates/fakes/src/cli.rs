//! The command line of `rosemary-fakes`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bpaf::Bpaf;
use catalog::Declarations;
use smol::Executor;

use crate::backends::{FakeBackends, FakeBackendsConfig};

/// Small stand-ins for the platform, model engines and plain services. For trials only.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// The directory of declarations whose pools get stand-in endpoints.
    #[bpaf(argument("DIR"))]
    pub declarations: PathBuf,
    /// Where the platform listens.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))), display_fallback)]
    pub platform: SocketAddr,
    /// How long a token or service call takes, in milliseconds.
    #[bpaf(argument("MS"), fallback(2), display_fallback)]
    pub token_ms: u64,
    /// Let endpoints listen on free ports, and put the declarations into the object API.
    pub free_ports: bool,
}

/// Runs the stand-ins until the process ends.
///
/// # Errors
///
/// Fails when the declarations are faulty or an address cannot be bound.
pub fn run(args: Args) -> anyhow::Result<()> {
    let declarations = Declarations::read_dir(&args.declarations).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })?;
    let executor = Arc::new(Executor::new());
    let plan = FakeBackendsConfig {
        declarations,
        platform_addr: args.platform,
        free_ports: args.free_ports,
        token_ms: args.token_ms,
    };
    let backends = FakeBackends::start(plan, &executor)?;
    if args.free_ports {
        for item in &backends.declarations.items {
            drop(backends.state.objects.put(
                &item.path(),
                item.value.clone(),
                store::Precondition::Any,
            ));
        }
    }
    println!("platform {}", backends.platform_addr);
    smol::block_on(executor.run(std::future::pending::<()>()));
    Ok(())
}
