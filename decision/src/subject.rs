//! What a limit over all VMs applies to.

use std::cmp::Ordering;

use crate::id::{CustomerName, ServerName};
use crate::value;

value! {
    /// One incarnation of a backend server. A limit that it states ends with it.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ServerStart {
        /// The server.
        pub server: ServerName,
        /// Its incarnation, as in [`crate::routing::BackendEntry::incarnation`].
        #[serde(rename = "born")]
        pub incarnation: u64,
    }

    /// Subject of a limit. Customers sort before servers.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum LimitSubject {
        /// The requests of a customer to all servers.
        Customer(CustomerName),
        /// The requests of all customers to a server, as an earlier release reports them. They are
        /// ignored.
        Server(ServerStart),
    }
}

impl LimitSubject {
    /// Compares with the subject of a customer.
    pub(crate) fn cmp_customer(&self, customer: &str) -> Ordering {
        match self {
            Self::Customer(name) => name.as_str().cmp(customer),
            Self::Server(_) => Ordering::Greater,
        }
    }

    /// Returns the customer; `None` for a server.
    #[must_use]
    pub fn customer(&self) -> Option<&CustomerName> {
        match self {
            Self::Customer(name) => Some(name),
            Self::Server(_) => None,
        }
    }
}
