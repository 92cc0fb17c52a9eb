//! Injects faults into the test doubles.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::eyre;
use eyre::Result;
use hyper::Method;
use serde::Serialize;

use super::call;
use super::Fleet;
use super::Server;
use crate::backend;
use crate::fabric::Link;
use crate::platform;

impl Fleet {
    /// Sets the faults of the platform.
    pub async fn set_platform_faults(&self, faults: platform::Faults) -> Result<()> {
        put(self.platform.control, "/control/faults", &faults).await
    }

    /// Makes a control call to the platform, such as `/control/snapshot`.
    pub async fn control_platform(&self, path: &str) -> Result<()> {
        call(Method::POST, self.platform.control, path, Bytes::new()).await?;
        Ok(())
    }

    /// Sets the network conditions of callers' datagrams.
    pub async fn set_link(&self, link: Link) -> Result<()> {
        put(self.fabric.control, "/control/link", &link).await
    }

    /// Sets the faults of a backend server.
    pub async fn set_server_faults(&self, name: &str, faults: &backend::Faults) -> Result<()> {
        put(self.server(name)?.at.control, "/control/faults", faults).await
    }

    /// Makes a control call to a backend server, such as `/control/cold`.
    pub async fn control_server(&self, name: &str, path: &str) -> Result<()> {
        let control = self.server(name)?.at.control;
        call(Method::POST, control, path, Bytes::new()).await?;
        Ok(())
    }

    /// Returns the backend server with this name.
    pub fn server(&self, name: &str) -> Result<&Server> {
        let found = self.servers.iter().find(|server| server.name == name);
        found.ok_or_else(|| eyre!("no backend server {name}"))
    }
}

async fn put(to: SocketAddr, path: &str, value: &impl Serialize) -> Result<()> {
    call(Method::PUT, to, path, serde_json::to_vec(value)?).await?;
    Ok(())
}
