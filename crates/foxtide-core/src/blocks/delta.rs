//! Changes to a table of client blocks.

use super::codec::{
    ColumnsMessage,
    ColumnsWriter,
    DeltaMessage,
    verified_payload,
    with_checksum, //
};
use super::family::{
    Family,
    FamilyPrefix,
    Prefix,
    V4,
    V6, //
};
use super::{
    Block,
    BlocksError,
    BlocksResult,
    SiteIndex,
    SiteTable, //
};
use ipnet::IpNet;
use prost::Message;
use std::collections::HashMap;

/// A change of a table from one revision to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// The revision that the delta applies to.
    pub base_revision: u64,
    /// The revision after the change.
    pub revision: u64,
    /// Blocks to add or to assign to another site.
    pub set: Vec<Block>,
    /// Blocks to remove; unknown ones are ignored.
    pub removed: Vec<IpNet>,
}

/// A changed block with its new site, or `None` if it is removed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub(super) prefix: Prefix,
    pub(super) site: Option<SiteIndex>,
}

/// The validated changes of a delta, in ascending order per family.
#[derive(Debug, Default)]
pub(super) struct SortedDelta {
    pub(super) v4: Vec<Change>,
    pub(super) v6: Vec<Change>,
}

impl SortedDelta {
    pub(super) fn new(delta: &Delta, sites: &SiteTable) -> BlocksResult<Self> {
        let mut sorted = Self::default();
        for block in &delta.set {
            let site = block.site;
            sites.get(site).ok_or(BlocksError::UnknownSite { site })?;
            sorted.add(block.net, Some(site))?;
        }
        for net in &delta.removed {
            sorted.add(*net, None)?;
        }
        sort(&mut sorted.v4)?;
        sort(&mut sorted.v6)?;
        Ok(sorted)
    }

    fn add(&mut self, net: IpNet, site: Option<SiteIndex>) -> BlocksResult<()> {
        match FamilyPrefix::try_from(net)? {
            FamilyPrefix::V4(prefix) => self.v4.push(Change { prefix, site }),
            FamilyPrefix::V6(prefix) => self.v6.push(Change { prefix, site }),
        }
        Ok(())
    }
}

fn sort(changes: &mut [Change]) -> BlocksResult<()> {
    changes.sort_unstable_by_key(|change| change.prefix);
    let unique = changes.is_sorted_by(|one, next| one.prefix < next.prefix);
    unique.then_some(()).ok_or(BlocksError::Order)
}

impl Delta {
    /// Combines consecutive deltas into one.
    ///
    /// # Errors
    ///
    /// Fails if a delta does not apply to the revision of the previous one.
    pub(super) fn combine(deltas: Vec<Self>, base_revision: u64) -> BlocksResult<Self> {
        let mut revision = base_revision;
        let mut changes: HashMap<IpNet, Option<SiteIndex>> = HashMap::new();
        for delta in deltas {
            delta.check_base(revision)?;
            revision = delta.revision;
            let set = delta
                .set
                .into_iter()
                .map(|block| (block.net, Some(block.site)));
            changes.extend(set);
            changes.extend(delta.removed.into_iter().map(|net| (net, None)));
        }
        let mut combined = Self {
            base_revision,
            revision,
            ..Self::default()
        };
        for (net, site) in changes {
            match site {
                Some(site) => combined.set.push(Block { net, site }),
                None => combined.removed.push(net),
            }
        }
        Ok(combined)
    }

    /// Fails if the delta does not apply to `revision`.
    pub(super) fn check_base(&self, revision: u64) -> BlocksResult<()> {
        if self.base_revision == revision {
            return Ok(());
        }
        Err(BlocksError::Revision {
            base_revision: self.base_revision,
            revision,
        })
    }

    /// Encodes the delta as a value for the store.
    ///
    /// # Errors
    ///
    /// Fails if a block occurs twice or its prefix is too long.
    pub fn encode(&self) -> BlocksResult<Vec<u8>> {
        let set = self.set.iter().map(|block| (block.net, Some(block.site)));
        let removed = self.removed.iter().map(|net| (*net, None));
        let mut sorted = SortedDelta::default();
        for (net, site) in set.chain(removed) {
            sorted.add(net, site)?;
        }
        sort(&mut sorted.v4)?;
        sort(&mut sorted.v6)?;
        let message = DeltaMessage {
            follows: self.base_revision,
            revision: self.revision,
            set_v4: Some(columns::<V4>(&sorted.v4, true)),
            set_v6: Some(columns::<V6>(&sorted.v6, true)),
            removed_v4: Some(columns::<V4>(&sorted.v4, false)),
            removed_v6: Some(columns::<V6>(&sorted.v6, false)),
        };
        Ok(with_checksum(message.encode_to_vec()))
    }

    /// Decodes a delta from the output of [`Delta::encode`].
    ///
    /// # Errors
    ///
    /// Fails if the checksum differs or the value is not a delta.
    pub fn decode(bytes: &[u8]) -> BlocksResult<Self> {
        let payload = verified_payload(bytes, "a delta")?;
        let message = DeltaMessage::decode(&payload[..]).map_err(BlocksError::decode)?;
        let mut delta = Self {
            base_revision: message.follows,
            revision: message.revision,
            ..Self::default()
        };
        delta.set = message.set_v4.unwrap_or_default().blocks::<V4>()?;
        delta
            .set
            .extend(message.set_v6.unwrap_or_default().blocks::<V6>()?);
        delta.removed = message.removed_v4.unwrap_or_default().nets::<V4>()?;
        let removed_v6 = message.removed_v6.unwrap_or_default();
        delta.removed.extend(removed_v6.nets::<V6>()?);
        Ok(delta)
    }
}

/// Encodes either the changes that set a block or those that remove one.
fn columns<F: Family>(changes: &[Change], set: bool) -> ColumnsMessage {
    let mut writer = ColumnsWriter::<F>::new();
    for change in changes.iter().filter(|change| change.site.is_some() == set) {
        writer.push(change.prefix, change.site);
    }
    writer.finish()
}
