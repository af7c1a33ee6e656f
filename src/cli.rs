//! The command line: one subcommand for each role of a process and each operator action.

use crate::control::settings::NodeSettings;
use crate::kernel::clock::Clock;
use crate::kernel::stop;
use crate::options::{self, Cell};
use argh::FromArgs;
use eyre::WrapErr;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Environment variable with the path of the settings file of a control plane instance.
const SETTINGS_ENV: &str = "CURRANTGW_CONFIG";

/// currantgw: cluster scheduler and request gateway for unlike workloads on one shared cell.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// settings file of the cell (JSON); by default the embedded example cell
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// log level: error, warn, info, debug (default info)
    #[argh(option, default = "log::LevelFilter::Info")]
    pub log: log::LevelFilter,
    /// subcommand to run
    #[argh(subcommand)]
    pub cmd: Cmd,
}

/// The subcommands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Cmd {
    /// Run the platform stand-in.
    Platform(PlatformCmd),
    /// Run an instance of the control plane on the users' platform.
    Serve(ServeCmd),
    /// Run an entry instance.
    Entry(EntryCmd),
    /// Run a runner stand-in.
    Runner(RunnerCmd),
    /// Edit or read the catalogue.
    Catalogue(CatalogueCmd),
    /// Submit a job from a JSON file.
    Submit(SubmitCmd),
    /// Look a key up through an entry.
    Lookup(LookupCmd),
    /// Print the state dump of a process.
    Dump(DumpCmd),
    /// Drive a running cell and print a JSON report.
    Smoke(SmokeCmd),
}

/// Run the platform stand-in.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct PlatformCmd {}

/// Run an instance of the control plane on the users' platform.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "serve")]
pub struct ServeCmd {
    /// settings file of the instance (JSON); by default the one that CURRANTGW_CONFIG names
    #[argh(option)]
    pub node: Option<PathBuf>,
}

/// Run an entry instance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "entry")]
pub struct EntryCmd {
    /// id of the entry in the settings
    #[argh(option)]
    pub id: String,
}

/// Run a runner stand-in.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "runner")]
pub struct RunnerCmd {
    /// id of the runner in the settings
    #[argh(option)]
    pub id: String,
}

/// Edit or read the catalogue: `apply FILE` or `get`.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "catalogue")]
pub struct CatalogueCmd {
    /// address of an entry instance (host:port)
    #[argh(option)]
    pub entry: SocketAddr,
    /// action: apply or get
    #[argh(positional)]
    pub action: String,
    /// catalogue file for `apply` ({"entries": [...]})
    #[argh(positional)]
    pub file: Option<PathBuf>,
}

/// Submit a job from a JSON file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct SubmitCmd {
    /// address of an entry instance
    #[argh(option)]
    pub entry: SocketAddr,
    /// job file (JSON)
    #[argh(positional)]
    pub file: PathBuf,
}

/// Look a key up through an entry.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "lookup")]
pub struct LookupCmd {
    /// address of an entry instance
    #[argh(option)]
    pub entry: SocketAddr,
    /// key to look up
    #[argh(positional)]
    pub key: String,
}

/// Print the state dump of a process.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dump")]
pub struct DumpCmd {
    /// address of its HTTP API (host:port)
    #[argh(positional)]
    pub addr: SocketAddr,
}

/// Drive a running cell and print a JSON report.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "smoke")]
pub struct SmokeCmd {
    /// seconds of load (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// concurrent lookup loops (default 8)
    #[argh(option, default = "8")]
    pub lookers: u32,
    /// concurrent write loops (default 2)
    #[argh(option, default = "2")]
    pub writers: u32,
    /// catalogue edits per minute (default 12)
    #[argh(option, default = "12")]
    pub edits: u32,
    /// jobs submitted per second (default 10)
    #[argh(option, default = "10")]
    pub jobs: u32,
    /// fault plan to add to the platform before the load (JSON list)
    #[argh(option)]
    pub faults: Option<PathBuf>,
}

/// Sends a request and returns the body of its answer; any status but success is an error.
async fn send(req: surf::RequestBuilder) -> eyre::Result<String> {
    let mut res = req.await.map_err(|e| eyre::eyre!("{e}"))?;
    let status = res.status();
    let text = res.body_string().await.map_err(|e| eyre::eyre!("{e}"))?;
    if !status.is_success() {
        eyre::bail!("{status}: {text}");
    }
    Ok(text)
}

async fn run_node(c: &ServeCmd, level: log::LevelFilter) -> eyre::Result<()> {
    let from_env = std::env::var_os(SETTINGS_ENV).map(PathBuf::from);
    let path = c
        .node
        .clone()
        .or(from_env)
        .ok_or_else(|| eyre::eyre!("name a settings file with --node or {SETTINGS_ENV}"))?;
    let settings = NodeSettings::load(&path)?;
    crate::logs::init_stdout("control", &settings.id, level)?;
    let (clock, stop, _signals) = stop_on_signal()?;
    let hangups = signal_hook_async_std::Signals::new([signal_hook::consts::SIGHUP])?;
    let reloads = async_std::task::spawn(reload(hangups, path, settings.clone()));
    let res = crate::control::node::run(settings, clock, stop).await;
    reloads.cancel().await;
    crate::logs::flush();
    res
}

/// Reads the settings again on each SIGHUP and logs whether they changed. A running instance keeps
/// its settings; changed ones take effect at its next start.
async fn reload(
    mut hangups: signal_hook_async_std::Signals,
    path: PathBuf,
    mut last: NodeSettings,
) {
    use futures::StreamExt;
    while hangups.next().await.is_some() {
        match NodeSettings::load(&path) {
            Ok(new) => {
                log::info!(changed = new != last, path:% = path.display(); "settings reloaded");
                last = new;
            }
            Err(e) => log::error!(why:% = e; "settings not reloaded; previous ones kept"),
        }
    }
}

/// Sets up the logs and the stop signal of a process of a cell.
async fn init_daemon(
    role: &str,
    id: &str,
    level: log::LevelFilter,
) -> eyre::Result<(Clock, stop::Stop, async_std::task::JoinHandle<()>)> {
    crate::logs::init(role, id, level)?;
    stop_on_signal()
}

/// Installs the metrics recorder, and fires the returned stop signal on SIGTERM or SIGINT.
fn stop_on_signal() -> eyre::Result<(Clock, stop::Stop, async_std::task::JoinHandle<()>)> {
    crate::admin::metrics();
    let (mut trigger, stop) = stop::pair();
    let mut signals = signal_hook_async_std::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])?;
    let waiter = async_std::task::spawn(async move {
        use futures::StreamExt;
        if signals.next().await.is_some() {
            log::info!("signal received, draining");
        }
        trigger.fire();
    });
    Ok((Clock::real(), stop, waiter))
}

/// Runs the command line.
pub async fn run(args: Args) -> eyre::Result<()> {
    if let Cmd::Serve(c) = &args.cmd {
        return run_node(c, args.log).await;
    }
    let cell = options::load(args.settings.as_deref())?;
    match args.cmd {
        Cmd::Serve(c) => run_node(&c, args.log).await,
        Cmd::Platform(_) => run_platform(&cell, args.log).await,
        Cmd::Entry(c) => run_entry(&cell, &c.id, args.log).await,
        Cmd::Runner(c) => run_runner(&cell, &c.id, args.log).await,
        Cmd::Catalogue(c) => catalogue(c).await,
        Cmd::Submit(c) => {
            let spec: serde_json::Value = read_json(&c.file)?;
            print(post(&format!("http://{}/jobs", c.entry), &spec).await)
        }
        Cmd::Lookup(c) => print(get(&format!("http://{}/lookup?key={}", c.entry, c.key)).await),
        Cmd::Dump(c) => print(get(&format!("http://{}/debug/state", c.addr)).await),
        Cmd::Smoke(c) => smoke(&cell, c).await,
    }
}

fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> eyre::Result<T> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is not valid", path.display()))
}

fn print(body: eyre::Result<String>) -> eyre::Result<()> {
    println!("{}", body?);
    Ok(())
}

async fn get(url: &str) -> eyre::Result<String> {
    send(crate::http::client().get(url)).await
}

async fn post(url: &str, json: &serde_json::Value) -> eyre::Result<String> {
    let req = crate::http::client().post(url).body_json(json).map_err(|e| eyre::eyre!("{e}"))?;
    send(req).await
}

async fn run_platform(cell: &Cell, level: log::LevelFilter) -> eyre::Result<()> {
    let (clock, stop, _signals) = init_daemon("platform", "platform", level).await?;
    let names: Vec<String> = cell.runners.iter().map(|r| r.id.clone()).collect();
    let platform =
        Arc::new(crate::standin::Platform::new(cell.platform.clone(), &names, clock.clone()));
    let app = crate::standin::server::app(platform);
    let drain = crate::admin::Drain { linger_ms: 0, drain_ms: 1000 };
    let limits = crate::ingress::limits::Limits::cell("platform");
    let (addr, serve) = crate::admin::bind(app, cell.platform.listen, limits, stop, clock, drain)?;
    log::info!("platform listening on {addr}");
    serve.await;
    Ok(())
}

async fn run_entry(cell: &Cell, id: &str, level: log::LevelFilter) -> eyre::Result<()> {
    let (clock, stop, _signals) = init_daemon("entry", id, level).await?;
    crate::entry::Entry::new(cell, id, clock, stop)?.run().await
}

async fn run_runner(cell: &Cell, id: &str, level: log::LevelFilter) -> eyre::Result<()> {
    let (clock, stop, _signals) = init_daemon("runner", id, level).await?;
    let runner = cell.runner(id).ok_or_else(|| eyre::eyre!("no runner {id} in the settings"))?;
    crate::runner::Runner::new(runner.clone(), cell.runner.clone(), clock).serve(stop).await
}

/// Prints the catalogue, or applies an edit to the present version.
async fn catalogue(c: CatalogueCmd) -> eyre::Result<()> {
    let url = format!("http://{}/catalogue", c.entry);
    match (c.action.as_str(), c.file) {
        ("get", None) => print(get(&url).await),
        ("apply", Some(file)) => {
            let mut edit: serde_json::Value = read_json(&file)?;
            let current: crate::entry::catalogue::Catalogue =
                serde_json::from_str(&get(&url).await?)?;
            edit["base"] = current.version.into();
            print(post(&url, &edit).await)
        }
        _ => eyre::bail!("catalogue takes `get` or `apply FILE`"),
    }
}

async fn smoke(cell: &Cell, c: SmokeCmd) -> eyre::Result<()> {
    let faults = c.faults.as_deref().map(read_json).transpose()?.unwrap_or_default();
    let options = crate::smoke::Options {
        seconds: c.seconds,
        lookers: c.lookers,
        writers: c.writers,
        edits: c.edits,
        jobs: c.jobs,
        faults,
    };
    let report = crate::smoke::run(cell, &options).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    if !report.invariants_hold() {
        eyre::bail!("an invariant was violated: see the report");
    }
    Ok(())
}
