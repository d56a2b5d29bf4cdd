//! Validated names of instances, regions, organisations and other entities.

use crate::{
    Error,
    Result, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The maximum length of a name, as of a DNS label (RFC 1035, section 2.3.4).
pub const NAME_MAX_BYTES: usize = 63;

const NAME_EXPECTED: &str = "1 to 63 of the letters a-z, the digits 0-9 and `-`";

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=NAME_MAX_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Cheap to clone: clones share the text.
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                if !is_name(text) {
                    return Err(Error::parse(text, NAME_EXPECTED));
                }
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }
    };
}

define_name!(
    /// The name of an organisation, a tenant of foxtide.
    OrganisationId
);
define_name!(
    /// The name of a service of an organisation.
    ServiceId
);
define_name!(
    /// The name of a region.
    RegionId
);
define_name!(
    /// The name of an availability zone, unique across all regions.
    AvailabilityZoneId
);
define_name!(
    /// The name of an upstream, unique within its service.
    UpstreamId
);
define_name!(
    /// The name of an instance of foxtide.
    InstanceId
);
define_name!(
    /// The name of a site, a location in a region that serves clients.
    SiteId
);
define_name!(
    /// The name of a planned move.
    MoveId
);
define_name!(
    /// The name of an announced drain.
    DrainId
);
define_name!(
    /// The identifier of a configuration change, chosen by its writer.
    ChangeId
);

/// The identifier of a directed link between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId {
    /// The region of the sending instance.
    pub from: RegionId,
    /// The region of the receiving upstream.
    pub to: RegionId,
}

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}->{}", self.from, self.to)
    }
}

impl FromStr for LinkId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "two region names joined by `->`";
        let (from, to) = text
            .split_once("->")
            .ok_or_else(|| Error::parse(text, expected))?;
        Ok(Self {
            from: from.parse()?,
            to: to.parse()?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_names_round_trip() {
        let region: RegionId = "khomas".parse().unwrap();
        assert_eq!(region.to_string(), "khomas");
    }

    #[test]
    fn verify_invalid_names_are_rejected() {
        for text in ["", "Khomas", "a b", "a/b", &"a".repeat(64)] {
            assert!(text.parse::<RegionId>().is_err(), "{text}");
        }
    }

    #[test]
    fn verify_links_round_trip() {
        let link: LinkId = "khomas->erongo".parse().unwrap();
        assert_eq!(link.to_string(), "khomas->erongo");
        assert!("khomas".parse::<LinkId>().is_err());
    }
}
