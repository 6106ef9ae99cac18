//! The command line of `rosemary-entry`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bpaf::Bpaf;

use crate::instance::Instance;
use crate::logs;
use crate::settings::{Layer, Settings};

/// How often the signal flag is polled.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One entry instance of the request router.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// A settings file in TOML; later files override earlier ones.
    #[bpaf(argument("FILE"))]
    pub settings: Vec<PathBuf>,
    /// The instance's name.
    #[bpaf(argument("NAME"))]
    pub name: Option<String>,
    /// The availability zone.
    #[bpaf(argument("ZONE"))]
    pub zone: Option<String>,
    /// The address where callers connect.
    #[bpaf(argument("ADDR"))]
    pub listen: Option<SocketAddr>,
    /// The address where other instances connect.
    #[bpaf(argument("ADDR"))]
    pub peer_listen: Option<SocketAddr>,
    /// The address of the platform's services.
    #[bpaf(argument("ADDR"))]
    pub platform: Option<SocketAddr>,
    /// Check the settings and exit.
    pub check: bool,
    /// Print the settings in force as TOML and exit.
    pub print_effective: bool,
}

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when a settings file cannot be read, a setting is invalid or an address cannot be bound.
pub fn run(args: Args) -> anyhow::Result<()> {
    let mut settings = Settings::default();
    for path in &args.settings {
        settings = settings.overlay(Layer::read(path)?);
    }
    let flags = Layer {
        name: args.name,
        zone: args.zone,
        listen: args.listen,
        peer_listen: args.peer_listen,
        platform: args.platform,
        ..Layer::default()
    };
    let settings = settings.overlay(flags);
    settings
        .check()
        .map_err(|faults| anyhow::anyhow!("settings: {}", faults.join("\nsettings: ")))?;
    if args.print_effective {
        print!("{}", toml::to_string(&settings)?);
        return Ok(());
    }
    if args.check {
        println!("settings are good");
        return Ok(());
    }
    logs::start(&settings.log_format);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let instance = Instance::start(settings)?;
    println!(
        "listening {} peers {}",
        instance.http_addr(),
        instance.peer_addr()
    );
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    instance.stop();
    Ok(())
}
