//! Accepts callers and runs their sessions.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use net::socket::FramedSocket;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use wire::backend;
use wire::refusal::{RefusalReason, RequestRefusal};

use crate::instance::{InstancePhase, ProxyInstance};
use crate::session::CallerSession;
use crate::startup::{self, StartedCaller, StartupEnd};

/// Pause after the system refused to hand over a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Counts a caller for as long as its connection is open.
struct CallerCount(Arc<ProxyInstance>);

impl Drop for CallerCount {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts callers until the instance drains.
pub async fn serve(listener: TcpListener, instance: Arc<ProxyInstance>) {
    let mut phases = instance.phases();
    // The sessions end with this task, as they do when a process is killed.
    let mut sessions = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phases.wait_for(|phase| *phase >= InstancePhase::Draining) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                sessions.spawn(run(stream, instance.clone()));
                while sessions.try_join_next().is_some() {}
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    // The listener closes here; the task stays for the sessions that are still open.
    drop(listener);
    std::future::pending::<()>().await;
}

async fn run(stream: TcpStream, instance: Arc<ProxyInstance>) {
    let callers = instance.callers.fetch_add(1, Ordering::Relaxed);
    let _count = CallerCount(instance.clone());
    let mut socket = FramedSocket::new(stream, instance.settings.max_message_bytes);
    if callers >= instance.settings.max_callers {
        let reason = RefusalReason::TooManyCallers;
        let refusal = RequestRefusal::new(reason, "the instance serves as many callers as it may");
        return refuse(&mut socket, &instance, &refusal).await;
    }
    // Startup is boxed so that an idle session does not keep its space.
    match Box::pin(start(&mut socket, &instance)).await {
        Ok(caller) => {
            log_event!(LogEvent::SessionOpened, "process={}", caller.registration.process());
            if let Some(session) = CallerSession::new(socket, instance, caller) {
                session.run().await;
            }
        }
        Err(StartupEnd::Refused(refusal)) => refuse(&mut socket, &instance, &refusal).await,
        Err(StartupEnd::Done) => {}
    }
}

async fn start(
    socket: &mut FramedSocket,
    instance: &Arc<ProxyInstance>,
) -> Result<StartedCaller, StartupEnd> {
    let limit = instance.settings.startup_timeout;
    match timeout(limit, startup::run(socket, instance)).await {
        Ok(started) => started,
        Err(_) => {
            let detail = format!("startup took longer than {} ms", limit.as_millis());
            let refusal = RequestRefusal::new(RefusalReason::StartupTimeout, detail);
            Err(StartupEnd::Refused(refusal))
        }
    }
}

async fn refuse(socket: &mut FramedSocket, instance: &ProxyInstance, refusal: &RequestRefusal) {
    instance.counters.record_refusal(refusal.reason);
    log_event!(LogEvent::RequestRefused, "reason={} at startup", refusal.reason.label());
    let mut output = BytesMut::new();
    backend::put_refusal(&mut output, refusal, true);
    if socket.write(&output).await.is_ok() {
        socket.shutdown().await;
    }
}
