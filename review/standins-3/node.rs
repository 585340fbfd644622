//! Instances as processes of the deployed program.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = "target/deploy/sg-node";
const FRONT_PORT: u16 = 8668;
const READY_PORT: u16 = 8666;
const CONTROL_PORT: u16 = 8667;
const DIRECTORY_PORT: u16 = 8665;

/// The option of `prctl` for the signal at the end of the parent.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// The addresses of one run: 127.X.Y.HOST, which no other run uses at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    pub fn new() -> Self {
        let id = std::process::id();
        Self((id / 200 % 200) as u8 + 20, (id % 200) as u8 + 20)
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, self.1, host), port))
    }
}

/// The temporary folder of a run, removed at its end.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("sg-review-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("writable folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A deployment: its domains with their regions.
pub type Domains = &'static [(&'static str, &'static str)];

#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn new(
        network: Network,
        folder: &Folder,
        host: u8,
        zone: &str,
        domains: Domains,
        store: SocketAddr,
    ) -> Self {
        let name = format!("front-{zone}-{host}");
        let region = domains
            .iter()
            .find(|(known, _)| *known == zone)
            .expect("a known zone")
            .1;
        let map: Vec<String> = domains
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let address = |port| network.address(host, port);
        let seeds: Vec<String> = (1..=3)
            .map(|host| format!("\"{}\"", network.address(host, CONTROL_PORT)))
            .collect();
        let settings = format!(
            "{{\"instance\":\"{name}\",\"domain\":\"{zone}\",\"region\":\"{region}\",\"domains\":{{{}}},\
             \"serve\":\"{}\",\"ready\":\"{}\",\"lookup\":\"{}\",\"admin\":\"{}\",\"mesh-ports\":[7220,7235],\
             \"seeds\":[{}],\"store\":\"{store}\",\"first-start\":true,\
             \"limits\":{{\"max-descriptors\":4100,\"memory-mb\":260}},\
             \"bounds\":{{\"retry-ratio\":0.2,\"retry-window\":10,\"retry-slack\":62,\"cold-factor\":1.5,\"cold-slack\":5,\
             \"stop-grace\":6,\"lookup-cache\":5}}}}",
            map.join(","),
            address(FRONT_PORT),
            address(READY_PORT),
            address(DIRECTORY_PORT),
            address(CONTROL_PORT),
            seeds.join(","),
        );
        let file = folder.0.join(format!("{name}.json"));
        fs::write(&file, settings).expect("writable settings file");
        Self {
            log: folder.0.join(format!("{name}.log")),
            name,
            zone: zone.to_owned(),
            front: address(FRONT_PORT),
            directory: address(DIRECTORY_PORT),
            ready: address(READY_PORT),
            file,
            child: None,
        }
    }

    /// Starts the process. From the second start on, the system doesn't start for the first time.
    pub fn start(&mut self) {
        if self.log.exists() {
            let settings = fs::read_to_string(&self.file).expect("readable settings file");
            let settings = settings.replace("\"first-start\":true", "\"first-start\":false");
            fs::write(&self.file, settings).expect("writable settings file");
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("writable log file");
        let mut command = Command::new(PROGRAM);
        // The instance ends with this program, however that ends.
        // SAFETY: prctl is a plain system call, which a new process may make before it runs the program.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("SASSAFRASGAUGE_NODE_FILE", &self.file)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    /// Sends the signal SIG`name`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args(["-s", name, &child.id().to_string()])
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
