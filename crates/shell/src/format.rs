//! Maps CoAP content formats to media types (RFC 7252, section 12.3).

/// Supported content formats and their media types.
const CONTENT_FORMATS: [(u16, &str); 9] = [
    (0, "text/plain"),
    (21, "image/gif"),
    (22, "image/jpeg"),
    (23, "image/png"),
    (40, "application/link-format"),
    (41, "application/xml"),
    (42, "application/octet-stream"),
    (50, "application/json"),
    (60, "application/cbor"),
];

/// Returns the media type of a content format.
pub fn media_type(format: u16) -> Option<&'static str> {
    CONTENT_FORMATS
        .iter()
        .find(|(number, _)| *number == format)
        .map(|(_, media)| *media)
}

/// Returns the content format of a media type; parameters are ignored.
pub fn content_format(media: &str) -> Option<u16> {
    let media = media.split(';').next().unwrap_or_default().trim();
    CONTENT_FORMATS
        .iter()
        .find(|(_, known)| known.eq_ignore_ascii_case(media))
        .map(|(number, _)| *number)
}
