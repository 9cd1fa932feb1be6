#include "fuchsialb/Base.h"
#include "fuchsialb/Claims.h"
#include "fuchsialb/src/Claims/ClaimLogImpl.h"
#include "tests/support/ClaimChecker.h"
#include "tests/support/FakeStore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <optional>
#include <set>

using namespace fuchsialb;
using namespace std::chrono_literals;
using internal::ClaimFault;

namespace {

constexpr int logs = 2;
constexpr int maxLost = 2;
constexpr auto claimTimeout = 10s;

enum class Move : char {
    /// The log's time moves on past its batch interval.
    Step = 'S',
    /// The operation in flight takes effect and is answered.
    Deliver = 'D',
    /// The write in flight takes effect, and its answer is lost.
    LoseAnswer = 'L',
    /// The write in flight is answered as lost and may take effect later.
    Detach = 'P',
    /// A detached write takes effect.
    Land = 'F',
    /// The log's time moves on past the timeout of its claims and operations.
    Expire = 'X',
    Release = 'R',
    ClaimAgain = 'C',
};

struct Setup {
    std::size_t recordsPerSegment = 1;
    /// Both logs have read the empty chain, which leaves more moves for what follows.
    bool isChainRead = false;
    ClaimFault fault = ClaimFault::None;
};

struct Action {
    Move move = Move::Step;
    /// Log, or index of a detached write.
    std::size_t index = 0;
};

/// \brief Two logs that claim one key. The second one claims another key before, so that a segment of two records is
/// sealed when both stand.
///
/// Each log has a clock of its own, so a log's state depends on its own moves and answers alone. A read, and an answer
/// that is not lost, need no moves of their own: a log with an operation in flight does nothing but wait for it.
class World {
public:
    explicit World(const Setup& setup)
    {
        ClaimOptions options;
        options.minBatchInterval = 1ms;
        options.maxBatchInterval = 5ms;
        options.claimTimeout = claimTimeout;
        options.maxSegment = Bytes(static_cast<std::int64_t>(30 + 43 * setup.recordsPerSegment));
        options.unixSeconds = [] { return std::int64_t { 1000 }; };
        for (std::size_t i = 0; i < logs; ++i) {
            m_sides[i].log = std::make_unique<internal::ClaimLogImpl>(
                TargetId("t"), 1, options, m_sides[i].clock, i == 0 ? setup.fault : ClaimFault::None);
        }
        claim(1, 7);
        claim(0, 1);
        claim(1, 1);
        for (std::size_t i = 0; i < logs && setup.isChainRead; ++i) {
            for (const Move move : { Move::Step, Move::Deliver, Move::Deliver })
                apply({ move, i });
        }
    }

    /// \return False when the action is not possible or changes nothing.
    bool apply(const Action& action)
    {
        if (action.move == Move::Land)
            return land(action.index);
        Side& side = m_sides[action.index];
        side.history += static_cast<char>(action.move);
        switch (action.move) {
        case Move::Step:
            return !side.inFlight && !side.log->idle() && advance(action.index, 10ms) && side.inFlight;
        case Move::Deliver:
            return side.inFlight && deliver(action.index, false);
        case Move::LoseAnswer:
            return isWriting(side) && m_lost++ < maxLost && deliver(action.index, true);
        case Move::Detach:
            return isWriting(side) && m_lost++ < maxLost && detach(action.index);
        case Move::Expire:
            return side.expiries++ == 0 && !side.log->idle() && expire(action.index);
        case Move::Release:
            return side.granted && release(action.index);
        case Move::ClaimAgain:
            return side.answers == side.claims && side.claims < 2 && claim(action.index, 1);
        case Move::Land:
            break;
        }
        return false;
    }

    /// \return A text that is the same for worlds that behave the same from now on.
    std::string state() const
    {
        std::string text = fmt::format("{}/{}/{}/{}", m_lost, m_order, m_sides[0].history, m_sides[1].history);
        for (const auto& [key, value] : m_store.values())
            text += fmt::format("/{}:{}:{}", key, value.first.value(), hash64(value.second));
        for (const StoreOperation& operation : m_detached)
            text += fmt::format("/{}", hash64(std::get<StoreCompareAndSwap>(operation).value));
        return text;
    }

    std::size_t detached() const { return m_detached.size(); }
    const ClaimChecker& checker() const { return m_checker; }
    bool isSealed() const { return m_store.values().contains("claims/t/0/2"); }

private:
    struct Side {
        ManualClock clock;
        std::unique_ptr<ClaimLog> log;
        std::optional<StoreOperation> inFlight;
        std::optional<AttemptId> granted;
        std::string history;
        int claims = 0;
        int answers = 0;
        int expiries = 0;
    };

    static bool isWriting(const Side& side)
    {
        return side.inFlight && std::holds_alternative<StoreCompareAndSwap>(*side.inFlight);
    }

    bool claim(std::size_t index, std::uint64_t key)
    {
        Side& side = m_sides[index];
        const AttemptId attempt(Bits128 { index, ++m_attempts[index] });
        m_checker.claimed(static_cast<int>(index), attempt, ClaimKey(Bits128 { 0, key }), 1);
        side.log->claim(RequestId(Bits128 { 0, key }), attempt, ClaimKey(Bits128 { 0, key }), 1);
        side.claims += key == 1 ? 1 : 0;
        return true;
    }

    bool advance(std::size_t index, Duration by)
    {
        m_sides[index].clock.advance(by);
        m_sides[index].log->tick();
        collect(index);
        return true;
    }

    bool deliver(std::size_t index, bool isAnswerLost)
    {
        Side& side = m_sides[index];
        const StoreOperation operation = *std::exchange(side.inFlight, std::nullopt);
        StoreAnswer answer = m_store.apply(operation);
        if (isAnswerLost)
            answer = { answer.operation, StoreAnswer::Kind::Lost, {}, {} };
        // What a log was answered is part of its history.
        side.history += fmt::format(
            "{}.{}.{};", static_cast<int>(answer.kind), answer.version.value(), hash64(answer.value) % 10'000);
        side.log->onAnswer(answer);
        collect(index);
        return true;
    }

    bool detach(std::size_t index)
    {
        Side& side = m_sides[index];
        const StoreOperation operation = *std::exchange(side.inFlight, std::nullopt);
        m_detached.push_back(operation);
        side.log->onAnswer({ std::get<StoreCompareAndSwap>(operation).operation, StoreAnswer::Kind::Lost, {}, {} });
        collect(index);
        return true;
    }

    bool land(std::size_t index)
    {
        if (index >= m_detached.size())
            return false;
        m_store.apply(m_detached[index]);
        m_detached.erase(m_detached.begin() + static_cast<std::ptrdiff_t>(index));
        return true;
    }

    bool expire(std::size_t index)
    {
        Side& side = m_sides[index];
        if (isWriting(side))
            m_detached.push_back(*side.inFlight);
        side.inFlight.reset();
        return advance(index, claimTimeout);
    }

    bool release(std::size_t index)
    {
        Side& side = m_sides[index];
        const AttemptId attempt = *std::exchange(side.granted, std::nullopt);
        m_order += fmt::format("r{}", index);
        m_checker.settled(attempt, Outcome::NotRun, 0);
        side.log->settle(attempt, ClaimKey(Bits128 { 0, 1 }), Outcome::NotRun, 0);
        return true;
    }

    void collect(std::size_t index)
    {
        Side& side = m_sides[index];
        for (const StoreOperation& operation : side.log->takeOperations())
            side.inFlight = operation;
        for (const ClaimAnswered& answered : side.log->takeAnswered()) {
            m_checker.answered(answered.attempt, answered.result);
            if (answered.request.value().low != 1)
                continue;
            ++side.answers;
            if (answered.result.verdict != ClaimVerdict::Granted)
                continue;
            side.granted = answered.attempt;
            m_order += fmt::format("g{}", index);
        }
    }

    FakeStore m_store;
    ClaimChecker m_checker;
    std::array<Side, logs> m_sides;
    std::array<std::uint64_t, logs> m_attempts {};
    std::vector<StoreOperation> m_detached;
    int m_lost = 0;
    /// Grants and releases in the order in which they happened; the checker's verdict depends on it.
    std::string m_order;
};

struct Exploration {
    std::size_t states = 0;
    bool reachedSealing = false;
    std::size_t grants = 0;
    std::string violation;
};

std::vector<Action> actionsOf(const World& world)
{
    std::vector<Action> actions;
    for (std::size_t i = 0; i < logs; ++i) {
        for (const Move move : { Move::Step, Move::Deliver, Move::LoseAnswer, Move::Detach, Move::Expire, Move::Release,
                 Move::ClaimAgain })
            actions.push_back({ move, i });
    }
    for (std::size_t i = 0; i < world.detached(); ++i)
        actions.push_back({ Move::Land, i });
    return actions;
}

std::unique_ptr<World> replay(const std::vector<Action>& path, const Setup& setup)
{
    auto world = std::make_unique<World>(setup);
    for (const Action& action : path)
        world->apply(action);
    return world;
}

std::string describe(const std::vector<Action>& path)
{
    std::string text;
    for (const Action& action : path)
        text += fmt::format("{}{} ", static_cast<char>(action.move), action.index);
    return text;
}

/// \brief Visits every state within `depth` moves, breadth first, by replaying the path to each.
Exploration explore(int depth, const Setup& setup)
{
    Exploration result;
    std::set<std::string> seen;
    std::vector<std::vector<Action>> level { {} };
    for (int i = 0; i < depth && result.violation.empty(); ++i) {
        std::vector<std::vector<Action>> next;
        for (const std::vector<Action>& path : level) {
            for (const Action& action : actionsOf(*replay(path, setup))) {
                const auto world = replay(path, setup);
                if (!world->apply(action) || !seen.insert(world->state()).second)
                    continue;
                next.push_back(path);
                next.back().push_back(action);
                result.reachedSealing |= world->isSealed();
                result.grants = std::max(result.grants, world->checker().count(ClaimVerdict::Granted));
                if (!world->checker().violations().empty())
                    result.violation = world->checker().violations().front() + " after " + describe(next.back());
            }
        }
        level.swap(next);
    }
    result.states = seen.size();
    return result;
}

} // namespace

// Guards P4 against the interleaving that no seed happens to draw.
TEST_CASE("Two logs never both hold a key, in any interleaving within the bound")
{
    const char* text = std::getenv("FUCHSIALB_MORE_DEPTH");
    const int more = text ? std::atoi(text) : 0;
    const auto [depth, setup] = GENERATE_COPY(table<int, Setup>({
        { 10 + more, Setup { 1, false } },
        { 10 + more, Setup { 2, false } },
        { 8 + more, Setup { 1, true } },
        { 8 + more, Setup { 2, true } },
    }));
    const Exploration found = explore(depth, setup);
    INFO("depth " << depth << ", records in a segment " << setup.recordsPerSegment << ", chain read "
                  << setup.isChainRead << ", states " << found.states << ", grants " << found.grants);
    CHECK(found.violation == "");
    CHECK(found.reachedSealing);
    CHECK(found.grants >= 2);
}

// Guards against an exploration that does not reach the interleavings that matter.
TEST_CASE("The exploration notices deliberate faults")
{
    for (const ClaimFault fault : { ClaimFault::GrantBeforeWrite, ClaimFault::LostIsSuccess,
             ClaimFault::NoReadOnConflict, ClaimFault::WriteIntoSealed, ClaimFault::GrantAbandoned }) {
        const Exploration found = explore(9, { 1, true, fault });
        INFO("fault " << static_cast<int>(fault) << ", states " << found.states << ", " << found.violation);
        CHECK(found.violation != "");
    }
}
