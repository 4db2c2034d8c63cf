//! What one caller of the store sees of its rows.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use super::http;
use super::store::Store;

/// A caller's view of the store's rows.
pub trait View: Send + Sync {
    /// Returns the value that the caller sees for a row's value.
    fn rewrite(&self, table: &str, key: &str, value: Vec<u8>) -> Vec<u8>;
}

impl fmt::Debug for dyn View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("View")
    }
}

/// View that shows all rows as they are.
#[derive(Debug, Clone, Copy)]
pub(super) struct Plain;

impl View for Plain {
    fn rewrite(&self, _table: &str, _key: &str, value: Vec<u8>) -> Vec<u8> {
        value
    }
}

/// Serves the store on a loopback port of its own, with a view for all calls to that port.
///
/// # Errors
///
/// The I/O error if no port can be bound.
pub fn serve_view(store: &Arc<Store>, view: Arc<dyn View>) -> std::io::Result<SocketAddr> {
    let store = Arc::clone(store);
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    http::serve_at(any_port, move |request| store.handle(request, &*view))
}
