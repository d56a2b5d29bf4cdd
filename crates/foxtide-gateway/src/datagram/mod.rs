//! The datagrams between instances, as Protocol Buffers messages.

mod demand;
mod poison;
mod quota;
mod slots;

pub(crate) use demand::{
    DemandReportMessage,
    DemandSummaryMessage,
    RegionSum, //
};
pub(crate) use poison::{
    QuarantineMessage,
    UpstreamEndMessage, //
};
pub(crate) use quota::{
    QuotaAnswerMessage,
    QuotaQuestionMessage, //
};
pub(crate) use slots::{
    AnswerMessage,
    RequestMessage, //
};

use crate::traffic::TrafficKind;
use std::time::Duration;

/// A request, an answer or a notice.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Datagram {
    /// The number of the request at the instance that asks.
    #[prost(fixed64, tag = "1")]
    pub(crate) number: u64,
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 17, 18"
    )]
    pub(crate) body: Option<Body>,
}

/// The contents of a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Body {
    /// Asks for a slot.
    #[prost(message, tag = "2")]
    Ask(RequestMessage),
    /// Notifies of a request that is sent without asking.
    #[prost(message, tag = "3")]
    Notify(RequestMessage),
    /// A request has ended; whether the upstream served it.
    #[prost(bool, tag = "4")]
    End(bool),
    /// Answers a request for a slot.
    #[prost(message, tag = "5")]
    Answer(AnswerMessage),
    /// Asks for tokens of a quota.
    #[prost(message, tag = "6")]
    QuotaQuestion(QuotaQuestionMessage),
    /// Answers a quota request.
    #[prost(message, tag = "7")]
    QuotaAnswer(QuotaAnswerMessage),
    /// An upstream ended while it worked on a request.
    #[prost(message, tag = "8")]
    EndReport(UpstreamEndMessage),
    /// The fingerprint of a suspected request that was served.
    #[prost(fixed64, tag = "9")]
    Cleared(u64),
    /// A request is quarantined.
    #[prost(message, tag = "10")]
    Quarantine(QuarantineMessage),
    /// The fingerprint of a request of which the end of an upstream was counted.
    #[prost(fixed64, tag = "11")]
    EndAcknowledged(u64),
    /// The fingerprint of a request that is held until an end is acknowledged.
    #[prost(fixed64, tag = "12")]
    Held(u64),
    /// The fingerprint of a request that is held no longer.
    #[prost(fixed64, tag = "13")]
    Lifted(u64),
    /// Reports the demand of an instance's callers.
    #[prost(message, tag = "17")]
    DemandReport(DemandReportMessage),
    /// Answers a report, or tells aggregators of other regions the sum of the own one.
    #[prost(message, tag = "18")]
    DemandSummary(DemandSummaryMessage),
}

impl Datagram {
    /// Returns the kind of traffic that the datagram counts as.
    pub(crate) fn traffic_kind(&self) -> TrafficKind {
        match &self.body {
            Some(Body::QuotaQuestion(_) | Body::QuotaAnswer(_)) => TrafficKind::Quotas,
            Some(Body::DemandReport(_) | Body::DemandSummary(_)) => TrafficKind::Demand,
            Some(
                Body::EndReport(_)
                | Body::Cleared(_)
                | Body::Quarantine(_)
                | Body::EndAcknowledged(_)
                | Body::Held(_)
                | Body::Lifted(_),
            ) => TrafficKind::Poison,
            Some(Body::Ask(_) | Body::Notify(_) | Body::End(_) | Body::Answer(_)) | None => {
                TrafficKind::Slots
            }
        }
    }
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::admission::Answer;
    use foxtide_core::placement::demand::{
        BusySlots,
        DemandByService,
        KindHash,
        RegionHash,
        ServiceDemand,
        ServiceHash, //
    };
    use foxtide_core::poison::{
        EndReport,
        Fingerprint,
        QuarantineEntry, //
    };
    use foxtide_core::quota::{
        QuotaAnswer,
        QuotaRequest, //
    };
    use prost::Message;

    fn samples() -> Vec<Datagram> {
        let request = QuotaRequest {
            organisation: "acme".parse().unwrap(),
            priority: 2,
            wanted: 3,
        };
        let report = EndReport {
            fingerprint: Fingerprint::from_hash(7),
            upstream: "i-1".parse().unwrap(),
            born_at: None,
            is_isolated: true,
        };
        let kinds = [(KindHash::from_hash(6), BusySlots::clamped(1.5))];
        let demand = ServiceDemand {
            kinds: kinds.into(),
            homed: [(RegionHash::from_hash(8), BusySlots::clamped(0.2))].into(),
        };
        let demand = DemandByService::from([(ServiceHash::from_hash(7), demand)]);
        let region = RegionHash::from_hash(8);
        let sum = RegionSum {
            region,
            age: Duration::from_millis(900),
            demand: demand.clone(),
        };
        let mut samples = Datagram::demand_report(region, &demand);
        samples.extend(Datagram::demand_summary([sum]));
        samples.extend([
            Datagram::quota_request(1, &request),
            Datagram::quota_answer(2, QuotaAnswer::Granted { tokens: 4 }),
            Datagram::quota_answer(3, QuotaAnswer::NotCoordinator),
            Datagram::end_report(4, &report),
            Datagram::end_acknowledged(4, report.fingerprint),
            Datagram::held(6, report.fingerprint),
            Datagram::lifted(6, report.fingerprint),
            Datagram::quarantine(
                5,
                Fingerprint::from_hash(9),
                QuarantineEntry { ends: 3, trials: 1 },
            ),
        ]);
        samples
    }

    /// Decodes every kind of body, as the instance does.
    fn decode_body(datagram: &Datagram) {
        match &datagram.body {
            Some(Body::Ask(message) | Body::Notify(message)) => {
                let from = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
                drop(message.request(from, datagram.number));
            }
            Some(Body::Answer(message)) => drop(message.answer()),
            Some(Body::QuotaQuestion(message)) => drop(message.request()),
            Some(Body::QuotaAnswer(message)) => drop(message.answer()),
            Some(Body::EndReport(message)) => drop(message.report()),
            Some(Body::Quarantine(message)) => drop(message.entry()),
            Some(Body::DemandReport(message)) => drop(message.demand()),
            Some(Body::DemandSummary(message)) => drop(message.sums().count()),
            Some(
                Body::End(_)
                | Body::Cleared(_)
                | Body::EndAcknowledged(_)
                | Body::Held(_)
                | Body::Lifted(_),
            )
            | None => {}
        }
    }

    /// Random bytes and corrupted or truncated datagrams must not cause a panic.
    #[test]
    fn verify_malformed_datagrams_cause_no_panic() {
        let mut draws = fastrand::Rng::with_seed(5);
        let samples = samples();
        for _ in 0..20_000 {
            let mut bytes = match draws.usize(..=samples.len()) {
                number if number < samples.len() => samples[number].encode_to_vec(),
                _ => (0..draws.usize(..64)).map(|_| draws.u8(..)).collect(),
            };
            for _ in 0..draws.usize(..4) {
                let at = draws.usize(..bytes.len().max(1));
                if let Some(byte) = bytes.get_mut(at) {
                    *byte = draws.u8(..);
                }
            }
            bytes.truncate(draws.usize(..=bytes.len()));
            if let Ok(datagram) = Datagram::decode(bytes.as_slice()) {
                decode_body(&datagram);
            }
        }
    }

    #[test]
    fn verify_datagrams_survive_a_round_trip() {
        for sample in samples() {
            let read = Datagram::decode(sample.encode_to_vec().as_slice()).unwrap();
            assert_eq!(read, sample);
        }
        let retry_after = Duration::from_millis(30);
        let throttled = Answer::Throttled {
            retry_after: Duration::from_millis(31),
        };
        for (sent, received) in [
            (Answer::Granted, Answer::Granted),
            (Answer::Waiting, Answer::Waiting),
            (Answer::Busy, Answer::Busy),
            (
                Answer::Rejected { retry_after },
                Answer::Rejected { retry_after },
            ),
            // A throttled request comes back after the token, not before it.
            (Answer::Throttled { retry_after }, throttled),
            (Answer::NotCoordinator, Answer::NotCoordinator),
        ] {
            let Some(Body::Answer(message)) = Datagram::answer(1, sent).body else {
                panic!("not an answer");
            };
            assert_eq!(message.answer(), received);
        }
        let wrong = UpstreamEndMessage::default();
        assert!(wrong.report().is_err());
        assert!(QuotaQuestionMessage::default().request().is_err());
        assert_eq!(
            QuotaAnswerMessage::default().answer(),
            QuotaAnswer::NotCoordinator
        );
    }
}
