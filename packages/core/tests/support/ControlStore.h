#pragma once

#include "ControlWorld.h"
#include "fuchsialb/Control.h"

#include <functional>
#include <list>
#include <map>
#include <string>

namespace fuchsialb::test {

/// \brief The platform's store on the world's clock: compare-and-swap, reads and long polls, with seeded faults.
class ControlStore {
public:
    using Reply = std::function<void(const StoreAnswer&)>;

    explicit ControlStore(ControlWorld& world)
        : m_world(world)
    {
    }

    /// Carries an operation out for `host`, unless its path or a fault prevents it; `reply` runs at the host.
    void submit(const HostId& host, const std::variant<StoreRead, StoreWatch, StoreCompareAndSwap>& operation,
        const Reply& reply);
    /// Writes at once, as an operator does.
    void put(const std::string& key, const std::string& value);
    /// Puts back older contents, as a restore from a backup does.
    void restore(std::map<std::string, StoreAnswer> contents) { contentsByKey = std::move(contents); }

    std::map<std::string, StoreAnswer> contentsByKey;
    /// \return Whether `host` reaches the store.
    std::function<bool(const HostId&)> reachable = [](const HostId&) { return true; };
    /// Probability that an answer is lost after the operation took effect.
    double lostAnswers = 0;

private:
    struct Waiting {
        StoreWatch watch;
        HostId host;
        Reply reply;
    };

    void carryOut(const HostId& host, const StoreRead& read, const Reply& reply);
    void carryOut(const HostId& host, const StoreWatch& watch, const Reply& reply);
    void carryOut(const HostId& host, const StoreCompareAndSwap& write, const Reply& reply);
    void answer(const HostId& host, StoreAnswer answer, const Reply& reply);
    StoreAnswer show(const std::string& key, StoreOperationId operation) const;

    ControlWorld& m_world;
    std::list<Waiting> m_waiting;
};

} // namespace fuchsialb::test
