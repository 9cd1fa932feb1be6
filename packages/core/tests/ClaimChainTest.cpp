#include "fuchsialb/Base.h"
#include "fuchsialb/Claims.h"
#include "fuchsialb/src/Claims/ClaimHead.h"
#include "fuchsialb/src/Claims/ClaimSegment.h"
#include "tests/support/ClaimWriter.h"

#include <catch2/catch.hpp>

using namespace fuchsialb;
using namespace std::chrono_literals;
using internal::ClaimRecord;
using internal::ClaimSegment;
using internal::ClaimState;

namespace {

constexpr std::int64_t startUnix = 1'000'000;

ClaimKey key(std::uint64_t number) { return ClaimKey(Bits128 { 7, number }); }

/// \brief Options with segments of two records and a wall clock that is off by `error`.
ClaimOptions options(const ManualClock& clock, std::chrono::seconds error = 0s)
{
    ClaimOptions small;
    small.maxSegment = Bytes(30 + 2 * 43);
    small.retention = 100s;
    small.maxClockError = 10s;
    small.unixSeconds = [&clock, error] {
        return startUnix + std::chrono::floor<std::chrono::seconds>(clock.now().time_since_epoch()).count()
            + error.count();
    };
    return small;
}

void put(FakeStore& store, const std::string& name, const std::string& value)
{
    const auto found = store.values().find(name);
    const KeyVersion version = found == store.values().end() ? KeyVersion() : found->second.first;
    REQUIRE(store.apply(StoreCompareAndSwap { {}, name, version, value }).kind == StoreAnswer::Kind::Ok);
}

} // namespace

// Guards against a damaged or foreign value that is taken for records, and against lost fields.
TEST_CASE("Claim segments survive encoding and refuse damage")
{
    ClaimSegment segment;
    segment.setCreatedAt(11);
    segment.put({ key(1), 2, AttemptId(Bits128 { 3, 4 }), ClaimState::Claimed, 0 });
    segment.put({ key(5), 6, AttemptId(Bits128 { 7, 8 }), ClaimState::Completed, 201 });
    segment.put({ key(1), 2, AttemptId(Bits128 { 9, 9 }), ClaimState::Released, 0 });
    segment.seal(12);
    const std::string bytes = segment.encode();

    SECTION("fields are kept, with one record for each key")
    {
        const auto decoded = ClaimSegment::decode(bytes);
        REQUIRE(decoded.ok());
        CHECK(decoded->records() == segment.records());
        CHECK(decoded->records().size() == 2);
        CHECK(decoded->sealed());
        CHECK(decoded->createdAt() == 11);
        CHECK(decoded->sealedAt() == 12);
        CHECK(bytes.size() == ClaimSegment::headerBytes + 2 * ClaimSegment::recordBytes + ClaimSegment::checksumBytes);
    }
    SECTION("any changed byte, any cut and any addition is refused")
    {
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            std::string changed = bytes;
            changed[i] = static_cast<char>(changed[i] ^ 1);
            CHECK(reasonOf(ClaimSegment::decode(changed).status()) == Reason::MalformedMessage);
            CHECK_FALSE(ClaimSegment::decode(bytes.substr(0, i)).ok());
        }
        CHECK_FALSE(ClaimSegment::decode(bytes + '\0').ok());
    }
    SECTION("a correct checksum over wrong content is refused")
    {
        const auto refused = [&](std::size_t position, char value) {
            std::string changed = bytes.substr(0, bytes.size() - ClaimSegment::checksumBytes);
            changed[position] = value;
            const std::uint64_t checksum = hash64(changed);
            for (unsigned i = 0; i < 8; ++i)
                changed += static_cast<char>((checksum >> (8 * i)) & 0xff);
            return !ClaimSegment::decode(changed).ok();
        };
        CHECK(refused(0, 2));
        CHECK(refused(1, 2));
        CHECK(refused(18, 1));
        CHECK(refused(21, 1));
        // State of the first record, and its key made equal to that of the second.
        CHECK(refused(ClaimSegment::headerBytes + 40, 3));
        CHECK(refused(ClaimSegment::headerBytes + 8, 5));
    }
}

// Guards against two triples that share a claim, and against keys that change between versions.
TEST_CASE("Claim keys keep organisation, target and key apart")
{
    const ClaimKey known = claimKey(OrganisationId("a"), TargetId("b"), "c");
    CHECK(known == claimKey(OrganisationId("a"), TargetId("b"), "c"));
    CHECK(known != claimKey(OrganisationId("ab"), TargetId(""), "c"));
    CHECK(known != claimKey(OrganisationId("a"), TargetId("bc"), ""));
    CHECK(known != claimKey(OrganisationId("b"), TargetId("a"), "c"));
}

TEST_CASE("A claim is answered from the record of an earlier one")
{
    ManualClock clock;
    FakeStore store;
    ClaimWriter a(store, clock, options(clock));
    ClaimWriter b(store, clock, options(clock));
    REQUIRE(a.claim(key(1), 1).verdict == ClaimVerdict::Granted);

    // Guards against a second dispatch of a request that still runs, here or elsewhere.
    SECTION("while it runs, its outcome is unknown to all")
    {
        CHECK(a.claim(key(1), 2).verdict == ClaimVerdict::Unknown);
        CHECK(b.claim(key(1), 3).verdict == ClaimVerdict::Unknown);
        CHECK(b.claim(key(1), 4, 99).verdict == ClaimVerdict::KeyReused);
    }
    SECTION("once completed, its status is known to all, also after its segment was sealed")
    {
        for (std::uint64_t i = 10; i < 15; ++i)
            REQUIRE(b.claim(key(i), i).verdict == ClaimVerdict::Granted);
        a.settle(key(1), 1, Outcome::Completed, 201);
        for (ClaimWriter* writer : { &a, &b }) {
            const ClaimResult result = writer->claim(key(1), 2);
            CHECK(result.verdict == ClaimVerdict::Completed);
            CHECK(result.httpStatus == 201);
        }
        CHECK(b.claim(key(1), 3, 99).verdict == ClaimVerdict::KeyReused);
    }
    // Guards against a stale copy that keeps a released key blocked.
    SECTION("once released, it may be claimed by any writer")
    {
        REQUIRE(b.claim(key(1), 2).verdict == ClaimVerdict::Unknown);
        a.settle(key(1), 1, Outcome::NotRun);
        CHECK(b.claim(key(1), 3).verdict == ClaimVerdict::Granted);
    }
    SECTION("an unknown outcome stays unknown, and a settlement of another attempt changes nothing")
    {
        a.settle(key(1), 99, Outcome::NotRun);
        a.settle(key(1), 1, Outcome::Unknown);
        CHECK(a.claim(key(1), 2).verdict == ClaimVerdict::Unknown);
    }
}

// Guards against safety that depends on the head: it may be missing, damaged or name a segment that is not there.
TEST_CASE("A new writer sees every claim, whatever the head says")
{
    ManualClock clock;
    FakeStore store;
    ClaimWriter a(store, clock, options(clock));
    for (std::uint64_t i = 0; i < 9; ++i)
        REQUIRE(a.claim(key(i), 100 + i).verdict == ClaimVerdict::Granted);
    REQUIRE(store.values().contains("claims/t/0/5"));

    const std::string head = GENERATE(std::string(), std::string("damaged"), internal::encodeClaimHead(1000));
    if (!head.empty())
        put(store, "claims/t/0/head", head);
    ClaimWriter b(store, clock, options(clock));
    for (std::uint64_t i = 0; i < 9; ++i)
        CHECK(b.claim(key(i), 200 + i).verdict == ClaimVerdict::Unknown);
}

// Guards against claims that are granted on a segment that can't be read, or on a store restored from older data.
TEST_CASE("Nothing is granted while the records are not trustworthy")
{
    ManualClock clock;
    FakeStore store;
    ClaimWriter a(store, clock, options(clock));
    REQUIRE(a.claim(key(1), 1).verdict == ClaimVerdict::Granted);

    SECTION("a damaged segment")
    {
        put(store, "claims/t/0/1", "damaged");
        ClaimWriter b(store, clock, options(clock));
        CHECK(b.claim(key(2), 2).verdict == ClaimVerdict::Unavailable);
    }
    SECTION("a store that went back")
    {
        store = FakeStore();
        CHECK(a.claim(key(2), 2).verdict == ClaimVerdict::Unavailable);
        CHECK(a.claim(key(1), 3).verdict == ClaimVerdict::Unknown);
    }
}

// Guards against a claim that is forgotten before its retention has passed, by daemons whose clocks are off.
TEST_CASE("Claims are remembered for their retention and forgotten some time after")
{
    ManualClock clock;
    FakeStore store;
    ClaimWriter slow(store, clock, options(clock, -10s));
    REQUIRE(slow.claim(key(1), 1).verdict == ClaimVerdict::Granted);
    slow.settle(key(1), 1, Outcome::Completed);
    REQUIRE(slow.claim(key(2), 2).verdict == ClaimVerdict::Granted);
    REQUIRE(slow.claim(key(3), 3).verdict == ClaimVerdict::Granted);
    ClaimWriter fast(store, clock, options(clock, 10s));

    clock.advance(99s);
    REQUIRE(fast.claim(key(4), 4).verdict == ClaimVerdict::Granted);
    CHECK(fast.claim(key(1), 5).verdict == ClaimVerdict::Completed);

    clock.advance(50s);
    REQUIRE(fast.claim(key(5), 6).verdict == ClaimVerdict::Granted);
    CHECK(fast.claim(key(1), 7).verdict == ClaimVerdict::Granted);

    SECTION("a new writer starts at the oldest segment within retention")
    {
        fast.step();
        const std::uint64_t before = store.reads();
        ClaimWriter b(store, clock, options(clock));
        CHECK(b.claim(key(2), 8).verdict == ClaimVerdict::Granted);
        CHECK(internal::decodeClaimHead(store.values().at("claims/t/0/head").second) > 1);
        CHECK(store.reads() - before < store.values().size());
    }
}

TEST_CASE("Bad options of a claim log are refused")
{
    ManualClock clock;
    const auto refusal = [&](const ClaimOptions& bad, std::uint32_t shards = 1) {
        return reasonOf(ClaimLog::create(TargetId("t"), shards, bad, clock).status());
    };
    CHECK(refusal({}) == Reason::InvalidInput);
    CHECK(refusal(options(clock), 0) == Reason::InvalidInput);
    ClaimOptions small = options(clock);
    small.maxSegment = Bytes(72);
    CHECK(refusal(small) == Reason::InvalidInput);
    ClaimOptions impatient = options(clock);
    impatient.claimTimeout = 0s;
    CHECK(refusal(impatient) == Reason::InvalidInput);
}
