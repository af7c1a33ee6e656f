//! A cell of separate processes on loopback, for tests that kill, stop and resume processes.

use currantgw::options::Cell;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The processes of a cell; those still running are killed on drop.
pub struct Procs {
    pub cell: Cell,
    dir: PathBuf,
    children: Vec<(String, Child)>,
}

impl Procs {
    /// Writes the settings of `cell`, starts all its processes and waits until they are ready.
    pub async fn start(cell: Cell) -> Self {
        let name = format!("currantgw-test-{}-{}", std::process::id(), cell.platform.listen.port());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let text = serde_json::to_string(&cell).unwrap();
        std::fs::write(dir.join("cell.json"), text).unwrap();
        let mut procs = Self { cell: cell.clone(), dir, children: Vec::new() };
        procs.spawn("platform", &["platform"]);
        cell.runners.iter().for_each(|r| procs.spawn(&r.id, &["runner", "--id", &r.id]));
        cell.entries.iter().for_each(|e| procs.spawn(&e.id, &["entry", "--id", &e.id]));
        procs.wait_ready().await;
        procs
    }

    /// Starts one more process.
    pub fn spawn(&mut self, name: &str, args: &[&str]) {
        let bin = std::env::var("CURRANTGW_BIN").unwrap_or(env!("CARGO_BIN_EXE_currantgw").into());
        let child = Command::new(bin)
            .args(["--log", "warn", "--settings"])
            .arg(self.dir.join("cell.json"))
            .args(args)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.children.push((name.to_string(), child));
    }

    /// Runs a command of the command line to its end. Returns whether it succeeded, and its output:
    /// standard output on success, standard error on failure.
    pub async fn command(&self, args: &[&str]) -> (bool, String) {
        let out = async_std::task::spawn_blocking({
            let mut cmd = Command::new(env!("CARGO_BIN_EXE_currantgw"));
            cmd.arg("--settings").arg(self.dir.join("cell.json")).args(args);
            move || cmd.output().unwrap()
        })
        .await;
        let text = if out.status.success() { out.stdout } else { out.stderr };
        (out.status.success(), String::from_utf8_lossy(&text).into_owned())
    }

    /// Writes a file next to the settings and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Sends a signal, such as `KILL`, to the process `name` that was started last.
    pub fn signal(&self, name: &str, signal: &str) {
        let (_, child) = self.children.iter().rev().find(|(n, _)| n == name).unwrap();
        let pid = child.id().to_string();
        let kill = Command::new("kill").args([&format!("-{signal}"), &pid]).status().unwrap();
        assert!(kill.success());
    }

    /// Waits up to 10 s for the process `name` to exit; true if it did with status 0.
    pub async fn exited(&mut self, name: &str) -> bool {
        let (_, child) = self.children.iter_mut().rev().find(|(n, _)| n == name).unwrap();
        for _ in 0..200 {
            if let Some(status) = child.try_wait().unwrap() {
                return status.success();
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Base URL of entry `i`.
    pub fn url(&self, i: usize) -> String {
        format!("http://{}", self.cell.entries[i].listen)
    }

    /// Base URL of the platform.
    pub fn platform(&self) -> String {
        format!("http://{}", self.cell.platform.listen)
    }

    /// Number of shards held by the `entries` that answer.
    pub async fn shards_held(&self, entries: &[usize]) -> usize {
        let mut held = 0;
        for &i in entries {
            let dump = super::try_get(&format!("{}/debug/state", self.url(i))).await;
            held += dump.map_or(0, |d| d["held"].as_object().map_or(0, |h| h.len()));
        }
        held
    }

    async fn wait_ready(&self) {
        let all: Vec<usize> = (0..self.cell.entries.len()).collect();
        let shards: u32 = self.cell.platform.domains.iter().map(|d| d.racks).sum();
        let links_up = |dump: serde_json::Value| {
            let links = dump["pool"]["links"].as_object().cloned().unwrap_or_default();
            links.len() == self.cell.runners.len() && links.values().all(|l| l["connected"] == true)
        };
        let cell_ready = super::eventually(200, || async {
            if self.shards_held(&all).await != shards as usize {
                return false;
            }
            for &i in &all {
                let dump = super::try_get(&format!("{}/debug/state", self.url(i))).await;
                if !dump.is_some_and(links_up) {
                    return false;
                }
            }
            true
        });
        assert!(cell_ready.await, "the cell did not become ready");
    }
}

impl Drop for Procs {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
