#include "fuchsialb/Base.h"
#include "fuchsialb/src/Control/OrderOwnership.h"
#include "fuchsialb/src/Control/VersionHolder.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <set>

using namespace fuchsialb;
using namespace fuchsialb::internal;
using namespace std::chrono_literals;

namespace {

constexpr int versions = 3;
constexpr std::size_t chunkSize = 2;

/// Encoding of a version: four bytes, two chunks.
std::string encodingOf(std::uint64_t version) { return "v" + std::to_string(version) + "--"; }

absl::StatusOr<Configuration> decode(std::string_view bytes)
{
    Configuration configuration;
    configuration.version = ConfigurationVersion(static_cast<std::uint64_t>(bytes.at(1) - '0'));
    return configuration;
}

/// Every chunk that can be on the wire: each half of each version, sound or damaged.
std::vector<ConfigChunk> allChunks()
{
    std::vector<ConfigChunk> chunks;
    for (std::uint64_t version = 1; version <= versions; ++version) {
        const std::string encoding = encodingOf(version);
        for (const std::size_t offset : { std::size_t(0), chunkSize }) {
            ConfigChunk chunk { ConfigurationVersion(version), offset, encoding.size(), hash128(encoding),
                encoding.substr(offset, chunkSize) };
            chunks.push_back(chunk);
            chunk.bytes.back() = chunk.bytes.back() == '-' ? '+' : chunk.bytes.back();
            chunks.push_back(chunk);
        }
    }
    return chunks;
}

/// Visits all states that two holders reach by chunks from the wire in any order, with losses and repeats, by chunks
/// of each other, and by whole versions of the store. \return The number of states, or 0 when a rule was broken.
std::size_t exploreHolders(SpreadFault fault)
{
    using State = std::array<VersionHolder, 2>;
    const auto nameOf = [](const State& state) {
        std::string name;
        for (const VersionHolder& holder : state) {
            name += std::to_string(holder.number().value()) + ':';
            for (std::uint64_t version = 1; version <= versions; ++version)
                name += std::to_string(holder.next(ConfigurationVersion(version)).offset);
            name += std::string(holder.partialBytes()) + ';';
        }
        return name;
    };
    const std::vector<ConfigChunk> wire = allChunks();
    const State start { VersionHolder(decode, fault), VersionHolder(decode, fault) };
    std::set<std::string> seen { nameOf(start) };
    std::deque<State> open { start };
    bool broken = false;
    const auto visit = [&](const State& from, State to) {
        for (std::size_t i = 0; i < to.size(); ++i) {
            const auto inForce = to[i].inForce();
            broken = broken || to[i].number() < from[i].number()
                || (inForce && inForce->encoding != encodingOf(inForce->number.value()));
        }
        if (seen.insert(nameOf(to)).second)
            open.push_back(std::move(to));
    };
    while (!open.empty() && !broken) {
        const State state = std::move(open.front());
        open.pop_front();
        for (std::size_t i = 0; i < state.size(); ++i) {
            for (const ConfigChunk& chunk : wire) {
                State next = state;
                next[i].offer(chunk);
                visit(state, std::move(next));
            }
            for (std::uint64_t version = 1; version <= versions; ++version) {
                const ConfigurationVersion number(version);
                State next = state;
                next[i].offerWhole(number, hash128(encodingOf(version)), encodingOf(version));
                visit(state, next);
                next = state;
                if (const auto chunk = state[1 - i].answer(state[i].next(number), chunkSize))
                    next[i].offer(*chunk);
                visit(state, std::move(next));
            }
            State next = state;
            next[i].abandon();
            visit(state, std::move(next));
        }
    }
    return broken ? 0 : seen.size();
}

template <typename Body> StoreOperationId operationOf(const Body& body) { return body.operation; }

/// Two owners of one endpoint and the record in the store, on one clock that moves in steps.
struct OrderState {
    std::array<OrderOwnership, 2> owners;
    /// The operation that each owner has sent and that neither took effect nor was lost.
    std::array<std::optional<OrderOperation>, 2> sent;
    KeyVersion version;
    std::string value;
    TimePoint now;
};

/// Visits all states within `depth` steps of: an owner proceeds, its operation takes effect and is answered, takes
/// effect with a lost answer, or is lost; time passes. \return The number of states, or 0 when both owned at a time.
std::size_t exploreOwners(OrderFault fault, int depth)
{
    OrderOptions options;
    options.fault = fault;
    options.lease = 2s;
    options.storeTimeout = 1s;
    options.retryPause = 1s;
    const EndpointId endpoint("e");
    OrderState start { { OrderOwnership("a", endpoint, options), OrderOwnership("b", endpoint, options) }, {}, {}, "",
        TimePoint(1s) };
    const auto idOf = [](const std::optional<OrderOperation>& sent) {
        return sent ? std::visit([](const auto& body) { return operationOf(body); }, *sent) : StoreOperationId();
    };
    const auto same = [&](const OrderState& a, const OrderState& b) {
        return a.owners == b.owners && a.version == b.version && a.value == b.value && a.now == b.now
            && idOf(a.sent[0]) == idOf(b.sent[0]) && idOf(a.sent[1]) == idOf(b.sent[1]);
    };
    std::vector<OrderState> level { start };
    std::size_t states = 1;
    for (int step = 0; step < depth; ++step) {
        std::map<std::pair<TimePoint, std::string>, std::vector<OrderState>> next;
        const auto visit = [&](OrderState to) {
            auto& bucket = next[{ to.now, to.value }];
            for (const OrderState& known : bucket) {
                if (same(known, to))
                    return;
            }
            bucket.push_back(std::move(to));
        };
        for (const OrderState& state : level) {
            if (state.owners[0].holds(state.now) && state.owners[1].holds(state.now))
                return 0;
            OrderState later = state;
            later.now += 1s;
            visit(later);
            for (std::size_t i = 0; i < 2; ++i) {
                OrderState to = state;
                if (auto operation = to.owners[i].acquire(to.now, 1s,
                        StoreOperationId(to.owners[i].fence() * 1000
                            + static_cast<std::uint64_t>(to.now.time_since_epoch().count()) + 1))) {
                    to.sent[i] = std::move(operation);
                    visit(to);
                }
                if (!state.sent[i])
                    continue;
                for (const bool answered : { true, false }) {
                    to = state;
                    const OrderOperation operation = *std::exchange(to.sent[i], std::nullopt);
                    StoreAnswer answer;
                    if (const auto* write = std::get_if<StoreCompareAndSwap>(&operation)) {
                        const bool applies = write->expected == to.version;
                        answer = { write->operation, applies ? StoreAnswer::Kind::Ok : StoreAnswer::Kind::Conflict, {},
                            {} };
                        if (applies) {
                            to.version = KeyVersion(to.version.value() + 1);
                            to.value = write->value;
                        }
                    } else {
                        const bool exists = to.version > KeyVersion();
                        answer = { std::get<StoreRead>(operation).operation,
                            exists ? StoreAnswer::Kind::Ok : StoreAnswer::Kind::Missing, {}, to.value };
                    }
                    answer.version = to.version;
                    if (answered)
                        to.owners[i].onAnswer(answer, to.now);
                    visit(to);
                }
            }
        }
        level.clear();
        for (auto& [key, bucket] : next) {
            for (OrderState& state : bucket)
                level.push_back(std::move(state));
        }
        states += level.size();
    }
    return states;
}

} // namespace

// Guards against an order of chunks, repeats and damage in which a version reverts or isn't whole.
TEST_CASE("All states of two holders of a configuration keep the version rule")
{
    // Ten states of each holder: the versions in force, each with the partial encodings that may follow.
    CHECK(exploreHolders(SpreadFault::None) == 100);
    CHECK(exploreHolders(SpreadFault::InstallLower) == 0);
    CHECK(exploreHolders(SpreadFault::IgnoreDigest) == 0);
}

// Guards against an order of delays, losses and pauses in which two hosts own an endpoint at a time.
TEST_CASE("All states of two owners of an endpoint within 14 steps keep to one owner")
{
    CHECK(exploreOwners(OrderFault::None, 14) > 1000);
    CHECK(exploreOwners(OrderFault::IgnoreLease, 14) == 0);
}
