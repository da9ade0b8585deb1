//! Parsing of request queries and headers.

use hyper::HeaderMap;
use hyper::Uri;
use percent_encoding::percent_decode_str;

/// Returns the query parameter `name` as a number; `None` if it is missing or not a number.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Returns the query parameter `name` with its escapes decoded; `None` if it is missing.
pub fn query_text(uri: &Uri, name: &str) -> Option<String> {
    let mut pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
}

/// Returns the header `name` as text; `None` if it is missing or not visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the header `name` as a number; `None` if it is missing or not a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header(headers, name)?.parse().ok()
}
