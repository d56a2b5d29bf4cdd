//! Runs `foxtidectl` in process against a test store.

use foxtide_testing::{
    StoreOptions,
    StoreServer, //
};
use foxtidectl::ExitStatus;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::{
    TcpListener,
    TcpStream, //
};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The store key of the document used by the tests.
pub(crate) const DOCUMENT_KEY: &str = "foxtide/organisations/hamutenya";

/// The exit status and output of a command.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) status: ExitStatus,
    pub(crate) output: String,
    pub(crate) errors: String,
}

/// An operator with a test store.
pub(crate) struct Operator {
    pub(crate) server: StoreServer,
}

impl Operator {
    pub(crate) fn new() -> Self {
        let server = smol::block_on(StoreServer::start(StoreOptions::default()));
        Self {
            server: server.expect("a free port"),
        }
    }

    /// Returns an operator whose store contains the example organisation.
    pub(crate) fn with_example() -> Self {
        let operator = Self::new();
        let template = example("hamutenya/template.jsonc");
        let created = operator.run(&[
            "--yes",
            "organisation",
            "create",
            "hamutenya",
            "--template",
            &template,
        ]);
        assert_eq!(created.status, ExitStatus::Done, "{created:?}");
        operator
    }

    /// Runs a command against the store.
    pub(crate) fn run(&self, arguments: &[&str]) -> Outcome {
        let address = self.server.address().to_string();
        let mut all = vec!["--store", &address, "--author", "ndapewa"];
        all.extend(arguments);
        run(&all)
    }

    /// Returns the stored document as JSON.
    pub(crate) fn stored(&self) -> serde_json::Value {
        let value = self.server.value(DOCUMENT_KEY).expect("a stored document");
        serde_json::from_slice(&value).expect("JSON")
    }
}

/// Starts a proxy that forwards this many connections to the store and closes later ones
/// after reading their request.
pub(crate) async fn drop_responses_after(forwarded: usize, store: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    smol::spawn(async move {
        for _ in 0..forwarded {
            let (caller, _) = listener.accept().await.expect("a connection");
            let store = TcpStream::connect(store).await.expect("the store");
            let upload = smol::io::copy(caller.clone(), store.clone());
            let download = smol::io::copy(store, caller);
            smol::spawn(async { upload.or(download).await }).detach();
        }
        loop {
            let (mut caller, _) = listener.accept().await.expect("a connection");
            let mut request = vec![0; 65_536];
            caller.read(&mut request).await.expect("a request");
        }
    })
    .detach();
    address
}

pub(crate) fn run(arguments: &[&str]) -> Outcome {
    let arguments: Vec<String> = arguments.iter().map(|one| (*one).to_owned()).collect();
    let mut output = Vec::new();
    let mut errors = Vec::new();
    let status = foxtidectl::run(&arguments, &mut output, &mut errors);
    Outcome {
        status,
        output: String::from_utf8(output).expect("UTF-8"),
        errors: String::from_utf8(errors).expect("UTF-8"),
    }
}

/// Returns the path of an example file.
pub(crate) fn example(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("../../examples").join(path);
    path.to_str().expect("UTF-8").to_owned()
}

/// Writes a temporary file and returns its path.
pub(crate) fn file(name: &str, content: &[u8]) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("written");
    path.to_str().expect("UTF-8").to_owned()
}
