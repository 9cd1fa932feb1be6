#include "tests/support/DirectoryWorld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace fuchsialb;
using namespace fuchsialb::test;
using namespace std::chrono_literals;

namespace {

using Items = std::vector<KeyItem>;

constexpr int stepsPerRun = 3000;
/// Bytes of the largest value that the store takes.
constexpr std::size_t largestValue = 1'048'576;

/// Does one thing at random.
void step(DirectoryWorld& world, std::mt19937& random)
{
    const auto below = [&](std::uint32_t bound) { return std::uniform_int_distribution(0U, bound - 1)(random); };
    const std::size_t host = below(4);
    const std::size_t other = (host + 1 + below(3)) % 4;
    const std::string key(1, static_cast<char>('a' + below(2)));
    const std::uint32_t kind = below(100);
    if (kind < 8)
        world.write(key, "same");
    else if (kind < 16)
        world.remove(key);
    else if (kind < 26)
        world.call(host);
    else if (kind < 32)
        world.list(host);
    else if (kind < 62)
        world.beat(host, other);
    else if (kind < 98 && world.hasPending())
        world.deliver(below(8));
    else if (kind == 98)
        world.saveCopy();
    else if (kind == 99)
        world.restoreCopy();
}

} // namespace

// Guards against a host that names a version of the store without holding what the store held at that version.
TEST_CASE("A view that names a version holds the store's content at that version")
{
    SECTION("in any order of writes, removals, listings, watches, updates and returns of the store")
    {
        const bool holds = rc::check("for four hosts", [] {
            DirectoryWorld world(4);
            std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
            for (int i = 0; i < stepsPerRun; ++i) {
                step(world, random);
                RC_ASSERT(world.viewsAreExact());
            }
            world.settle();
            RC_ASSERT(world.viewsAreExact());
            RC_ASSERT(world.allCurrent());
        });
        CHECK(holds);
    }

    SECTION("when a host lists the prefix between two versions and passes on the difference")
    {
        DirectoryView sender;
        DirectoryView receiver;
        sender.recordSnapshot(StoreEra(1), KeyVersion(10), 1s, { { "a", "1", false } });
        // The key was removed at version 11 and written again at version 12.
        sender.recordSnapshot(StoreEra(1), KeyVersion(12), 2s, { { "a", "1", false } });

        SECTION("a host at a version between doesn't take it")
        {
            receiver.recordSnapshot(StoreEra(1), KeyVersion(11), 1s, {});
            const auto update = sender.updateFor(StoreEra(1), KeyVersion(11), true, 2s);
            CHECK_FALSE(receiver.accept(update, 2s));
            CHECK(receiver.version() == KeyVersion(11));
        }

        SECTION("a host that has moved on meanwhile doesn't take it either")
        {
            receiver.recordSnapshot(StoreEra(1), KeyVersion(11), 1s, {});
            const auto update = sender.updateFor(StoreEra(1), KeyVersion(10), true, 2s);
            REQUIRE(update.from == KeyVersion(10));
            CHECK_FALSE(receiver.accept(update, 2s));
            CHECK(receiver.version() == KeyVersion(11));
        }

        SECTION("a host at the first version does")
        {
            receiver.recordSnapshot(StoreEra(1), KeyVersion(10), 1s, { { "a", "1", false } });
            receiver.accept(sender.updateFor(StoreEra(1), KeyVersion(10), true, 2s), 2s);
            CHECK(receiver.version() == KeyVersion(12));
            CHECK(receiver.digest() == sender.digest());
        }
    }
}

// Guards against a wrong view that passes for current because its version is.
TEST_CASE("A host whose view differs from that of another host at the same version lists the prefix")
{
    DirectoryView right;
    DirectoryView wrong;
    right.recordSnapshot(StoreEra(1), KeyVersion(10), 11s, { { "a", "1", false } });
    wrong.recordSnapshot(StoreEra(1), KeyVersion(10), 1s, { { "a", "1", false }, { "b", "1", false } });
    const auto hear = [&](Duration now) {
        right.recordChanges(StoreEra(1), {}, KeyVersion(10), now);
        wrong.accept(right.updateFor(StoreEra(1), KeyVersion(10), true, now), now);
    };
    hear(11s);
    CHECK_FALSE(wrong.needsListing(11s));
    hear(12s);
    CHECK(wrong.needsListing(12s));
    CHECK_FALSE(wrong.isRecent(12s, 5s));

    SECTION("and is right and recent after that")
    {
        wrong.recordSnapshot(StoreEra(1), KeyVersion(10), 12s, { { "a", "1", false } });
        hear(13s);
        CHECK(wrong.digest() == right.digest());
        CHECK(wrong.isRecent(13s, 5s));
    }

    SECTION("but not again for a while if the other one keeps other content")
    {
        wrong.recordSnapshot(StoreEra(1), KeyVersion(10), 12s, { { "c", "1", false } });
        for (Duration now = 12s; now < 22s; now += 1s) {
            hear(now);
            CHECK_FALSE(wrong.needsListing(now));
        }
    }

    SECTION("and a host that tells no digest is not compared")
    {
        wrong.recordSnapshot(StoreEra(1), KeyVersion(10), 12s, { { "c", "1", false } });
        auto update = right.updateFor(StoreEra(1), KeyVersion(10), true, 30s);
        update.digest = ContentDigest();
        wrong.accept(update, 30s);
        wrong.accept(update, 40s);
        CHECK_FALSE(wrong.needsListing(41s));
    }
}

// Guards against endpoints that are dropped because their entries lapsed while the store was away, and against removed
// ones that stay in use because one host alone was cut off from the store.
TEST_CASE("A key that the store lacks is gone for good unless the store was away")
{
    DirectoryView view;
    view.recordSnapshot(StoreEra(1), KeyVersion(10), 10s, { { "a", "1", false } });
    REQUIRE(view.isSettled(10s));

    SECTION("not while the store is away, and not for two seconds after its return")
    {
        view.recordStoreFailure(11s);
        CHECK(view.isSettled(11s));
        view.recordStoreFailure(15s);
        CHECK_FALSE(view.isSettled(15s));
        CHECK_FALSE(view.isSettled(30s));
        view.recordSnapshot(StoreEra(1), KeyVersion(12), 31s, {});
        CHECK_FALSE(view.isSettled(33s));
        CHECK(view.isSettled(33500ms));
    }

    SECTION("also where another host tells of the return")
    {
        view.recordStoreFailure(15s);
        DirectoryView other;
        other.recordSnapshot(StoreEra(1), KeyVersion(10), 16s, { { "a", "1", false } });
        view.accept(other.updateFor(StoreEra(1), KeyVersion(10), true, 16s), 16s);
        CHECK_FALSE(view.isSettled(18s));
        CHECK(view.isSettled(18500ms));
    }

    SECTION("at once while other hosts reach the store")
    {
        for (Duration now = 10s; now < 20s; now += 500ms) {
            DirectoryView other;
            other.recordSnapshot(StoreEra(1), KeyVersion(10), now, { { "a", "1", false } });
            view.accept(other.updateFor(StoreEra(1), KeyVersion(10), true, now), now);
            view.recordStoreFailure(now + 200ms);
        }
        view.recordSnapshot(StoreEra(1), KeyVersion(12), 20s, {});
        CHECK(view.isSettled(20s));

        SECTION("and the removal is passed on with the version that covers it")
        {
            const auto update = view.updateFor(StoreEra(1), KeyVersion(10), true, 20s);
            CHECK(update.version == KeyVersion(12));
            CHECK(update.changes == Items { { "a", "", true } });
        }
    }

    SECTION("not for two seconds after the store came back from an older copy")
    {
        view.reset(StoreEra(2), 20s);
        view.recordSnapshot(StoreEra(2), KeyVersion(8), 20s, {});
        CHECK_FALSE(view.isSettled(22s));
        CHECK(view.isSettled(22500ms));
    }
}

// Guards against memory that grows with the size of the values, not with the number of changes.
TEST_CASE("Changes are kept for hosts that are behind as long as they take little memory")
{
    const Bytes bound { largestValue };
    DirectoryView view;
    view.recordSnapshot(StoreEra(1), KeyVersion(1), 1s, { { "a", "1", false } });

    SECTION("however large the values are")
    {
        const std::size_t size = GENERATE(std::size_t(100), std::size_t(10'000), largestValue);
        for (std::uint64_t version = 2; version < 40; ++version) {
            const std::string value(size, static_cast<char>('a' + version % 26));
            view.recordChanges(StoreEra(1), { { "b", value, false } }, KeyVersion(version), 1s);
            CHECK(view.keptBytes() < bound);
        }
        CHECK(view.version() == KeyVersion(39));
    }

    SECTION("also if a listing is far from the view")
    {
        std::vector<KeyItem> items;
        for (int i = 0; i < 5000; ++i)
            items.push_back({ std::to_string(i), std::string(300, 'x'), false });
        view.recordSnapshot(StoreEra(1), KeyVersion(2), 1s, items);
        CHECK(view.keptBytes() < bound);
    }
}

// Guards against hosts that hold other content after one of them has kept a part of a value only.
TEST_CASE("A value that is reduced to what is read of it counts as the one that was written")
{
    const std::string written(5000, 'x');
    KeyItem reduced { "a", written, false };
    reduced.reduceTo("read");
    DirectoryView whole;
    DirectoryView partial;
    whole.recordSnapshot(StoreEra(1), KeyVersion(10), 1s, { { "a", written, false } });
    partial.recordSnapshot(StoreEra(1), KeyVersion(10), 1s, { reduced });
    CHECK(whole.digest() == partial.digest());

    SECTION("also when it is passed on to a host that is behind")
    {
        DirectoryView behind;
        behind.recordSnapshot(StoreEra(1), KeyVersion(9), 1s, {});
        DirectoryView sender;
        sender.recordSnapshot(StoreEra(1), KeyVersion(9), 1s, {});
        sender.recordChanges(StoreEra(1), { reduced }, KeyVersion(10), 1s);
        CHECK(behind.accept(sender.updateFor(StoreEra(1), KeyVersion(9), true, 1s), 1s));
        CHECK(behind.digest() == whole.digest());
    }

    SECTION("and a listing with the same value is no change")
    {
        partial.recordSnapshot(StoreEra(1), KeyVersion(11), 2s, { { "a", written, false } });
        const auto update = partial.updateFor(StoreEra(1), KeyVersion(10), true, 2s);
        CHECK(update.from == KeyVersion(10));
        CHECK(update.changes.empty());
    }
}
