#include "Engine.h"

namespace fuchsialb::standins {

namespace {

    // Bounds the memory of long load runs; the record says how many steps it left out.
    constexpr std::size_t mostRecords = 500'000;

} // namespace

void Engine::enqueue(StageStep step, Done done)
{
    // Only the outputs' way differs between the kinds: a replay ends here, the last stage makes the token.
    auto finished = [this, step, done = std::move(done)](const Json& failure) {
        if (!failure.is_null()) {
            Json result = failure;
            result["stage"] = step.stage;
            return done(result);
        }
        const std::vector<std::uint64_t> outputs = m_states.find(step.request)->outputs(step.position, step.end());
        if (step.last)
            m_states.retain(step.request);
        if (step.kind == "replay")
            return done({ { "positions", step.end() } });
        if (!step.isLastStage())
            return forward(step, outputs, done);
        const Token token = tokenOf(outputs.back());
        done({ { "position", step.end() }, { "token", token.id }, { "text", token.text } });
    };
    m_queue.push({ std::move(step), std::move(finished) });
    stepNext();
}

void Engine::stepNext()
{
    if (m_stepping)
        return;
    std::vector<StepQueue::Item> ready;
    std::size_t prefill = 0;
    for (StepQueue::Item& item : m_queue.take(m_options.batch)) {
        std::size_t computed = 0;
        const Json failure = m_states.prepare(item.step, computed);
        if (!failure.is_null()) {
            item.done(failure);
            continue;
        }
        prefill += item.step.kind == "decode" ? 0 : computed;
        ready.push_back(std::move(item));
    }
    if (ready.empty()) {
        // Only failures were taken; more may wait.
        if (m_queue.size() > 0)
            m_loop->post([this] { guard([this] { stepNext(); }); });
        return;
    }
    m_stepping = true;
    const double work = static_cast<double>(
        (m_options.stepBase + m_options.stepPerSequence * ready.size() + m_options.prefillPerToken * prefill).count());
    m_lastStep = Duration(static_cast<std::int64_t>(work * m_slow));
    m_loop->after(m_lastStep, [this, items = std::make_shared<std::vector<StepQueue::Item>>(std::move(ready))] {
        guard([this, items] { finishStep(*items); });
    });
}

void Engine::finishStep(const std::vector<StepQueue::Item>& items)
{
    m_stepping = false;
    for (const StepQueue::Item& item : items) {
        const Json failure = m_states.run(item.step);
        if (failure.is_null())
            record(item.step);
        item.done(failure);
    }
    for (const StageStates::CacheEvent& event : m_states.takeEvents()) {
        if (!m_random.chance(m_options.cacheEventGaps))
            m_cacheEvents.push_back(event);
    }
    stepNext();
}

void Engine::record(const StageStep& step)
{
    if (m_record.size() < mostRecords)
        m_record.push_back({ step.request, step.epoch, step.kind, step.position, step.hidden.size() });
    else
        ++m_recordsDropped;
}

Json Engine::recorded() const
{
    Json steps = Json::array();
    for (const Recorded& step : m_record) {
        steps.push_back({ { "request", step.request }, { "epoch", step.epoch }, { "kind", step.kind },
            { "position", step.position }, { "count", step.count }, { "first_layer", m_options.layers.first },
            { "end_layer", m_options.layers.end } });
    }
    return { { "id", m_options.id }, { "steps", std::move(steps) }, { "dropped", m_recordsDropped } };
}

void Engine::forward(const StageStep& step, std::vector<std::uint64_t> outputs, const Done& done)
{
    StageStep next = step;
    next.stage = step.stage + 1;
    next.hidden = std::move(outputs);
    HttpRequest request = jsonPost(stageAddress(step.route, next.stage), "/v1/pipeline/step", next.toJson());
    // The stage next to a hung one must give up first, so that the right one is blamed.
    request.timeout = m_options.stageTimeout * (step.route.size() - next.stage);
    call(std::move(request), { { "error", "stage-failed" }, { "stage", next.stage } }, done);
}

void Engine::call(HttpRequest request, const Json& failure, const Done& done)
{
    const auto post = poster();
    HttpHandlers handlers;
    handlers.onResponse = [post, failure, done](const HttpResponse& response) {
        Json result = parseObject(response.body);
        if (response.status != 200 && !result.contains("error"))
            result = failure;
        post([done, result] { done(result); });
    };
    handlers.onFailure = [post, failure, done](const HttpFailure&) { post([done, failure] { done(failure); }); };
    if (!m_client->start(std::move(request), std::move(handlers)).ok())
        done(failure);
}

} // namespace fuchsialb::standins
