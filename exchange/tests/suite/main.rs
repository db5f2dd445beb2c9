//! Integration tests of the HTTP client.

mod odd_servers;
