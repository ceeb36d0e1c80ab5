//! Operator calls over Cap'n Proto RPC: what a process answers about itself,
//! and the calls of `status` and `report`.
//!
//! Calls only read, so they need no authentication; they are bounded in
//! number of connections, size of messages and time.

use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use futures::future;
use quick_error::quick_error;
use ramp_protocol::codec::CodecError;
use ramp_protocol::operator::Document;
use ramp_protocol::operator::Status;
use ramp_protocol::operator_capnp::operator;
use ramp_protocol::operator_codec;
use ramp_protocol::summary_codec;
use ramp_state::key::Version;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Operator connections that a process holds at once; more are closed.
pub const MAX_CONNECTIONS: usize = 16;

/// Time that an operator connection may last.
pub const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest message that a server reads, in words of 8 bytes: calls are small.
const MAX_CALL_WORDS: usize = 1024;

/// Largest answer that a caller reads, in words of 8 bytes: a document of a
/// megabyte and more.
const MAX_REPLY_WORDS: usize = 1024 * 1024;

/// Nesting that a received message may have.
const MAX_NESTING_DEPTH: i32 = 32;

quick_error! {
    /// Why an operator call has no answer.
    #[derive(Debug)]
    pub enum RpcError {
        /// The process can't be reached.
        Io(err: io::Error) {
            display("{}", err)
            from()
        }
        /// The call failed at the process or on the way.
        Call(err: capnp::Error) {
            display("call failed: {}", err)
            from()
        }
        /// The answer can't be read.
        Codec(err: CodecError) {
            display("{}", err)
            from()
        }
        /// No answer came in time.
        Timeout(limit: Duration) {
            display("no answer within {} ms", limit.as_millis())
        }
    }
}

/// What a process knows about itself. Called on the control thread, so it
/// must answer from memory.
pub trait OperatorSource {
    /// State of the process.
    fn status(&self) -> Status;

    /// Counts of its ledger over `window`.
    fn ledger(&self, window: Window) -> Summary;

    /// Fleet document in force; none before the first.
    fn document(&self) -> Option<Document>;
}

/// Answers operator calls on `listener` until dropped. Must run in a
/// `LocalSet`.
pub async fn serve(listener: TcpListener, source: impl OperatorSource + 'static) {
    let source = Rc::new(source);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("operator call not accepted: {err}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            metrics::counter!("operator_connections_refused_total").increment(1);
            continue;
        };
        metrics::counter!("operator_connections_total").increment(1);
        let source = Rc::clone(&source);
        tokio::task::spawn_local(async move {
            let _permit = permit;
            if let Ok(Err(err)) = time::timeout(CONNECTION_TIMEOUT, answer(stream, source)).await {
                log::debug!("operator connection from {from} ended: {err}");
            }
        });
    }
}

/// What one process tells for a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessReport {
    /// Its state.
    pub status: Status,
    /// Its counts, one summary for each window asked for.
    pub summaries: Vec<Summary>,
}

/// Asks the process at `address` for its state.
///
/// # Errors
///
/// [`RpcError`] when no answer that can be read comes within `limit`.
pub async fn fetch_status(address: SocketAddrV4, limit: Duration) -> Result<Status, RpcError> {
    call(address, limit, request_status).await
}

/// Asks the process at `address` for its counts over `window`.
///
/// # Errors
///
/// [`RpcError`] when no answer that can be read comes within `limit`.
pub async fn fetch_ledger(
    address: SocketAddrV4,
    window: Window,
    limit: Duration,
) -> Result<Summary, RpcError> {
    call(address, limit, |client| request_ledger(client, window)).await
}

/// Asks the process at `address` for the fleet document in force; none when
/// it has none.
///
/// # Errors
///
/// [`RpcError`] when no answer that can be read comes within `limit`.
pub async fn fetch_document(
    address: SocketAddrV4,
    limit: Duration,
) -> Result<Option<Document>, RpcError> {
    call(address, limit, request_document).await
}

/// Asks the process at `address` for its state and its counts over each of
/// `windows`, in one connection.
///
/// # Errors
///
/// [`RpcError`] when not all answers come within `limit`.
pub async fn fetch_process_report(
    address: SocketAddrV4,
    windows: Vec<Window>,
    limit: Duration,
) -> Result<ProcessReport, RpcError> {
    call(address, limit, |client| {
        request_process_report(client, windows)
    })
    .await
}

async fn answer(stream: TcpStream, source: Rc<impl OperatorSource + 'static>) -> capnp::Result<()> {
    stream.set_nodelay(true)?;
    let client: operator::Client = capnp_rpc::new_client(OperatorServer { source });
    rpc_system(stream, Side::Server, MAX_CALL_WORDS, Some(client)).await
}

async fn call<T, F>(
    address: SocketAddrV4,
    limit: Duration,
    ask: impl FnOnce(operator::Client) -> F,
) -> Result<T, RpcError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let whole = async {
        let stream = TcpStream::connect(address).await?;
        // Calls and answers are small messages that wait for each other.
        stream.set_nodelay(true)?;
        let mut system = rpc_system(stream, Side::Client, MAX_REPLY_WORDS, None);
        let client: operator::Client = system.bootstrap(Side::Server);
        tokio::select! {
            answer = ask(client) => answer,
            ended = system => Err(ended.err().unwrap_or_else(closed).into()),
        }
    };
    let Ok(answer) = time::timeout(limit, whole).await else {
        return Err(RpcError::Timeout(limit));
    };
    answer
}

fn closed() -> capnp::Error {
    capnp::Error::disconnected("connection closed".to_string())
}

fn rpc_system(
    stream: TcpStream,
    side: Side,
    limit_words: usize,
    bootstrap: Option<operator::Client>,
) -> RpcSystem<Side> {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(limit_words))
        .nesting_limit(MAX_NESTING_DEPTH);
    let (read, write) = stream.compat().split();
    let network = VatNetwork::new(read, write, side, options);
    RpcSystem::new(Box::new(network), bootstrap.map(|c| c.client))
}

async fn request_status(client: operator::Client) -> Result<Status, RpcError> {
    let answer = client.status_request().send().promise.await?;
    let status = answer.get()?.get_status()?;
    Ok(operator_codec::read_status(status)?)
}

async fn request_ledger(client: operator::Client, window: Window) -> Result<Summary, RpcError> {
    let mut req = client.ledger_request();
    summary_codec::write_window(req.get().init_window(), window);
    let answer = req.send().promise.await?;
    let summary = answer.get()?.get_summary()?;
    Ok(summary_codec::read_summary(summary)?)
}

async fn request_document(client: operator::Client) -> Result<Option<Document>, RpcError> {
    let answer = client.document_request().send().promise.await?;
    let m = answer.get()?;
    if !m.get_known() {
        return Ok(None);
    }
    let text = m.get_text()?.to_string().map_err(CodecError::from)?;
    Ok(Some(Document {
        version: Version(m.get_config()),
        text,
    }))
}

async fn request_process_report(
    client: operator::Client,
    windows: Vec<Window>,
) -> Result<ProcessReport, RpcError> {
    let status = request_status(client.clone());
    let summaries = windows
        .into_iter()
        .map(|window| request_ledger(client.clone(), window));
    let (status, summaries) = future::try_join(status, future::try_join_all(summaries)).await?;
    Ok(ProcessReport { status, summaries })
}

/// Answers the calls of one connection.
struct OperatorServer<S> {
    source: Rc<S>,
}

impl<S: OperatorSource + 'static> operator::Server for OperatorServer<S> {
    async fn status(
        self: Rc<Self>,
        _: operator::StatusParams,
        mut results: operator::StatusResults,
    ) -> capnp::Result<()> {
        let status = self.source.status();
        operator_codec::write_status(results.get().init_status(), &status);
        Ok(())
    }

    async fn ledger(
        self: Rc<Self>,
        params: operator::LedgerParams,
        mut results: operator::LedgerResults,
    ) -> capnp::Result<()> {
        let window = summary_codec::read_window(params.get()?.get_window()?);
        let summary = self.source.ledger(window);
        summary_codec::write_summary(results.get().init_summary(), &summary);
        Ok(())
    }

    async fn document(
        self: Rc<Self>,
        _: operator::DocumentParams,
        mut results: operator::DocumentResults,
    ) -> capnp::Result<()> {
        let document = self.source.document();
        let mut m = results.get();
        m.set_known(document.is_some());
        if let Some(document) = document {
            m.set_config(document.version.0);
            m.set_text(&document.text);
        }
        Ok(())
    }
}
