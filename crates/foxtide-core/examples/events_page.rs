//! Prints docs/EVENTS.md from the catalogue of events.

fn main() {
    print!("{}", foxtide_core::events::catalogue_page());
}
