#include "FakeStore.h"

#include <memory>

namespace fuchsialb {

void FakeStore::submit(
    const StoreOperation& operation, const StoreFate& fate, std::int64_t nowMs, const Deliver& deliver)
{
    const StoreOperationId id = std::visit([](const auto& any) { return any.operation; }, operation);
    const auto effect = std::make_shared<StoreAnswer>();
    effect->operation = id;
    effect->kind = fate.effectAfterMs < 0 && !fate.answerLost ? StoreAnswer::Kind::Failed : StoreAnswer::Kind::Lost;
    if (fate.effectAfterMs >= 0)
        m_due.emplace(nowMs + fate.effectAfterMs, [=, this] { *effect = apply(operation); });
    if (fate.answerAfterMs >= 0) {
        m_due.emplace(nowMs + fate.answerAfterMs, [=] {
            StoreAnswer answer = *effect;
            if (fate.answerLost)
                answer = { id, StoreAnswer::Kind::Lost, {}, {} };
            deliver(answer);
        });
    }
    if (fate.repeatAfterMs > 0)
        m_due.emplace(nowMs + fate.answerAfterMs + fate.repeatAfterMs, [=] { deliver(*effect); });
}

void FakeStore::run(std::int64_t nowMs)
{
    while (!m_due.empty() && m_due.begin()->first <= nowMs) {
        const auto next = m_due.extract(m_due.begin());
        next.mapped()();
    }
}

StoreAnswer FakeStore::apply(const StoreOperation& operation)
{
    if (const auto* read = std::get_if<StoreRead>(&operation)) {
        ++m_reads;
        const auto found = m_values.find(read->key);
        if (found == m_values.end())
            return { read->operation, StoreAnswer::Kind::Missing, {}, {} };
        m_bytes += found->second.second.size();
        return { read->operation, StoreAnswer::Kind::Ok, found->second.first, found->second.second };
    }
    const auto& write = std::get<StoreCompareAndSwap>(operation);
    ++m_writes;
    m_bytes += write.value.size();
    const auto found = m_values.find(write.key);
    const KeyVersion version = found == m_values.end() ? KeyVersion() : found->second.first;
    if (version != write.expected)
        return { write.operation, StoreAnswer::Kind::Conflict, version, {} };
    const KeyVersion next(version.value() + 1);
    m_values[write.key] = { next, write.value };
    return { write.operation, StoreAnswer::Kind::Ok, next, {} };
}

} // namespace fuchsialb
