//! The datagrams between instances, as Protocol Buffers messages.

mod condition;
mod poison;
mod quota;
mod slots;

pub(crate) use condition::{
    ConditionMessage,
    ProbeMessage, //
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
    EndedMessage,
    RequestMessage,
    ending, //
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
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
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
    /// Asks for the condition of an instance.
    #[prost(message, tag = "14")]
    Probe(ProbeMessage),
    /// Answers a probe.
    #[prost(message, tag = "15")]
    Condition(ConditionMessage),
    /// A request has ended, and its upstream reported its slowness.
    #[prost(message, tag = "16")]
    Ended(EndedMessage),
}

impl Datagram {
    /// Returns the kind of traffic that the datagram counts as.
    pub(crate) fn traffic_kind(&self) -> TrafficKind {
        match &self.body {
            Some(Body::QuotaQuestion(_) | Body::QuotaAnswer(_)) => TrafficKind::Quotas,
            Some(
                Body::EndReport(_)
                | Body::Cleared(_)
                | Body::Quarantine(_)
                | Body::EndAcknowledged(_)
                | Body::Held(_)
                | Body::Lifted(_),
            ) => TrafficKind::Poison,
            Some(Body::Probe(_) | Body::Condition(_)) => TrafficKind::Conditions,
            Some(
                Body::Ask(_) | Body::Notify(_) | Body::End(_) | Body::Ended(_) | Body::Answer(_),
            )
            | None => TrafficKind::Slots,
        }
    }
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::admission::{
        Answer,
        EndReport,
        Ending,
        Patience,
        SlotRequest,
        Ticket, //
    };
    use foxtide_core::placement::Slowness;
    use foxtide_core::poison::{
        self,
        Fingerprint,
        QuarantineEntry, //
    };
    use foxtide_core::quota::{
        QuotaAnswer,
        QuotaRequest, //
    };
    use foxtide_core::units::{
        RequestRate,
        Share, //
    };
    use prost::Message;

    const BUSY: Answer = Answer::Busy { served_in: None };
    const BUSY_FOR_NOW: Answer = Answer::Busy {
        served_in: Some(Duration::from_millis(140)),
    };

    fn slot_request(patience: Patience) -> SlotRequest {
        SlotRequest {
            ticket: Ticket {
                requester: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                number: 7,
            },
            upstream: "i-1".parse().unwrap(),
            born_at: None,
            kind: foxtide_core::routing::RequestKind::of_route("safe"),
            organisation: Some("acme".parse().unwrap()),
            organisation_rate: Some(RequestRate::clamped(40.0)),
            object: None,
            priority: 1,
            objective_left: Duration::from_millis(250),
            time_left: Duration::from_millis(900),
            patience,
            limit: None,
        }
    }

    fn samples() -> Vec<Datagram> {
        let request = QuotaRequest {
            organisation: "acme".parse().unwrap(),
            priority: 2,
            wanted: 3,
        };
        let slow_end = EndReport {
            ending: Ending::NotServed,
            slowness: Slowness::from_percent(250.0).ok(),
        };
        let report = poison::EndReport {
            fingerprint: Fingerprint::from_hash(7),
            upstream: "i-1".parse().unwrap(),
            born_at: None,
            is_isolated: true,
        };
        vec![
            Datagram::ask(&slot_request(Patience::NoWaitInTime), 3),
            Datagram::answer(7, BUSY_FOR_NOW),
            Datagram::quota_request(1, &request),
            Datagram::quota_answer(2, QuotaAnswer::Granted { tokens: 4 }),
            Datagram::quota_answer(3, QuotaAnswer::NotCoordinator),
            Datagram::end(1, slow_end),
            Datagram::end_report(4, &report),
            Datagram::end_acknowledged(4, report.fingerprint),
            Datagram::held(6, report.fingerprint),
            Datagram::lifted(6, report.fingerprint),
            Datagram::quarantine(
                5,
                Fingerprint::from_hash(9),
                QuarantineEntry { ends: 3, trials: 1 },
            ),
            Datagram::probe(),
            Datagram::condition(Share::clamped(0.5)),
        ]
    }

    /// Decodes every kind of body, as the instance does.
    fn decode_body(datagram: &Datagram) {
        match &datagram.body {
            Some(Body::Ask(message) | Body::Notify(message)) => {
                let from = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
                drop(message.request(from, datagram.number));
            }
            Some(Body::Answer(message)) => drop(message.answer()),
            Some(Body::Ended(message)) => drop(message.report()),
            Some(Body::QuotaQuestion(message)) => drop(message.request()),
            Some(Body::QuotaAnswer(message)) => drop(message.answer()),
            Some(Body::EndReport(message)) => drop(message.report()),
            Some(Body::Quarantine(message)) => drop(message.entry()),
            Some(Body::Condition(message)) => {
                let utilisation = message.utilisation().get();
                assert!((0.0..=1.0).contains(&utilisation));
            }
            Some(
                Body::End(_)
                | Body::Cleared(_)
                | Body::EndAcknowledged(_)
                | Body::Held(_)
                | Body::Lifted(_)
                | Body::Probe(_),
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
        for patience in [
            Patience::NoWait,
            Patience::NoWaitInTime,
            Patience::WithinObjective,
            Patience::UntilDeadline,
        ] {
            let sent = slot_request(patience);
            let Some(Body::Ask(message)) = Datagram::ask(&sent, 3).body else {
                panic!("not a question");
            };
            let ticket = sent.ticket;
            assert_eq!(message.request(ticket.requester, ticket.number), Ok(sent));
        }
        let retry_after = Duration::from_millis(30);
        let throttled = Answer::Throttled {
            retry_after: Duration::from_millis(31),
        };
        for (sent, received) in [
            (Answer::Granted, Answer::Granted),
            (Answer::Waiting, Answer::Waiting),
            (BUSY, BUSY),
            (BUSY_FOR_NOW, BUSY_FOR_NOW),
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

    /// Instances that know no slowness must keep understanding the end of a request.
    #[test]
    fn verify_an_end_without_a_slowness_is_sent_as_before() {
        let unknown = Datagram::end(1, Ending::Served.into());
        assert_eq!(unknown.body, Some(Body::End(true)));
        // A figure of 0 is no figure.
        let zero = EndedMessage {
            is_served: true,
            slowness_percent: Some(0),
        };
        assert_eq!(zero.report(), Ending::Served.into());
    }
}
