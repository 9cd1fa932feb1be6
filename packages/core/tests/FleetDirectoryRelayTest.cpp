#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

constexpr Duration hourLong = 1h;

/// A store's registry that the hosts of a data centre watch.
class Registry {
public:
    explicit Registry(FleetDataCentre& dataCentre)
        : m_dataCentre(dataCentre)
    {
        for (const auto& host : dataCentre.hosts)
            host->runnersView.recordSnapshot(StoreEra(1), m_version, dataCentre.now.time_since_epoch(), {});
    }

    std::vector<Host*> readers() const
    {
        std::vector<Host*> list;
        for (Host* host : m_dataCentre.living()) {
            if (host->directory.readsStore(m_dataCentre.now))
                list.push_back(host);
        }
        return list;
    }

    /// Writes a key, which the watches of the readers report at once.
    void write(const std::string& key, const std::string& value)
    {
        m_version = KeyVersion(m_version.value() + 1);
        for (Host* reader : readers()) {
            reader->registry[key] = value;
            reader->runnersView.recordChanges(
                StoreEra(1), { { key, value, false } }, m_version, m_dataCentre.now.time_since_epoch());
        }
    }

    std::size_t hostsWith(const std::string& key, const std::string& value) const
    {
        const auto living = m_dataCentre.living();
        return static_cast<std::size_t>(std::count_if(living.begin(), living.end(), [&](const Host* host) {
            const auto found = host->registry.find(key);
            return found != host->registry.end() && found->second == value;
        }));
    }

    KeyVersion version() const { return m_version; }

private:
    FleetDataCentre& m_dataCentre;
    KeyVersion m_version { 10 };
};

} // namespace

// Guards against calls of the store that grow with the number of hosts, and against hosts that miss a change.
TEST_CASE("A few hosts of a data centre watch the store for all of them")
{
    const std::size_t count = GENERATE(1U, 5U, 36U, 60U, 300U);
    CAPTURE(count);
    FleetDataCentre dataCentre(count);
    Registry registry(dataCentre);
    dataCentre.run(4s);
    CHECK(registry.readers().size() <= 2);
    CHECK_FALSE(registry.readers().empty());

    SECTION("and all know a change within a second")
    {
        registry.write("servers/a", "1");
        dataCentre.run(1s);
        CHECK(registry.hostsWith("servers/a", "1") == count);
        for (const auto& host : dataCentre.hosts)
            CHECK(host->runnersView.version() == registry.version());
    }

    SECTION("and changes in quick succession arrive in their order")
    {
        for (int i = 1; i <= 20; ++i) {
            registry.write("servers/a", std::to_string(i));
            dataCentre.step();
        }
        dataCentre.run(1s);
        CHECK(registry.hostsWith("servers/a", "20") == count);
    }

    SECTION("and the age of every view stays below the limit at which a host reads by itself")
    {
        // Enough steps for the first proofs to reach all hosts.
        constexpr int firstSteps = 10;
        for (int i = 0; i < 40; ++i) {
            for (Host* reader : registry.readers())
                reader->runnersView.recordChanges(
                    StoreEra(1), {}, registry.version(), dataCentre.now.time_since_epoch());
            dataCentre.step();
            if (i < firstSteps)
                continue;
            for (const auto& host : dataCentre.hosts)
                CHECK(host->runnersView.isRecent(dataCentre.now.time_since_epoch(), 1500ms));
        }
    }

    SECTION("and the loss of a reader delays no change")
    {
        if (count < 5)
            return;
        dataCentre.kill(registry.readers().front()->id);
        registry.write("servers/a", "2");
        dataCentre.run(1500ms);
        CHECK(registry.hostsWith("servers/a", "2") == count - 1);
    }
}

// Guards against a host that passes for up to date though changes between its version and the sender's are missing.
TEST_CASE("A view takes only updates that continue it")
{
    DirectoryView sender;
    sender.recordSnapshot(StoreEra(1), KeyVersion(10), 1s, {});
    sender.recordChanges(StoreEra(1), { { "a", "1", false } }, KeyVersion(12), 2s);
    DirectoryView receiver;
    const auto update = [&](const DirectoryView& to) { return sender.updateFor(to.era(), to.version(), true, 3s); };

    SECTION("from its own version on")
    {
        receiver.recordSnapshot(StoreEra(1), KeyVersion(11), 1s, {});
        CHECK(receiver.accept(update(receiver), 2s));
        CHECK(receiver.version() == KeyVersion(12));
        // The sender knew that at 2 s, one second before it sent the update, which it did after 2 s of the receiver.
        CHECK(receiver.provenAt() == 1s);
    }

    SECTION("and gets old if the sender doesn't have the changes")
    {
        receiver.recordSnapshot(StoreEra(1), KeyVersion(9), 1s, {});
        CHECK_FALSE(receiver.accept(update(receiver), 2s));
        CHECK(receiver.version() == KeyVersion(9));
        CHECK_FALSE(receiver.isRecent(3s, 2s));
    }

    SECTION("and has to be read as soon as it misses changes that others have")
    {
        receiver.recordSnapshot(StoreEra(1), KeyVersion(9), 2s, {});
        CHECK_FALSE(receiver.accept(update(receiver), 2s));
        CHECK(receiver.isRecent(2500ms, 3s));
        CHECK_FALSE(receiver.isRecent(3s, 3s));
    }

    SECTION("also over a listing of the sender, which tells what has changed and what was removed")
    {
        sender.recordSnapshot(StoreEra(1), KeyVersion(15), 2s, { { "b", "2", false } });
        receiver.recordSnapshot(StoreEra(1), KeyVersion(12), 1s, { { "a", "1", false } });
        const DirectoryUpdate changes = update(receiver);
        CHECK(receiver.accept(changes, 2s));
        CHECK(changes.changes == std::vector<KeyItem> { { "b", "2", false }, { "a", "", true } });
    }

    SECTION("and is read anew when the store has come back from an older copy")
    {
        receiver.recordSnapshot(StoreEra(1), KeyVersion(20), 1s, {});
        sender.recordSnapshot(StoreEra(2), KeyVersion(15), 2s, {});
        CHECK_FALSE(receiver.accept(update(receiver), 2s));
        CHECK(receiver.version() == KeyVersion());
        CHECK_FALSE(receiver.isRecent(3s, hourLong));

        SECTION("and takes nothing from hosts that don't know of that")
        {
            receiver.recordSnapshot(StoreEra(2), KeyVersion(15), 2s, {});
            DirectoryView outdated;
            outdated.recordSnapshot(StoreEra(1), KeyVersion(21), 1s, {});
            outdated.recordChanges(StoreEra(1), { { "a", "old", false } }, KeyVersion(22), 3s);
            CHECK_FALSE(receiver.accept(outdated.updateFor(StoreEra(1), KeyVersion(21), true, 3s), 3s));
            CHECK(receiver.version() == KeyVersion(15));
        }
    }
}
