//! The command line of `rosemaryctl`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use http_types::Method;
use serde_json::json;

use crate::error::{CommandError, ExitStatus};
use crate::output::Output;
use crate::{apply, client, platform, propagation, receipts, resource};

/// Declare and inspect the router's resources.
///
/// Exit codes: 0 success, 1 a service or file could not be reached or read, 2 invalid declarations
/// or arguments, 3 another operator changed the same resource, 4 timeout before the change was in
/// force on all instances.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Address of the platform.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))), display_fallback)]
    platform: SocketAddr,
    /// Address of an entry instance.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7001))), display_fallback)]
    entry: SocketAddr,
    /// Output format: table or json.
    #[bpaf(short, long, argument("FORM"), fallback(Output::Table))]
    output: Output,
    #[bpaf(external)]
    command: Command,
}

/// Commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Validate declarations.
    #[bpaf(command)]
    Validate {
        /// Directory of declarations.
        #[bpaf(short('f'), long("files"), argument("DIR"))]
        files: PathBuf,
    },
    /// Show the changes that apply would make.
    #[bpaf(command)]
    Diff {
        /// Directory of declarations.
        #[bpaf(short('f'), long("files"), argument("DIR"))]
        files: PathBuf,
        /// Delete resources that are not declared.
        prune: bool,
    },
    /// Write the declarations that differ. Applying the same files again changes nothing.
    #[bpaf(command)]
    Apply {
        /// Directory of declarations.
        #[bpaf(short('f'), long("files"), argument("DIR"))]
        files: PathBuf,
        /// Delete resources that are not declared.
        prune: bool,
        /// Wait until the change is in force on every instance.
        wait: bool,
        /// Maximum wait, in milliseconds.
        #[bpaf(argument("MS"), fallback(19_000), display_fallback)]
        timeout_ms: u64,
    },
    /// Show resources with their status.
    #[bpaf(command)]
    Get {
        /// Kind of resource: model, pool, version, policy, workspace, experiment or rollout.
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the resource; all of the kind if left out.
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
    /// Print changes of configuration and status as they happen.
    #[bpaf(command)]
    Watch {
        /// Exit after this many changes.
        #[bpaf(argument("N"))]
        count: Option<usize>,
    },
    /// Pause, resume or withdraw a roll-out.
    #[bpaf(command)]
    Rollout {
        /// Action: pause, resume or withdraw.
        #[bpaf(positional("ACTION"))]
        action: String,
        /// Name of the roll-out.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Withdraw a version permanently.
    #[bpaf(command)]
    Withdraw {
        /// Name of the version.
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Stop sending new calls to an endpoint.
    #[bpaf(command)]
    Drain {
        /// Endpoint, as POOL/NAME.
        #[bpaf(positional("POOL/NAME"))]
        endpoint: String,
    },
    /// Add a new signing key for sessions; the previous key stays valid.
    #[bpaf(command("rotate-keys"))]
    RotateKeys,
    /// Show all instances with the configuration revision in force.
    #[bpaf(command)]
    Instances,
    /// Show the addresses that callers should use.
    #[bpaf(command)]
    Address,
    /// Open a session.
    #[bpaf(command)]
    Session {
        /// File that contains the workspace's bearer key.
        #[bpaf(argument("FILE"))]
        key_file: PathBuf,
        /// Model of the session.
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// Show the receipts that the platform still holds.
    #[bpaf(command)]
    Receipts {
        /// Workspace; all if left out.
        #[bpaf(positional("WORKSPACE"))]
        workspace: Option<String>,
    },
    /// Show the settled totals of each workspace.
    #[bpaf(command)]
    Statements,
}

/// Runs a command and returns its exit code.
pub fn run(args: Args) -> ExitCode {
    match smol::block_on(execute(args)) {
        Ok(()) => ExitCode::from(ExitStatus::Success as u8),
        Err(err) => {
            eprintln!("rosemaryctl: {err}");
            ExitCode::from(err.status as u8)
        }
    }
}

async fn execute(args: Args) -> Result<(), CommandError> {
    let platform = platform::connect(args.platform);
    let output = args.output;
    match args.command {
        Command::Validate { files } => apply::validate(&files, output),
        Command::Diff { files, prune } => apply::diff(&platform, &files, prune, output).await,
        Command::Apply {
            files,
            prune,
            wait,
            timeout_ms,
        } => {
            let wait = wait.then_some(propagation::Wait {
                entry: args.entry,
                timeout_ms,
            });
            apply::apply(&platform, &files, prune, wait, output).await
        }
        Command::Get { kind, name } => {
            resource::get(&platform, &kind, name.as_deref(), output).await
        }
        Command::Watch { count } => resource::watch(&platform, count, output).await,
        Command::Rollout { action, name } => match action.as_str() {
            "pause" => resource::set_paused(&platform, &name, true).await,
            "resume" => resource::set_paused(&platform, &name, false).await,
            "withdraw" => resource::withdraw(&platform, &name).await,
            other => {
                let message =
                    format!("unknown action '{other}', expected pause, resume or withdraw");
                Err(CommandError::new(ExitStatus::Invalid, message))
            }
        },
        Command::Withdraw { version } => resource::withdraw_version(&platform, &version).await,
        Command::Drain { endpoint } => match endpoint.split_once('/') {
            Some((pool, name)) => resource::drain_endpoint(&platform, pool, name).await,
            None => Err(CommandError::new(
                ExitStatus::Invalid,
                "expected an endpoint as POOL/NAME",
            )),
        },
        Command::RotateKeys => resource::rotate_keys(&platform).await,
        Command::Instances => {
            let rows = propagation::instance_statuses(args.entry).await?;
            output.print(
                &["name", "zone", "address", "revision", "serving", "rejected"],
                &rows,
            );
            Ok(())
        }
        Command::Address => {
            let response = client::get_json(args.entry, "/v1/addresses").await?;
            let rows = response["addresses"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            output.print(&["address", "zone", "id_prefix"], &rows);
            Ok(())
        }
        Command::Session { key_file, model } => {
            session(args.entry, &key_file, &model, output).await
        }
        Command::Receipts { workspace } => {
            receipts::receipts(&platform, workspace.as_deref(), output).await
        }
        Command::Statements => receipts::statements(&platform, output).await,
    }
}

async fn session(
    entry: SocketAddr,
    key_file: &Path,
    model: &str,
    output: Output,
) -> Result<(), CommandError> {
    let key = std::fs::read_to_string(key_file);
    let key = key.map_err(|err| {
        CommandError::new(
            ExitStatus::Failed,
            format!("cannot read key file {}: {err}", key_file.display()),
        )
    })?;
    let body = json!({ "model": model }).to_string().into_bytes();
    let response =
        client::send(entry, Method::Post, "/v1/sessions", Some(key.trim()), body).await?;
    output.print(&["version", "expires_ms", "session"], &[response]);
    Ok(())
}
