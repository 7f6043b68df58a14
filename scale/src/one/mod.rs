//! One real governor process at size, against paced stand-ins on loopback.
