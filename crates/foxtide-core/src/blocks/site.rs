//! The sites that client blocks are directed to.

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

/// The most sites that a table can number.
const SITES_MAX: usize = 256;

/// The number of a site in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteIndex(pub(super) u8);

impl SiteIndex {
    /// Returns the number.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for SiteIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A site: a index in a region where callers are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub site: SiteId,
    /// The region in which it stands.
    pub region: RegionId,
    /// The sites to take instead, the best first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alternatives: Vec<SiteId>,
}

/// All sites of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<Site>", into = "Vec<Site>")]
pub struct SiteTable(Vec<Site>);

impl SiteTable {
    /// Returns the table of these sites, numbered in their order.
    ///
    /// # Errors
    ///
    /// Fails where there are more than 256 sites, where one is named twice or
    /// where an alternative does not exist.
    pub fn new(sites: Vec<Site>) -> BlocksResult<Self> {
        if sites.len() > SITES_MAX {
            return Err(BlocksError::TooManySites { count: sites.len() });
        }
        let mut names = HashSet::new();
        for site in &sites {
            if !names.insert(&site.site) {
                return Err(bad_site(&site.site, "is named twice"));
            }
        }
        for name in sites.iter().flat_map(|site| &site.alternatives) {
            if !names.contains(name) {
                return Err(bad_site(name, "is an alternative but no site"));
            }
        }
        Ok(Self(sites))
    }

    /// Returns the number of the site of this name.
    pub fn index_of(&self, site: &SiteId) -> Option<SiteIndex> {
        let index = self.0.iter().position(|known| known.site == *site)?;
        u8::try_from(index).ok().map(SiteIndex)
    }

    /// Returns the site of this number.
    pub fn get(&self, index: SiteIndex) -> Option<&Site> {
        self.0.get(usize::from(index.0))
    }

    /// Returns a site's alternatives, the best first.
    pub fn alternatives<'a>(&'a self, site: &'a Site) -> impl Iterator<Item = &'a Site> {
        let indices = site
            .alternatives
            .iter()
            .filter_map(|name| self.index_of(name));
        indices.filter_map(|index| self.get(index))
    }

    /// Returns all sites in the order of their numbers.
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

fn bad_site(site: &SiteId, problem: &'static str) -> BlocksError {
    BlocksError::BadSite {
        site: site.clone(),
        problem,
    }
}
