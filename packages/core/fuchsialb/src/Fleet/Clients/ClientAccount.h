#pragma once

#include "../../Base/Clock.h"
#include "../../Base/Ids.h"
#include "../../Base/Units.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace fuchsialb {

/// \brief What all clients of a process may hold together.
struct ClientBudgets {
    /// For requests that are read or run and for answers that aren't taken yet.
    Bytes memory { 67'108'864 };
    std::size_t connections = 4096;

    /// \param memory Memory of the machine, which the process has for itself.
    /// \param descriptors Most descriptors that the process may have open.
    static ClientBudgets forMachine(Bytes memory, std::size_t descriptors);
};

using ClientId = internal::StrongId<struct ClientTag, std::uint64_t>;

/// \brief Account of the memory and connections that clients hold, and the choice of the clients that have to give them
/// back.
///
/// Answers crowds of clients that hold as much as they are allowed to and let nothing move: a limit for each of them
/// doesn't bound their sum. Beyond the budget the client that holds most for what it moves is evicted, so that a caller
/// who makes progress goes on. A request that runs is never cut, since its caller could not tell whether it has run.
///
/// Not thread-safe. Each connection is opened, updated whenever it has read, written or changed its stage, and closed.
class ClientAccount {
public:
    enum class Stage : unsigned char {
        /// Between two requests.
        Idle,
        /// A request is read and not passed on yet.
        Reading,
        /// A request has been passed on, and no answer waits to be taken.
        Running,
        /// An answer waits to be taken.
        Answering,
    };

    /// What a client does and holds.
    struct Usage {
        Stage stage = Stage::Idle;
        Bytes held { 0 };
        /// Bytes read from or taken by the client since the last update.
        Bytes moved { 0 };
    };

    explicit ClientAccount(ClientBudgets budgets);

    /// Takes a connection, for which another one may be evicted.
    /// \param evict Called at most once, when the client has to give back what it holds; must not call the account.
    /// \return None if no connection is free.
    std::optional<ClientId> open(TimePoint now, std::function<void()> evict);
    /// Also evicts clients while they hold more than the budget.
    void update(ClientId client, const Usage& usage, TimePoint now);
    void close(ClientId client);

    /// \return Whether the client is open and hasn't been evicted.
    bool contains(ClientId client) const { return m_clients.contains(client); }
    Bytes held() const { return m_held; }
    /// \return The number of open connections, without evicted ones.
    std::size_t connections() const { return m_clients.size(); }
    std::uint64_t evictions() const { return m_evictions; }

private:
    struct Client {
        std::function<void()> evict;
        Usage usage;
        /// Bytes moved, weighted by how long ago.
        double recent = 0;
        TimePoint updatedAt;
        TimePoint stageSince;
    };

    using Clients = std::map<ClientId, Client>;

    static double recentBytes(const Client& client, TimePoint now);
    /// \return The client that holds most for what it moves.
    Clients::iterator heaviest(TimePoint now);
    /// \return The client that moves least among those that read or take something; then the one that is idle longest.
    Clients::iterator slowest(TimePoint now);
    void evict(Clients::iterator client);

    ClientBudgets m_budgets;
    Clients m_clients;
    std::uint64_t m_lastId = 0;
    Bytes m_held { 0 };
    std::uint64_t m_evictions = 0;
};

} // namespace fuchsialb
