#include "EngineFakes.h"

#include <algorithm>

namespace fuchsialb::bench {

namespace {

    /// Time until the client of a run learns that a connection was refused or broken.
    constexpr Duration failureNotice = std::chrono::milliseconds(1);

    Duration fromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e6)); }

} // namespace

double EngineFakes::Runner::layerFactor() const { return slowness * endpoint->layers.count() / endpoint->accelerators; }

double EngineFakes::Runner::stepSeconds() const
{
    const auto seconds = [](Duration each) { return std::chrono::duration<double>(each).count(); };
    return layerFactor() * (seconds(kind.layerBase) + seconds(kind.layerPerSequence) * held);
}

double EngineFakes::Runner::prefillSeconds(double positions) const
{
    return layerFactor() * positions * std::chrono::duration<double>(kind.layerPerPromptToken).count();
}

EngineFakes::EngineFakes(const Workload& workload, Timeline& timeline, EngineHooks hooks)
    : m_workload(workload)
    , m_timeline(timeline)
    , m_hooks(std::move(hooks))
{
    for (const auto& [id, endpoint] : workload.configuration.endpoints) {
        Runner& runner = m_runners[id];
        runner.endpoint = &endpoint;
        runner.kind = workload.configuration.acceleratorKinds.at(endpoint.acceleratorKind);
        m_ranges[endpoint.layers].push_back(&runner);
    }
    m_timeline.after(m_workload.reportInterval, [this] { report(); });
}

void EngineFakes::start(EngineRun run)
{
    run.serial = ++m_serials;
    remove(run.request);
    for (std::uint32_t stage = 0; stage < run.route.size(); ++stage) {
        if (!m_runners.at(run.route[stage]).dead)
            continue;
        const FailureProof proof = stage == 0 ? FailureProof::NotStarted : FailureProof::MayHaveRun;
        m_runs[run.request] = { run, Phase::Waiting };
        m_timeline.after(failureNotice, [this, run, stage, proof] {
            if (find(run))
                fail(run, stage, proof, Reason::ConnectFailed);
        });
        return;
    }
    Active& active = m_runs[run.request] = { run, Phase::Waiting };
    if (fits(run))
        admit(active);
    else
        m_waiting.emplace(run.serial, run.request);
}

EngineFakes::Active* EngineFakes::find(const EngineRun& run)
{
    const auto found = m_runs.find(run.request);
    return found != m_runs.end() && found->second.run.serial == run.serial ? &found->second : nullptr;
}

bool EngineFakes::fits(const EngineRun& run) const
{
    return std::all_of(run.route.begin(), run.route.end(), [this](const EndpointId& id) {
        const Runner& runner = m_runners.at(id);
        return runner.held < runner.endpoint->maxConcurrency;
    });
}

bool EngineFakes::stuck(const EngineRun& run) const
{
    return std::any_of(
        run.route.begin(), run.route.end(), [this](const EndpointId& id) { return m_runners.at(id).hung; });
}

void EngineFakes::admit(Active& active)
{
    active.phase = Phase::Running;
    for (const EndpointId& id : active.run.route)
        ++m_runners.at(id).held;
    scheduleToken(active.run, firstPass(active.run));
}

bool EngineFakes::hasRoom() const
{
    return std::all_of(m_ranges.begin(), m_ranges.end(), [](const auto& range) {
        return std::any_of(range.second.begin(), range.second.end(),
            [](const Runner* runner) { return runner->held < runner->endpoint->maxConcurrency; });
    });
}

void EngineFakes::admitWaiting()
{
    for (auto at = m_waiting.begin(); at != m_waiting.end() && hasRoom();) {
        Active& active = m_runs.at(at->second);
        if (!fits(active.run)) {
            ++at;
            continue;
        }
        at = m_waiting.erase(at);
        admit(active);
    }
}

double EngineFakes::hopSeconds(double bytes) const
{
    const LinkClass& link = m_workload.configuration.linkClasses.begin()->second;
    return 2 * std::chrono::duration<double>(link.delay).count() + bytes / link.bandwidth.value();
}

Duration EngineFakes::firstPass(const EngineRun& run)
{
    const auto hidden = static_cast<double>(m_workload.configuration.targets.begin()->second.hiddenState.value());
    const std::uint32_t positions = run.promptTokens + run.position;
    TimePoint at = m_timeline.now();
    double upstream = 0;
    for (const EndpointId& id : run.route) {
        Runner& runner = m_runners.at(id);
        std::uint32_t known = runner.prefixes.contains(run.stream) ? run.sharedPrefix : 0;
        if (const auto state = runner.states.find(run.request); state != runner.states.end())
            known = std::max(known, std::min(state->second, positions));
        const double missing = positions - known;
        at += fromSeconds(upstream > 0 ? hopSeconds(missing * hidden) : 0.0);
        if (missing > 0) {
            at = std::max(at, runner.prefillEnds) + fromSeconds(runner.prefillSeconds(missing));
            runner.prefillEnds = at;
        }
        if (run.sharedPrefix > 0)
            runner.prefixes.insert(run.stream);
        runner.states[run.request] = positions;
        upstream = 1;
    }
    return at - m_timeline.now() + pass(run);
}

Duration EngineFakes::pass(const EngineRun& run) const
{
    const auto hidden = static_cast<double>(m_workload.configuration.targets.begin()->second.hiddenState.value());
    double seconds = hopSeconds(hidden) * static_cast<double>(run.route.size() - 1);
    for (const EndpointId& id : run.route)
        seconds += m_runners.at(id).stepSeconds();
    return fromSeconds(seconds);
}

void EngineFakes::scheduleToken(const EngineRun& run, Duration delay)
{
    m_timeline.after(delay, [this, run] { token(run); });
}

void EngineFakes::token(const EngineRun& started)
{
    Active* active = find(started);
    if (!active || stuck(started))
        return;
    EngineRun& run = active->run;
    const std::uint32_t position = run.position++;
    for (const EndpointId& id : run.route)
        m_runners.at(id).states[run.request] = run.promptTokens + run.position;
    const EngineRun copy = run;
    const bool last = run.position >= run.maxTokens;
    if (last) {
        for (const EndpointId& id : copy.route)
            m_runners.at(id).states.erase(copy.request);
        remove(copy.request);
    } else {
        scheduleToken(copy, pass(copy));
    }
    m_hooks.onToken(copy, position);
    if (!last)
        return;
    m_hooks.onFinished(copy);
    admitWaiting();
}

void EngineFakes::remove(RequestId request)
{
    const auto found = m_runs.find(request);
    if (found == m_runs.end())
        return;
    if (found->second.phase == Phase::Running) {
        for (const EndpointId& id : found->second.run.route)
            --m_runners.at(id).held;
    } else {
        m_waiting.erase(found->second.run.serial);
    }
    m_runs.erase(found);
}

void EngineFakes::fail(const EngineRun& run, std::uint32_t stage, FailureProof proof, Reason reason)
{
    remove(run.request);
    m_hooks.onFailed(run, stage, proof, reason);
    admitWaiting();
}

void EngineFakes::cancel(RequestId request, Epoch epoch, const std::vector<EndpointId>& stages)
{
    for (const EndpointId& id : stages)
        m_runners.at(id).states.erase(request);
    const auto found = m_runs.find(request);
    if (found == m_runs.end() || found->second.run.epoch > epoch)
        return;
    remove(request);
    m_timeline.after(Duration(0), [this] { admitWaiting(); });
}

void EngineFakes::moveState(RequestId request, const EndpointId& from, const EndpointId& to, std::uint32_t positions,
    bool replay, std::function<void(bool)> done)
{
    const Runner& source = m_runners.at(from);
    const Runner& successor = m_runners.at(to);
    const auto state = source.states.find(request);
    const bool held = state != source.states.end() && state->second >= positions;
    const auto hidden = static_cast<double>(m_workload.configuration.targets.begin()->second.hiddenState.value());
    // A KV cache takes about one hidden state for each layer and position.
    const double bytes = hidden * positions * (replay ? 1.0 : source.endpoint->layers.count());
    const double compute = replay ? successor.prefillSeconds(positions) : 0.0;
    const Duration delay = held ? fromSeconds(hopSeconds(bytes) + compute) : failureNotice;
    m_timeline.after(delay, [this, request, from, to, positions, held, done = std::move(done)] {
        const bool moved = held && !m_runners.at(from).dead && !m_runners.at(to).dead && !m_runners.at(to).hung;
        if (moved)
            m_runners.at(to).states[request] = positions;
        done(moved);
    });
}

void EngineFakes::apply(const Fault& fault)
{
    Runner& runner = m_runners.at(fault.runner);
    switch (fault.kind) {
    case Fault::Kind::Dies:
        die(fault.runner);
        return;
    case Fault::Kind::Hangs:
        runner.hung = true;
        return;
    case Fault::Kind::Returns:
        runner.dead = false;
        runner.hung = false;
        runner.slowness = 1;
        return;
    case Fault::Kind::Slows:
        runner.slowness = fault.factor;
        return;
    }
}

void EngineFakes::die(const EndpointId& id)
{
    Runner& runner = m_runners.at(id);
    runner.dead = true;
    runner.prefixes.clear();
    runner.states.clear();
    for (const auto& [request, active] : m_runs) {
        const EngineRun& run = active.run;
        const auto lost = std::find(run.route.begin(), run.route.end(), id);
        if (lost == run.route.end())
            continue;
        const auto stage = static_cast<std::uint32_t>(lost - run.route.begin());
        m_timeline.after(failureNotice, [this, run, stage] {
            if (find(run))
                fail(run, stage, FailureProof::MayHaveRun, Reason::ConnectionLost);
        });
    }
}

void EngineFakes::report()
{
    for (const auto& [id, runner] : m_runners) {
        if (runner.dead || runner.hung)
            continue;
        const Duration step = runner.held > 0 ? fromSeconds(runner.stepSeconds()) : Duration(0);
        m_timeline.after(m_workload.reportLag,
            [this, report = LoadReport { id, runner.held, 0, step }] { m_hooks.onReport(report); });
    }
    m_timeline.after(m_workload.reportInterval, [this] { report(); });
}

} // namespace fuchsialb::bench
