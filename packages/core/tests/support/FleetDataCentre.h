#pragma once

#include "fuchsialb/Base.h"
#include "fuchsialb/Fleet.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace fuchsialb::test {

using namespace std::chrono_literals;

/// A host with the state that its beats carry.
struct Host {
    HostId id;
    DataCentreId dataCentre;
    HostDirectory directory;
    LoadLedger ledger;
    RunnerDirectory runners;
    ConfigurationInForce configuration { 5s };
    DirectoryView runnersView;
    DirectoryView hostsView;
    CrashEvidence crashes;
    RequestRateLimits rateLimits;
    RequestRateAdmission rateAdmission;
    StoreReach storeReach;
    /// Keys of the registry that other hosts have passed on, with their last values.
    std::map<std::string, std::string> registry;
    BeatExchange beats;

    Host(const char* name, const char* dataCentreName)
        : id(name)
        , dataCentre(dataCentreName)
        , directory(id, dataCentre)
        , rateAdmission(static_cast<double>(hash64(name) % 1000) / 1000)
        , beats({ id, dataCentre, std::string(name) + ":1", directory, ledger, runners, configuration, runnersView,
                    hostsView, crashes, rateLimits, rateAdmission, storeReach },
              { [this](const HostId&, const DirectoryUpdate& update) {
                   for (const KeyItem& change : update.changes)
                       registry[change.key] = change.value;
               },
                  {}, {}, {} })
    {
    }

    RegisteredHost registration() const { return { id, dataCentre, id.value() + ":1" }; }
};

std::shared_ptr<const RoutingTable> table(std::uint64_t version);

/// Hosts of one data centre, all with configuration 7, that know each other by their registrations.
struct FleetDataCentre {
    std::vector<std::unique_ptr<Host>> hosts;
    TimePoint now { 100s };
    /// Copies of a configuration in the beats so far, and the largest number that one host sent at once.
    std::size_t copies = 0;
    std::size_t mostCopiesAtOnce = 0;
    /// Beats that each host has sent and received so far.
    std::map<HostId, std::size_t> messages;

    explicit FleetDataCentre(std::size_t count);

    /// Delivers the beats that are due between living hosts and advances the time by 100 ms. A host that gets the text
    /// of a configuration accepts it as the version of the sender.
    void step();
    /// Ends a host without notice.
    void kill(const HostId& id) { m_dead.insert(id); }
    bool isAlive(const HostId& id) const { return !m_dead.contains(id); }
    /// Lets a host announce that it shuts down, while it goes on.
    void stop(const HostId& id) { m_stopping.insert(id); }
    /// Drops all beats from one host to another.
    void cut(const HostId& from, const HostId& to) { m_cuts.emplace(from, to); }
    /// \return The living hosts.
    std::vector<Host*> living() const;
    void run(Duration time);
    std::size_t withConfiguration(std::uint64_t version) const;

private:
    std::map<HostId, Host*> m_byId;
    std::set<HostId> m_dead;
    std::set<HostId> m_stopping;
    std::set<std::pair<HostId, HostId>> m_cuts;
};

} // namespace fuchsialb::test
