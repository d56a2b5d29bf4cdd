//! An instance's parts of all limits: what it claims and what it may send.

use super::options::SteeringOptions;
use super::target::RegionRoom;
use super::view::{FleetView, RegionView};
use crate::ids::RegionId;
use crate::limits::{Attachment, Claim, ClaimWindow, Claims, Gate, GateInput};
use crate::organisation::Organisation;
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::collections::BTreeMap;
use std::time::Duration;

/// The parts of an instance in each region's limit and in the links to them.
#[derive(Clone, Debug)]
pub(crate) struct Rooms {
    regions: Vec<RegionId>,
    origin: RegionId,
    rooms: Vec<Room>,
}

/// The instance's part of one region's limit and of the link to it.
#[derive(Clone, Debug)]
struct Room {
    sold: RequestRate,
    /// `None` inside the origin region, where no link is crossed.
    link_sold: Option<RequestRate>,
    gate: Gate,
    link_gate: Gate,
    claims: ClaimWindow,
    region_heard: Attachment,
    origin_heard: Attachment,
    need: Claim,
}

/// Why a request finds no room at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Full {
    /// The region's part is used up.
    Region,
    /// The link's part is used up.
    Link,
}

/// When there may be room again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom {
    /// What is used up.
    pub(crate) full: Full,
    /// The time until the next request may pass; `None` if none ever will.
    pub(crate) next_in: Option<Duration>,
}

impl Rooms {
    /// Returns the parts of an instance that knows of no peer.
    pub(crate) fn new(organisation: &Organisation, origin: &RegionId, now: MonotonicTime) -> Self {
        let mut rooms = Self {
            regions: Vec::new(),
            origin: origin.clone(),
            rooms: Vec::new(),
        };
        rooms.configure(organisation, now);
        rooms
    }

    /// Takes over a new configuration; what was claimed stays claimed.
    pub(crate) fn configure(&mut self, organisation: &Organisation, now: MonotonicTime) {
        let names = std::mem::take(&mut self.regions).into_iter();
        let mut known: BTreeMap<RegionId, Room> =
            names.zip(std::mem::take(&mut self.rooms)).collect();
        for region in &organisation.regions {
            let id = &region.region;
            let mut room = known.remove(id).unwrap_or_else(|| Room::new(now));
            let link = organisation.link(&self.origin, id);
            let link_sold = link.map_or(RequestRate::ZERO, |link| link.sold_rate_rps);
            room.sold = region.sold_rate_rps;
            room.link_sold = (*id != self.origin).then_some(link_sold);
            self.regions.push(id.clone());
            self.rooms.push(room);
        }
    }

    /// Tells whether anything may be sent to a region at all.
    pub(crate) fn reachable(&self, index: usize) -> bool {
        let room = &self.rooms[index];
        room.sold > RequestRate::ZERO && room.link_sold != Some(RequestRate::ZERO)
    }

    /// Notes which peers were heard.
    pub(crate) fn observe(&mut self, view: &FleetView) {
        let origin = heard(view, &self.origin);
        for (id, room) in self.regions.iter().zip(&mut self.rooms) {
            let region = heard(view, id);
            let at = view.measured_at;
            room.region_heard.observe(region.live, region.known, at);
            room.origin_heard.observe(origin.live, origin.known, at);
        }
    }

    /// Sets what the instance would send to a region.
    pub(crate) fn need(&mut self, index: usize, need: Claim) {
        self.rooms[index].need = need;
    }

    /// Returns the rate that may be sent to a region.
    pub(crate) fn usable_rps(&self, index: usize) -> f64 {
        let room = &self.rooms[index];
        let region_rps = room.gate.usable().get();
        match room.link_sold {
            Some(_) => region_rps.min(room.link_gate.usable().get()),
            None => region_rps,
        }
    }

    /// Works out the room that a region has beyond what is wanted of it.
    pub(crate) fn room(&self, index: usize, wanted_rps: f64, spill_at_share: f64) -> RegionRoom {
        let usable_rps = self.usable_rps(index) * spill_at_share;
        if wanted_rps > usable_rps {
            return RegionRoom {
                excess_share: 1.0 - usable_rps / wanted_rps,
                free_rps: 0.0,
            };
        }
        RegionRoom {
            excess_share: 0.0,
            free_rps: usable_rps - wanted_rps,
        }
    }

    /// Works out all parts anew.
    pub(crate) fn update(
        &mut self,
        view: &FleetView,
        options: &SteeringOptions,
        passed: Duration,
        now: MonotonicTime,
    ) {
        let count = self.regions.len();
        for (id, room) in self.regions.iter().zip(&mut self.rooms) {
            let stale = |region: &RegionView| {
                let claims = region.claims.contains_key(id);
                claims && now.since(region.oldest_at) > options.view_age_max
            };
            let frozen = view.regions.values().any(stale);
            room.claims.settle(options.growth_window, frozen, now);
            let all = claims_on(id, view.regions.values());
            let hold = options.attachment_hold();
            let region = room.region_input(options, all, *id == self.origin, count);
            let attached = room.region_heard.holds(hold, now);
            room.gate
                .update(GateInput { attached, ..region }, passed, now);
            let senders = view.regions.get(&self.origin);
            let link = room.link_input(options, claims_on(id, senders));
            let attached = room.origin_heard.holds(hold, now);
            room.link_gate
                .update(GateInput { attached, ..link }, passed, now);
        }
    }

    /// Takes room for one request.
    pub(crate) fn take(&mut self, index: usize, now: MonotonicTime) -> Result<(), NoRoom> {
        let room = &mut self.rooms[index];
        let region = room.gate.bucket();
        if !region.has_token(now) {
            return Err(NoRoom {
                full: Full::Region,
                next_in: region.next_token_in(),
            });
        }
        if room.link_sold.is_some() {
            let link = room.link_gate.bucket();
            if !link.has_token(now) {
                return Err(NoRoom {
                    full: Full::Link,
                    next_in: link.next_token_in(),
                });
            }
            link.take();
        }
        room.gate.bucket().take();
        Ok(())
    }

    /// Cuts the part in a region that refused a request.
    pub(crate) fn refused(&mut self, region: &RegionId, now: MonotonicTime) {
        let mut rooms = self.regions.iter().zip(&mut self.rooms);
        if let Some((_, room)) = rooms.find(|(id, _)| *id == region) {
            room.gate.refused(now);
        }
    }

    /// Returns the claims to publish now.
    pub(crate) fn publish(&mut self, now: MonotonicTime) -> BTreeMap<RegionId, Claim> {
        let rooms = self.regions.iter().zip(&mut self.rooms);
        let claims = rooms.map(|(id, room)| (id.clone(), room.claims.publish(room.need, now)));
        claims
            .filter(|(_, claim)| *claim != Claim::default())
            .collect()
    }
}

impl Room {
    fn new(now: MonotonicTime) -> Self {
        Self {
            sold: RequestRate::ZERO,
            link_sold: None,
            gate: Gate::new(now),
            link_gate: Gate::new(now),
            claims: ClaimWindow::default(),
            region_heard: Attachment::default(),
            origin_heard: Attachment::default(),
            need: Claim::default(),
        }
    }

    fn region_input(
        &self,
        options: &SteeringOptions,
        all: Claims,
        local: bool,
        regions: usize,
    ) -> GateInput {
        let floors_rps = self.sold.get() * options.sold_rate_factor * options.floors_share;
        let of_origin_share = if local {
            options.local_floors_share
        } else {
            (1.0 - options.local_floors_share) / regions as f64
        };
        let origin_rps = floors_rps * of_origin_share;
        self.input(options, self.sold, all, origin_rps)
    }

    fn link_input(&self, options: &SteeringOptions, all: Claims) -> GateInput {
        let sold = self.link_sold.unwrap_or_default();
        let floors_rps = sold.get() * options.sold_rate_factor * options.floors_share;
        self.input(options, sold, all, floors_rps)
    }

    fn input(
        &self,
        options: &SteeringOptions,
        sold: RequestRate,
        all: Claims,
        origin_floors_rps: f64,
    ) -> GateInput {
        let instances = f64::from(options.instances_per_region_max.max(1));
        GateInput {
            sold: RequestRate::clamped(sold.get() * options.sold_rate_factor),
            floors_share: options.floors_share,
            floor: RequestRate::clamped(origin_floors_rps / instances),
            own: self.claims.usable(),
            all,
            attached: false,
        }
    }
}

/// How many of the instances that a limit hangs on were heard.
struct Heard {
    live: u32,
    known: u32,
}

/// Counts the instances of a region, or of all where it has none.
fn heard(view: &FleetView, region: &RegionId) -> Heard {
    let here = view
        .regions
        .get(region)
        .filter(|here| here.known_instances > 0);
    let counted: Vec<&RegionView> = match here {
        Some(here) => vec![here],
        None => view.regions.values().collect(),
    };
    Heard {
        live: counted.iter().map(|region| region.live_instances).sum(),
        known: counted.iter().map(|region| region.known_instances).sum(),
    }
}

fn claims_on<'a>(region: &RegionId, senders: impl IntoIterator<Item = &'a RegionView>) -> Claims {
    let mut all = Claims::default();
    for sender in senders {
        all.add(sender.claims.get(region).copied().unwrap_or_default());
    }
    all
}
