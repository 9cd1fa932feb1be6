#include "ControlStore.h"

namespace fuchsialb::test {

void ControlStore::submit(
    const HostId& host, const std::variant<StoreRead, StoreWatch, StoreCompareAndSwap>& operation, const Reply& reply)
{
    if (!reachable(host))
        return;
    m_world.after(m_world.delay(), [this, host, operation, reply] {
        std::visit([&](const auto& body) { carryOut(host, body, reply); }, operation);
    });
}

void ControlStore::put(const std::string& key, const std::string& value)
{
    StoreAnswer& stored = contentsByKey[key];
    stored.kind = StoreAnswer::Kind::Ok;
    stored.version = KeyVersion(stored.version.value() + 1);
    stored.value = value;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const bool fires = waiting->watch.key == key && stored.version > waiting->watch.after;
        if (fires)
            answer(waiting->host, show(key, waiting->watch.operation), waiting->reply);
        waiting = fires ? m_waiting.erase(waiting) : std::next(waiting);
    }
}

StoreAnswer ControlStore::show(const std::string& key, StoreOperationId operation) const
{
    const auto known = contentsByKey.find(key);
    StoreAnswer shown = known == contentsByKey.end() ? StoreAnswer() : known->second;
    shown.operation = operation;
    shown.kind = known == contentsByKey.end() ? StoreAnswer::Kind::Missing : StoreAnswer::Kind::Ok;
    return shown;
}

void ControlStore::carryOut(const HostId& host, const StoreRead& read, const Reply& reply)
{
    answer(host, show(read.key, read.operation), reply);
}

void ControlStore::carryOut(const HostId& host, const StoreWatch& watch, const Reply& reply)
{
    const StoreAnswer now = show(watch.key, watch.operation);
    if (now.version > watch.after) {
        answer(host, now, reply);
        return;
    }
    m_waiting.push_back({ watch, host, reply });
    m_world.after(watch.wait, [this, host, id = watch.operation] {
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
            if (waiting->host != host || waiting->watch.operation != id)
                continue;
            StoreAnswer empty;
            empty.operation = id;
            empty.kind = StoreAnswer::Kind::Missing;
            answer(host, empty, waiting->reply);
            m_waiting.erase(waiting);
            return;
        }
    });
}

void ControlStore::carryOut(const HostId& host, const StoreCompareAndSwap& write, const Reply& reply)
{
    const KeyVersion present = show(write.key, write.operation).version;
    StoreAnswer result;
    result.operation = write.operation;
    result.kind = present == write.expected ? StoreAnswer::Kind::Ok : StoreAnswer::Kind::Conflict;
    if (result.kind == StoreAnswer::Kind::Ok)
        put(write.key, write.value);
    result.version = contentsByKey[write.key].version;
    answer(host, result, reply);
}

void ControlStore::answer(const HostId& host, StoreAnswer answer, const Reply& reply)
{
    if (!reachable(host))
        return;
    if (m_world.random.chance(lostAnswers)) {
        answer.kind = StoreAnswer::Kind::Lost;
        answer.value.clear();
    }
    m_world.transmit(host, host, 0, [reply, answer](WorldHost&) { reply(answer); });
}

} // namespace fuchsialb::test
