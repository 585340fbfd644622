//! Daemons as separate processes, with the settings of a small deployment.

use std::{
    fs,
    io::Write as _,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// The program of `deploy/system.toml`, from the repository's root.
const PROGRAM: &str = "target/deploy/sg-node";
const SETTINGS_VARIABLE: &str = "SASSAFRASGAUGE_NODE_FILE";
const FRONT_PORT: u16 = 8668;
const CONTROL_PORT: u16 = 8667;
const READY_PORT: u16 = 8666;
const DIRECTORY_PORT: u16 = 8665;
const MESH_PORTS: (u16, u16) = (7220, 7235);
/// The memory of the smallest machines of `batbayar-trials.toml`, in MiB.
pub const MEMORY_MB: u64 = 260;
pub const MAX_DESCRIPTORS: u64 = 4_100;
/// The bound `graceS`, in seconds.
pub const GRACE_SECONDS: u64 = 6;
/// The zones with their regions.
pub const ZONES: [(&str, &str); 3] = [
    ("ub-east", "ulaanbaatar"),
    ("dk-north", "darkhan"),
    ("er-west", "erdenet"),
];

pub const TERM: i32 = 15;
const KILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: usize, ...) -> i32;
}

/// Makes the calling process end when the thread that started it ends, however that comes about.
fn end_with_parent() -> std::io::Result<()> {
    // SAFETY: the call has no pointers among its arguments.
    match unsafe { prctl(PR_SET_PDEATHSIG, KILL as usize) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// A loopback network whose addresses are free.
#[derive(Debug, Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// Finds a network on which the ports of a daemon are free.
    pub fn find() -> Option<Self> {
        let process = std::process::id();
        (0..200u32).find_map(|attempt| {
            let network = Self(
                (process % 200) as u8 + 20,
                (attempt + process / 200 % 50) as u8,
            );
            let ports = [
                FRONT_PORT,
                CONTROL_PORT,
                READY_PORT,
                DIRECTORY_PORT,
                MESH_PORTS.0,
            ];
            let is_free = |port| TcpListener::bind(network.address(1, port)).is_ok();
            ports.into_iter().all(is_free).then_some(network)
        })
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host)), port)
    }
}

/// A daemon of one machine.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    network: Network,
    host: u8,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of machine `host`, which counts from 1, into `folder`.
    pub fn new(
        network: Network,
        host: u8,
        store: SocketAddr,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let (zone, region) = ZONES[(usize::from(host) - 1) % ZONES.len()];
        let name = format!("front-{zone}-{host}");
        let node = Self {
            file: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            name,
            network,
            host,
            child: None,
        };
        let address = |port| network.address(host, port);
        let zones = ZONES
            .map(|(zone, region)| format!(r#""{zone}":"{region}""#))
            .join(",");
        let seeds = [1, 2, 3]
            .map(|host| format!("\"{}\"", network.address(host, CONTROL_PORT)))
            .join(",");
        let settings = format!(
            r#"{{"instance":"{}","domain":"{zone}","region":"{region}","domains":{{{zones}}},
"serve":"{}","ready":"{}","lookup":"{}","admin":"{}","mesh-ports":[{},{}],"seeds":[{seeds}],"store":"{store}",
"first-start":true,"limits":{{"max-descriptors":{MAX_DESCRIPTORS},"memory-mb":{MEMORY_MB}}},
"bounds":{{"retry-ratio":0.2,"retry-window":10,"retry-slack":62,"cold-factor":1.5,"cold-slack":5,
"stop-grace":{GRACE_SECONDS},"lookup-cache":5}}}}"#,
            node.name,
            address(FRONT_PORT),
            address(READY_PORT),
            address(DIRECTORY_PORT),
            address(CONTROL_PORT),
            MESH_PORTS.0,
            MESH_PORTS.1,
        );
        fs::File::create(&node.file)?.write_all(settings.as_bytes())?;
        Ok(node)
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .env_clear()
            .env(SETTINGS_VARIABLE, &self.file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the function makes one system call and touches no memory of this process.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        self.network.address(self.host, FRONT_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        self.network.address(self.host, READY_PORT)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns the resident memory of the process in bytes, 0 if it does not run.
    pub fn resident_bytes(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) << 10
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Killing fails if the process has ended.
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
