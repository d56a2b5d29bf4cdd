//! Upstreams of a small region relieve each other: second choices that stand in other regions
//! must not leave requests waiting while a neighbour has free slots.

use crate::support::{
    Behaviour,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually,
    route, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::placement::{
    Candidate,
    Demand,
    ObjectKey,
    UpstreamWeights,
    rank, //
};
use foxtide_core::registry::Registration;
use foxtide_core::routing::{
    RequestKind,
    Route, //
};
use foxtide_gateway::Fact;
use std::collections::BTreeMap;
use std::time::Duration;

/// The most requests in flight at an upstream of the fleet: four in slots, and one that waits
/// there for the next.
const ADMITTED: usize = 5;

/// The number of regions in which requests arise.
const REGIONS: usize = 2;

/// An instance in a region that has two of many upstreams.
struct SmallRegion {
    _fleet: Fleet,
    instance: Instance,
    upstreams: Vec<FakeUpstream>,
}

impl SmallRegion {
    fn new() -> Self {
        Self::with_neighbour(6, |registration| registration)
    }

    /// Returns a region beside one with `far` upstreams; `change` is applied to the
    /// registration of its second upstream.
    fn with_neighbour(far: usize, change: impl Fn(Registration) -> Registration) -> Self {
        let fleet = Fleet::new();
        let patient = Route {
            timeout: Duration::from_secs(60),
            ..route("safe", true)
        };
        fleet.configure(2, vec![patient]);
        let near = ["i-1", "i-2"].map(|name| FakeUpstream::start(name, "erongo-a"));
        fleet.register(&near[0]);
        let neighbour = Fact::Registered(change(near[1].registration()));
        fleet.store.put(&near[1].key(), neighbour);
        let far = (3..3 + far).map(|number| fleet.upstream(&format!("i-{number}"), "khomas-a"));
        let far: Vec<FakeUpstream> = far.collect();
        let instance = fleet.instance("edge-1", "erongo-a");
        instance.wait_for_members_of("erongo", 1);
        Self {
            _fleet: fleet,
            instance,
            upstreams: near.into_iter().chain(far).collect(),
        }
    }

    /// Returns the upstreams in the order of an object that is requested in the small region.
    fn order(&self, object: &str) -> Vec<&FakeUpstream> {
        let mut slots: BTreeMap<RegionId, u32> = BTreeMap::new();
        let registrations = self.upstreams.iter().map(FakeUpstream::registration);
        let registrations: Vec<_> = registrations.collect();
        for registration in &registrations {
            *slots.entry(registration.region.clone()).or_default() += registration.slots;
        }
        let own: RegionId = "erongo".parse().unwrap();
        let weights = UpstreamWeights::new(&own, slots, &Demand::unrestricted(REGIONS));
        let candidates: Vec<Candidate> = registrations
            .iter()
            .map(|one| Candidate::new(&one.upstream, weights.of(&one.region, one.slots)))
            .collect();
        let order = rank(
            ObjectKey::of_kind(RequestKind::of_route("safe"), object.as_bytes()),
            &candidates,
        );
        order
            .into_iter()
            .map(|index| &self.upstreams[index])
            .collect()
    }

    /// Returns objects whose first choice is near and whose next two choices are far.
    fn objects_with_far_second_choices(&self) -> impl Iterator<Item = String> {
        let is_near = |upstream: &FakeUpstream| upstream.zone() == "erongo-a";
        (0..10_000)
            .map(|number| format!("o-{number}"))
            .filter(move |object| {
                let order = self.order(object);
                is_near(order[0]) && !is_near(order[1]) && !is_near(order[2])
            })
    }

    /// Returns such an object whose first choice is `upstream`.
    fn object_of(&self, upstream: &FakeUpstream) -> String {
        let mut objects = self.objects_with_far_second_choices();
        let is_own = |object: &String| self.order(object)[0].key() == upstream.key();
        objects.find(is_own).expect("one of many has this order")
    }

    fn send(&self, object: &str, number: usize) -> Caller {
        let mut caller = Caller::connect(self.instance.address());
        caller.send(&format!(
            "GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: s-{number}\r\n\
             object: {object}\r\n\r\n"
        ));
        caller
    }

    /// Makes the first choice of an object so slow that waiting requests are late, and fills
    /// its slots.
    fn fill_slots(&self, object: &str) -> Vec<Caller> {
        let own = self.order(object)[0];
        let before = own.seen().len();
        own.always(Behaviour::Silent);
        for request in ["first", "repeated"] {
            own.next(Behaviour::Respond(200, "fine", Duration::from_secs(2)));
            let lines = format!("request: {request}\r\nobject: {object}\r\n");
            assert_eq!(self.instance.get("/safe/", &lines).head.status, 200);
        }
        let callers = (0..ADMITTED).map(|number| self.send(object, number));
        let callers: Vec<Caller> = callers.collect();
        eventually("the slots are taken", || {
            own.seen().len() == before + 2 + ADMITTED
        });
        callers
    }
}

#[test]
fn verify_a_neighbour_relieves_an_upstream_where_the_next_choices_stand_elsewhere() {
    let region = SmallRegion::new();
    let mut objects = region.objects_with_far_second_choices();
    let object = objects.next().expect("one of many has this order");
    let _callers = region.fill_slots(&object);
    let own = region.order(&object)[0];
    let is_neighbour = |one: &&FakeUpstream| one.zone() == own.zone() && one.key() != own.key();
    let neighbour = region.upstreams.iter().find(is_neighbour).unwrap();

    let _sixth = region.send(&object, ADMITTED);
    eventually("the neighbour serves it", || neighbour.seen().len() == 1);
    let mut far = region
        .upstreams
        .iter()
        .filter(|one| one.zone() != own.zone());
    assert!(far.all(|one| one.seen().is_empty()));
}

/// The rate of a cold upstream is reserved for the objects whose first choice it is.
#[test]
fn verify_a_cold_neighbour_relieves_none_and_keeps_its_rate() {
    let region = SmallRegion::with_neighbour(6, |registration| Registration {
        cold_remaining: Duration::from_secs(600),
        ..registration
    });
    let [own, neighbour] = [&region.upstreams[0], &region.upstreams[1]];
    let object = region.object_of(own);
    let _callers = region.fill_slots(&object);
    // These wait until they are late, then try a neighbour; they would use up its rate.
    let late = (0..20).map(|number| {
        let mut caller = Caller::connect(region.instance.address());
        caller.send(&format!(
            "GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-{number}\r\n\
             time-left-ms: 900\r\nobject: {object}\r\n\r\n"
        ));
        caller
    });
    for caller in &mut late.collect::<Vec<Caller>>() {
        assert_eq!(caller.read().head.status, 503);
    }
    let of_neighbour = region.object_of(neighbour);
    let lines = format!("request: cold\r\nobject: {of_neighbour}\r\n");
    assert_eq!(region.instance.get("/safe/", &lines).head.status, 200);
    let seen = neighbour.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request, "cold");
}

/// A request that a region short of upstreams refuses would only come back to it.
#[test]
fn verify_what_a_short_region_has_no_slot_for_goes_elsewhere() {
    let region = SmallRegion::with_neighbour(16, |registration| Registration {
        cold_remaining: Duration::from_secs(600),
        ..registration
    });
    let own = &region.upstreams[0];
    let object = region.object_of(own);
    // A request is refused at once only if the latency of the upstream is known.
    own.next(Behaviour::Respond(200, "fine", Duration::from_secs(2)));
    let lines = format!("request: earlier\r\nobject: {object}\r\n");
    assert_eq!(region.instance.get("/safe/", &lines).head.status, 200);
    let _callers = region.fill_slots(&object);
    let ask = |request: &str| {
        let lines = format!("request: {request}\r\ntime-left-ms: 900\r\nobject: {object}\r\n");
        region.instance.get("/safe/", &lines)
    };
    assert_eq!(ask("elsewhere").head.status, 200);
    let far = &region.order(&object)[1..];
    let seen: Vec<_> = far.iter().flat_map(|one| one.seen()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request, "elsewhere");
    // Two saved ones and one in nine: the most that the overflow budget allows.
    let statuses = (0..20).map(|number| ask(&format!("after-{number}")).head.status);
    let served = statuses.filter(|status| *status == 200).count();
    assert!((1..=5).contains(&served), "{served}");
}
