#include "UnaryRun.h"

#include <utility>

namespace fuchsialb {

UnaryRun::UnaryRun(GatewayContext& context, Target target)
    : m_context(context)
    , m_target(std::move(target))
    , m_sentAt(context.now())
{
    m_context.ledger.reserve({ { m_target.endpoint, m_target.address, {} } }, 0);
    m_context.hedging.recordStart(m_target.endpoint, m_sentAt);
}

absl::StatusOr<std::shared_ptr<UnaryRun>> UnaryRun::start(
    GatewayContext& context, Target target, HttpRequest request, Handlers handlers)
{
    const std::shared_ptr<UnaryRun> run(new UnaryRun(context, std::move(target)));
    HttpHandlers exchange;
    exchange.isOwnResponse = std::move(handlers.isOwnResponse);
    exchange.onResponse = [run, onResponse = std::move(handlers.onResponse)](HttpResponse response) {
        if (run->end())
            onResponse(*run, std::move(response));
    };
    exchange.onFailure = [run, onFailure = std::move(handlers.onFailure)](const HttpFailure& failure) {
        if (run->end())
            onFailure(*run, failure);
    };
    const auto started = context.http.start(std::move(request), std::move(exchange));
    if (!started.ok()) {
        run->end();
        return started.status();
    }
    run->m_exchange = *started;
    return run;
}

bool UnaryRun::end()
{
    if (!std::exchange(m_isOpen, false))
        return false;
    m_context.ledger.release({ { m_target.endpoint, {}, {} } }, 0);
    m_context.hedging.recordEnd(m_target.endpoint, m_sentAt);
    return true;
}

void UnaryRun::cancel()
{
    if (end())
        m_context.http.cancel(m_exchange);
}

} // namespace fuchsialb
