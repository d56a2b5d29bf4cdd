//! Organisations and the API keys of their callers.

use crate::ids::{
    OrganisationId,
    RegionId, //
};
use crate::placement::HomedLoad;
use crate::units::RequestRate;
use crate::{
    Error,
    Result, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of a key; fits into the head of a request.
const KEY_MAX_BYTES: usize = 512;

const KEY_EXPECTED: &str = "1 to 512 visible ASCII characters without spaces";

/// A secret key that identifies a caller's organisation.
///
/// Its `Debug` and `Display` output and errors never contain it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<str>);

impl FromStr for ApiKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_visible || !(1..=KEY_MAX_BYTES).contains(&text.len()) {
            return Err(Error::parse("(a key)", KEY_EXPECTED));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl fmt::Display for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(a key)")
    }
}

/// Rate limit of an organisation over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate.
    pub rate: RequestRate,
    /// Additional requests that may arrive at once.
    pub burst: f64,
}

/// Settings of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationTerms {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Priority of all its requests in place of their routes'; 0 is the highest.
    pub priority: Option<u32>,
    /// Regions that may serve its requests; empty for all.
    pub home_regions: Vec<RegionId>,
    /// Rate limit; `None` if unlimited.
    pub quota: Option<Quota>,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationEntry {
    /// Settings of the organisation.
    pub terms: OrganisationTerms,
    /// The keys of its callers.
    pub keys: Vec<ApiKey>,
}

/// Index of organisations by key.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    by_key: HashMap<ApiKey, Arc<OrganisationTerms>>,
    /// Organisations that share a key with an earlier one.
    disputed: Vec<OrganisationId>,
}

impl OrganisationTable {
    /// Builds the index. A key that two organisations share identifies neither, since
    /// its requests could be charged to the wrong one.
    pub fn new(entries: Vec<OrganisationEntry>) -> Self {
        let mut by_key: HashMap<ApiKey, Option<Arc<OrganisationTerms>>> = HashMap::new();
        let mut disputed = Vec::new();
        for OrganisationEntry { terms, keys } in entries {
            let terms = Arc::new(terms);
            for key in keys {
                let owner = by_key
                    .entry(key)
                    .or_insert_with(|| Some(Arc::clone(&terms)));
                let is_owner = owner
                    .as_ref()
                    .is_some_and(|owner| owner.organisation == terms.organisation);
                if !is_owner {
                    *owner = None;
                    disputed.push(terms.organisation.clone());
                }
            }
        }
        let owned = by_key.into_iter();
        Self {
            by_key: owned
                .filter_map(|(key, owner)| Some((key, owner?)))
                .collect(),
            disputed,
        }
    }

    /// Returns the organisation of a key.
    pub fn find(&self, key: &ApiKey) -> Option<&Arc<OrganisationTerms>> {
        self.by_key.get(key)
    }

    /// Returns the organisations that share a key with an earlier one.
    pub fn disputed(&self) -> &[OrganisationId] {
        &self.disputed
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the share of all requests that is restricted to home regions, estimated
    /// from the organisations' quotas. An organisation without a quota counts as the
    /// mean of the others.
    pub fn homed_load(&self) -> HomedLoad {
        let mut rates: BTreeMap<&OrganisationId, (&OrganisationTerms, Option<f64>)> =
            BTreeMap::new();
        for terms in self.by_key.values() {
            let rate_rps = terms.quota.map(|quota| quota.rate.get());
            rates.insert(&terms.organisation, (terms, rate_rps));
        }
        let known: Vec<f64> = rates
            .values()
            .filter_map(|(_, rate_rps)| *rate_rps)
            .collect();
        let mean = if known.is_empty() {
            1.0
        } else {
            known.iter().sum::<f64>() / known.len() as f64
        };
        let total: f64 = rates
            .values()
            .map(|(_, rate_rps)| rate_rps.unwrap_or(mean))
            .sum();
        let mut load = HomedLoad::default();
        for (terms, rate_rps) in rates.into_values() {
            if !terms.home_regions.is_empty() {
                let part = rate_rps.unwrap_or(mean) / total;
                load.add(terms.home_regions.clone(), part);
            }
        }
        load
    }

    /// Returns the quotas of all organisations with a quota and a key.
    pub(super) fn quotas(&self) -> HashMap<OrganisationId, Quota> {
        let terms = self.by_key.values();
        terms
            .filter_map(|terms| Some((terms.organisation.clone(), terms.quota?)))
            .collect()
    }
}

/// Returns the intersection of two lists of home regions, `None` if it is empty. An
/// empty list stands for all regions.
pub fn common_homes(one: &[RegionId], other: &[RegionId]) -> Option<Vec<RegionId>> {
    if one.is_empty() || other.is_empty() {
        return Some([one, other].concat());
    }
    let common: Vec<RegionId> = one
        .iter()
        .filter(|region| other.contains(region))
        .cloned()
        .collect();
    (!common.is_empty()).then_some(common)
}

/// Tells whether `region` may serve requests with these home regions. An empty list
/// stands for all regions.
pub fn is_home(homes: &[RegionId], region: &RegionId) -> bool {
    homes.is_empty() || homes.contains(region)
}
