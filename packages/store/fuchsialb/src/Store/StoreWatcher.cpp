#include "StoreWatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fuchsialb::internal {

namespace {

    /// Bounds the calls of one watch when other keys with the same prefix change often.
    constexpr unsigned maxPolls = 8;

} // namespace

StoreWatcher::StoreWatcher(Fetch fetch, const Clock& clock)
    : m_fetch(std::move(fetch))
    , m_clock(clock)
{
}

void StoreWatcher::watch(StoreWatch operation, StoreClient::OnAnswer onAnswer)
{
    Watching watching { std::move(operation), std::move(onAnswer), 0, {}, 0 };
    watching.until = m_clock.now() + watching.operation.wait;
    {
        const std::lock_guard lock(m_mutex);
        const auto seen = m_seen.find(watching.operation.key);
        // Revision 0 asks for the latest change of the key, so that none is missed.
        if (seen != m_seen.end() && seen->second.version == watching.operation.after)
            watching.revision = seen->second.revision;
    }
    poll(std::move(watching));
}

void StoreWatcher::poll(Watching watching)
{
    const Duration left = std::max(watching.until - m_clock.now(), Duration(0));
    ++watching.polls;
    std::string path = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", percentEncode(watching.operation.key),
        watching.revision, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    m_fetch(std::move(path), left,
        [self = shared_from_this(), watching = std::move(watching)](
            const absl::StatusOr<HttpResponse>& response) { self->onPolled(watching, response); });
}

void StoreWatcher::onPolled(Watching watching, const absl::StatusOr<HttpResponse>& response)
{
    const StoreWatch& operation = watching.operation;
    const auto state = response.ok() ? parseWatch(*response, operation.key) : std::nullopt;
    if (!state) {
        watching.onAnswer({ operation.operation, StoreAnswer::Kind::Failed, {}, {} });
        return;
    }
    // A lower revision means that the store was restored from older data: begin again with the latest change.
    const bool restored = state->revision < watching.revision;
    if (state->version && *state->version != operation.after) {
        read(std::move(watching), state->revision);
        return;
    }
    if (!restored)
        remember(operation.key, { state->revision, operation.after });
    watching.revision = restored ? 0 : state->revision;
    if (!restored && (m_clock.now() >= watching.until || watching.polls >= maxPolls)) {
        watching.onAnswer({ operation.operation, StoreAnswer::Kind::Missing, {}, {} });
        return;
    }
    poll(std::move(watching));
}

void StoreWatcher::read(Watching watching, std::uint64_t revision)
{
    std::string path = "/v1/kv/" + percentEncode(watching.operation.key);
    m_fetch(std::move(path), Duration(0),
        [self = shared_from_this(), watching = std::move(watching), revision](absl::StatusOr<HttpResponse> response) {
            const StoreOperationId operation = watching.operation.operation;
            StoreAnswer answer { operation, StoreAnswer::Kind::Failed, {}, {} };
            if (response.ok())
                answer = readAnswer(operation, *std::move(response));
            // The value is at least as new as the revision.
            if (answer.kind == StoreAnswer::Kind::Ok)
                self->remember(watching.operation.key, { revision, answer.version });
            watching.onAnswer(std::move(answer));
        });
}

void StoreWatcher::remember(const std::string& key, Seen seen)
{
    const std::lock_guard lock(m_mutex);
    m_seen[key] = seen;
}

} // namespace fuchsialb::internal
