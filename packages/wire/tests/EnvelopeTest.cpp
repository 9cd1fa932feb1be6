#include "fuchsialb/Wire.h"

#include <peer.pb.h>

#include <catch2/catch.hpp>

using namespace fuchsialb;

namespace {

const EnvelopeKeys keys { "fleet", "current", "" };
const HostId sender("a");
const HostId receiver("b");
const PeerMessage message = CancelRequest { RequestId(Bits128 { 1, 2 }) };

std::string sealed(const EnvelopeKeys& with = keys) { return seal(with, sender, receiver, Incarnation(3), 4, message); }

Reason refusal(const EnvelopeKeys& with, const std::string& bytes)
{
    return reasonOf(open(with, receiver, bytes).status());
}

} // namespace

// Guards against messages of strangers, of other fleets and of daemons that speak another version.
TEST_CASE("Only authentic messages for this host are opened")
{
    SECTION("an authentic message is opened")
    {
        const auto opened = open(keys, receiver, sealed());
        REQUIRE(opened.ok());
        CHECK(opened->sender == sender);
        CHECK(opened->incarnation == Incarnation(3));
        CHECK(opened->sequence == 4);
        CHECK(std::get<CancelRequest>(opened->message).request == RequestId(Bits128 { 1, 2 }));
    }
    SECTION("during a rotation both keys are accepted, and no others")
    {
        CHECK(open({ "fleet", "next", "current" }, receiver, sealed()).ok());
        CHECK(refusal({ "fleet", "next", "other" }, sealed()) == Reason::WrongKey);
    }
    SECTION("an unset key signs nothing")
    {
        CHECK(refusal({ "fleet", "current", "" }, sealed({ "fleet", "", "" })) == Reason::WrongKey);
        CHECK(refusal({ "fleet", "", "" }, sealed({ "fleet", "", "" })) == Reason::WrongKey);
    }
    SECTION("another fleet, another protocol and another receiver are told apart")
    {
        CHECK(refusal({ "other", "current", "" }, sealed()) == Reason::WrongFleet);
        CHECK(reasonOf(open(keys, HostId("c"), sealed()).status()) == Reason::MalformedMessage);
        wire::Envelope envelope;
        envelope.ParseFromString(sealed());
        envelope.set_protocol(protocolVersion + 1);
        CHECK(refusal(keys, envelope.SerializeAsString()) == Reason::WrongProtocol);
    }
    SECTION("bytes that are no envelope")
    {
        CHECK(refusal(keys, "\xff\xff") == Reason::MalformedMessage);
        CHECK(refusal(keys, "") == Reason::WrongFleet);
    }
}

// Guards against a field that the MAC does not cover or that can be moved into its neighbour.
TEST_CASE("A change of any field breaks the signature")
{
    wire::Envelope envelope;
    envelope.ParseFromString(sealed());
    const std::vector<std::function<void(wire::Envelope&)>> changes {
        [](wire::Envelope& e) { e.set_sender("c"); },
        [](wire::Envelope& e) { e.set_sender("ab"), e.set_receiver(""); },
        [](wire::Envelope& e) { e.set_receiver("c"); },
        [](wire::Envelope& e) { e.set_incarnation(9); },
        [](wire::Envelope& e) { e.set_sequence(9); },
        [](wire::Envelope& e) { e.set_body(e.body() + '\0'); },
        [](wire::Envelope& e) { e.clear_mac(); },
        [](wire::Envelope& e) { e.set_mac(e.mac().substr(1)); },
        [](wire::Envelope& e) { e.mutable_mac()->back() ^= 1; },
    };
    for (const auto& change : changes) {
        wire::Envelope changed = envelope;
        change(changed);
        CHECK(refusal(keys, changed.SerializeAsString()) == Reason::WrongKey);
    }
}
