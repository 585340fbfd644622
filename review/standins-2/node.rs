//! Instances of the project's program, as the platform runs them.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}
/// `PR_SET_PDEATHSIG`
const SIGNAL_AT_PARENTS_END: i32 = 1;
const SIGKILL: u64 = 9;

/// The program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/deploy/sg-node";
const SETTINGS_VARIABLE: &str = "SASSAFRASGAUGE_NODE_FILE";

/// The ports of a deployment, the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub lookup: u16,
    pub control: u16,
    pub internal: u16,
}

/// The limits of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub max_fds: u64,
}

/// A machine with its process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    pub limits: Limits,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What all machines of a deployment know.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub folder: PathBuf,
    pub ports: Ports,
    pub store: SocketAddr,
    pub seeds: Vec<IpAddr>,
    /// Zones with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
}

impl Node {
    /// Writes the settings of a machine, in the form of `deploy/settings.json`.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub fn new(
        deployment: &Deployment,
        name: &str,
        zone: &str,
        ip: IpAddr,
        limits: Limits,
    ) -> std::io::Result<Self> {
        let ports = deployment.ports;
        let region = deployment.zones.iter().find(|(known, _)| *known == zone);
        let region = region.map_or("", |(_, region)| region);
        let domains = deployment.zones.iter();
        let domains = domains.map(|(zone, region)| format!("\"{zone}\":\"{region}\""));
        let domains: Vec<String> = domains.collect();
        let seeds = deployment.seeds.iter();
        let seeds: Vec<String> = seeds
            .map(|seed| format!("\"{seed}:{}\"", ports.control))
            .collect();
        let text = format!(
            "{{\"instance\":\"{name}\",\"domain\":\"{zone}\",\"region\":\"{region}\",\"domains\":{{{}}},\
             \"serve\":\"{ip}:{}\",\"ready\":\"{ip}:{}\",\"lookup\":\"{ip}:{}\",\"admin\":\"{ip}:{}\",\
             \"mesh-ports\":[{},{}],\"seeds\":[{}],\"store\":\"{}\",\"source\":\"{ip}\",\"first-start\":true,\
             \"limits\":{{\"max-descriptors\":{},\"memory-mb\":{}}},\
             \"bounds\":{{\"retry-ratio\":0.2,\"retry-window\":10,\"retry-slack\":62,\"cold-factor\":1.5,\
             \"cold-slack\":5,\"stop-grace\":6,\"lookup-cache\":5}}}}",
            domains.join(","),
            ports.front,
            ports.ready,
            ports.lookup,
            ports.control,
            ports.internal,
            ports.internal + 15,
            seeds.join(","),
            deployment.store,
            limits.max_fds,
            limits.memory_mb,
        );
        let settings = deployment.folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            limits,
            ports,
            log: deployment.folder.join(format!("{name}.log")),
            settings,
            child: None,
        })
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.front)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.ready)
    }

    /// Starts the process with the command of the deploy file.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(Path::new(PROGRAM));
        command
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        // SAFETY: the call between fork and exec only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                // The process ends with the driver, however that ends.
                prctl(SIGNAL_AT_PARENTS_END, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process id while the process runs.
    pub fn id(&self) -> Option<u32> {
        Some(self.child.as_ref()?.id())
    }

    /// Returns the resident memory of the process in bytes; `None` if it does not run.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Sends the signal SIG`name` to the process.
    ///
    /// # Errors
    /// Returns an error if the process does not run.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let id = self.id().ok_or(std::io::ErrorKind::NotFound)?;
        Command::new("kill").args(["-s", name, &id.to_string()]).status()?;
        Ok(())
    }

    /// Returns whether the process has ended by itself, and forgets it if so.
    pub fn has_ended(&mut self) -> bool {
        let ended = match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => false,
        };
        if ended {
            self.child = None;
        }
        ended
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
