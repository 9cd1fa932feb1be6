#include "ClientAccount.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace fuchsialb {

namespace {

    // The rest is for the process itself, for copies of requests that run, and for what the allocator can't give back.
    constexpr std::int64_t memoryDivisor = 4;
    // Descriptors that aren't sockets, and those that the platform keeps for files.
    constexpr std::size_t reservedDescriptors = 200;
    // A request that runs needs a connection to its runner too, while many clients are idle.
    constexpr double clientShareOfSockets = 2.0 / 3;
    constexpr std::size_t minConnections = 16;

    // Half of what was moved this long ago counts.
    constexpr double progressHalfLifeSeconds = 1;
    // Clients that have just begun to send compare by what they hold.
    constexpr double progressFloorBytes = 4096;
    // A client that has entered its stage more recently isn't slow yet.
    constexpr Duration youngestSlow = std::chrono::milliseconds(500);

} // namespace

ClientBudgets ClientBudgets::forMachine(Bytes memory, std::size_t descriptors)
{
    const std::size_t sockets = descriptors > reservedDescriptors ? descriptors - reservedDescriptors : 0;
    const auto connections = static_cast<std::size_t>(static_cast<double>(sockets) * clientShareOfSockets);
    return { Bytes(memory.value() / memoryDivisor), std::max(connections, minConnections) };
}

ClientAccount::ClientAccount(ClientBudgets budgets)
    : m_budgets(budgets)
{
}

std::optional<ClientId> ClientAccount::open(TimePoint now, std::function<void()> evict)
{
    if (m_clients.size() >= m_budgets.connections) {
        const auto client = slowest(now);
        if (client == m_clients.end())
            return std::nullopt;
        this->evict(client);
    }
    const ClientId id(++m_lastId);
    m_clients.emplace(id, Client { std::move(evict), {}, 0, now, now });
    return id;
}

void ClientAccount::update(ClientId client, const Usage& usage, TimePoint now)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end())
        return;
    Client& entry = found->second;
    m_held = Bytes(m_held.value() + usage.held.value() - entry.usage.held.value());
    entry.recent = recentBytes(entry, now) + static_cast<double>(usage.moved.value());
    entry.updatedAt = now;
    if (usage.stage != entry.usage.stage)
        entry.stageSince = now;
    entry.usage = usage;
    while (m_held.value() > m_budgets.memory.value()) {
        const auto heaviestClient = heaviest(now);
        if (heaviestClient == m_clients.end())
            return;
        evict(heaviestClient);
    }
}

void ClientAccount::close(ClientId client)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end())
        return;
    m_held = Bytes(m_held.value() - found->second.usage.held.value());
    m_clients.erase(found);
}

double ClientAccount::recentBytes(const Client& client, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - client.updatedAt).count();
    return client.recent * std::exp2(-seconds / progressHalfLifeSeconds);
}

ClientAccount::Clients::iterator ClientAccount::heaviest(TimePoint now)
{
    auto heaviest = m_clients.end();
    double most = 0;
    for (auto client = m_clients.begin(); client != m_clients.end(); ++client) {
        const Usage& usage = client->second.usage;
        if (usage.stage != Stage::Reading && usage.stage != Stage::Answering)
            continue;
        const double weight
            = static_cast<double>(usage.held.value()) / (recentBytes(client->second, now) + progressFloorBytes);
        if (weight > most) {
            most = weight;
            heaviest = client;
        }
    }
    return heaviest;
}

ClientAccount::Clients::iterator ClientAccount::slowest(TimePoint now)
{
    // Idle clients come last, since they may be about to use their connection again.
    const auto rank = [now](const Client& client) {
        const bool isIdle = client.usage.stage == Stage::Idle;
        return std::tuple(isIdle, isIdle ? 0 : recentBytes(client, now), client.stageSince);
    };
    auto slowest = m_clients.end();
    for (auto client = m_clients.begin(); client != m_clients.end(); ++client) {
        const Client& entry = client->second;
        if (entry.usage.stage == Stage::Running || now - entry.stageSince < youngestSlow)
            continue;
        if (slowest == m_clients.end() || rank(entry) < rank(slowest->second))
            slowest = client;
    }
    return slowest;
}

void ClientAccount::evict(Clients::iterator client)
{
    const std::function<void()> hook = std::move(client->second.evict);
    m_held = Bytes(m_held.value() - client->second.usage.held.value());
    m_clients.erase(client);
    ++m_evictions;
    hook();
}

} // namespace fuchsialb
