#include "ClaimWriter.h"

#include <stdexcept>

namespace fuchsialb {

namespace {
    constexpr int maxSteps = 10'000;
}

ClaimWriter::ClaimWriter(FakeStore& store, ManualClock& clock, ClaimOptions options, std::uint32_t shards)
    : m_store(store)
    , m_clock(clock)
    , m_log(ClaimLog::create(TargetId("t"), shards, std::move(options), clock).value())
{
}

ClaimResult ClaimWriter::claim(ClaimKey key, std::uint64_t attempt, std::uint64_t bodyDigest)
{
    m_log->claim(RequestId(), AttemptId(Bits128 { 0, attempt }), key, bodyDigest);
    for (int i = 0; i < maxSteps; ++i) {
        step();
        for (const ClaimAnswered& answered : m_log->takeAnswered())
            return answered.result;
    }
    throw std::runtime_error("a claim is not answered");
}

void ClaimWriter::settle(ClaimKey key, std::uint64_t attempt, Outcome outcome, std::uint32_t httpStatus)
{
    m_log->settle(AttemptId(Bits128 { 0, attempt }), key, outcome, httpStatus);
    for (int i = 0; i < maxSteps && !m_log->idle(); ++i)
        step();
    // The write of the head may follow.
    step();
}

void ClaimWriter::step()
{
    m_clock.advance(std::chrono::milliseconds(1));
    m_log->tick();
    for (const StoreOperation& operation : m_log->takeOperations())
        m_log->onAnswer(m_store.apply(operation));
}

} // namespace fuchsialb
