//! The sites that client blocks are mapped to.

use super::{
    BlocksError,
    BlocksResult, //
};
use crate::ids::{
    RegionId,
    SiteId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::HashSet;
use std::fmt;

/// The maximum number of sites, as indices are 8 bits wide.
const SITES_MAX: usize = 256;

/// The index of a site in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteIndex(pub(super) u8);

impl SiteIndex {
    /// Returns the index as an integer.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for SiteIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A location in a region that serves clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The name.
    pub site: SiteId,
    /// The region.
    pub region: RegionId,
    /// The fallback sites, the best first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alternatives: Vec<SiteId>,
}

/// The sites of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<Site>", into = "Vec<Site>")]
pub struct SiteTable(Vec<Site>);

impl SiteTable {
    /// Creates a table with the sites in index order.
    ///
    /// # Errors
    ///
    /// Fails if there are more than 256 sites, a name occurs twice or an
    /// alternative does not exist.
    pub fn new(sites: Vec<Site>) -> BlocksResult<Self> {
        if sites.len() > SITES_MAX {
            return Err(BlocksError::TooManySites { count: sites.len() });
        }
        let mut names = HashSet::new();
        for site in &sites {
            if !names.insert(&site.site) {
                return Err(invalid_site(&site.site, "is defined twice"));
            }
        }
        for name in sites.iter().flat_map(|site| &site.alternatives) {
            if !names.contains(name) {
                return Err(invalid_site(
                    name,
                    "is listed as an alternative but not defined",
                ));
            }
        }
        Ok(Self(sites))
    }

    /// Returns the index of a site.
    pub fn index_of(&self, site: &SiteId) -> Option<SiteIndex> {
        let index = self.0.iter().position(|known| known.site == *site)?;
        u8::try_from(index).ok().map(SiteIndex)
    }

    /// Returns the site with this index.
    pub fn get(&self, index: SiteIndex) -> Option<&Site> {
        self.0.get(usize::from(index.0))
    }

    /// Returns the alternatives of a site, the best first.
    pub fn alternatives<'a>(&'a self, site: &'a Site) -> impl Iterator<Item = &'a Site> {
        let indices = site
            .alternatives
            .iter()
            .filter_map(|name| self.index_of(name));
        indices.filter_map(|index| self.get(index))
    }

    /// Returns all sites in index order.
    pub fn sites(&self) -> &[Site] {
        &self.0
    }
}

impl TryFrom<Vec<Site>> for SiteTable {
    type Error = BlocksError;

    fn try_from(sites: Vec<Site>) -> BlocksResult<Self> {
        Self::new(sites)
    }
}

impl From<SiteTable> for Vec<Site> {
    fn from(table: SiteTable) -> Self {
        table.0
    }
}

fn invalid_site(site: &SiteId, problem: &'static str) -> BlocksError {
    BlocksError::InvalidSite {
        site: site.clone(),
        problem,
    }
}
