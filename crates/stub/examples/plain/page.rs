//! The admin pages that `stub::fleet` reads.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use hyper::body::Incoming;
use hyper::Request;
use hyper::StatusCode;
use stub::http;
use stub::http::Answer;
use stub::http::Payload;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::conf_watch::Watch;

struct Pages(Arc<Watch>);

/// Starts to serve the pages in the background and returns their address.
pub(crate) async fn serve(address: SocketAddr, watch: Arc<Watch>) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let local = listener.local_addr()?;
    tokio::spawn(async move {
        let signal = watch::Sender::default();
        http::serve(listener, Arc::new(Pages(watch)), signal.subscribe()).await;
    });
    Ok(local)
}

impl http::Handler for Pages {
    type Conn = ();

    fn open(self: &Arc<Self>) -> Option<()> {
        Some(())
    }

    async fn handle(self: Arc<Self>, _: Arc<()>, request: Request<Incoming>) -> Answer {
        let revision = self.0.table(|table| table.revision());
        match request.uri().path() {
            "/ready" if revision == 0 => {
                http::respond(StatusCode::SERVICE_UNAVAILABLE, Payload::default())
            }
            "/ready" => http::respond(StatusCode::OK, Payload::default()),
            "/metrics" => {
                let text = format!("wasabi_node_revision {revision}\n");
                http::respond(StatusCode::OK, Payload::new(text))
            }
            _ => http::respond(StatusCode::NOT_FOUND, Payload::default()),
        }
    }
}
