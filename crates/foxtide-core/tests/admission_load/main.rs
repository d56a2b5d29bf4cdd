//! Admission under hard load: requests of several kinds and urgencies at one upstream.

mod forecast;
mod kinds;
mod objects;
mod reserve;
mod second_choice;
mod support;
