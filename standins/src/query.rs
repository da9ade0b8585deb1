//! Numbers in a request's query and headers.

use hyper::HeaderMap;
use hyper::Uri;

/// The number called `name` in the query of `uri`.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// The text of the header called `name`.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The number in the header called `name`.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header(headers, name)?.parse().ok()
}
