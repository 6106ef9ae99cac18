//! The command line of `rosemary-fakes`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bpaf::Bpaf;
use catalog::Declarations;
use smol::Executor;

use crate::backends::{FakeBackends, FakeBackendsConfig};

/// Fake platform, model engines and plain services, for tests only.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Directory of declarations; each endpoint of their pools gets a fake.
    #[bpaf(argument("DIR"))]
    pub declarations: PathBuf,
    /// Address on which the platform listens.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))), display_fallback)]
    pub platform: SocketAddr,
    /// Time per generated token or service call, in milliseconds.
    #[bpaf(argument("MS"), fallback(2), display_fallback)]
    pub token_ms: u64,
    /// Let endpoints listen on free ports, and write the declarations to the object API.
    pub free_ports: bool,
}

/// Runs the fakes until the process ends.
///
/// # Errors
///
/// Fails when the declarations are invalid or an address cannot be bound.
pub fn run(args: Args) -> anyhow::Result<()> {
    let declarations = Declarations::read_dir(&args.declarations).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })?;
    let executor = Arc::new(Executor::new());
    let config = FakeBackendsConfig {
        declarations,
        platform_addr: args.platform,
        free_ports: args.free_ports,
        token_ms: args.token_ms,
    };
    let backends = FakeBackends::start(config, &executor)?;
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
