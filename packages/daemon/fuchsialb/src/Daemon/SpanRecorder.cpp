#include "SpanRecorder.h"

#include <fmt/format.h>

#include <utility>

namespace fuchsialb {

namespace {

    // Bounds the memory of requests whose end never comes, such as those of an entry daemon that died.
    constexpr std::size_t maxTraces = 20000;
    constexpr std::size_t maxKeptSpans = 64;

} // namespace

SpanRecorder::SpanRecorder(Logger& logger, Now now, std::string host, Random& random)
    : m_logger(logger)
    , m_now(std::move(now))
    , m_host(std::move(host))
    , m_random(random)
{
}

std::string SpanRecorder::open(RequestId request, std::string_view name, std::uint64_t key, std::string_view parent)
{
    const auto context = TraceContext::parse(parent);
    if (!context || (m_traces.size() >= maxTraces && !m_traces.contains(request)))
        return std::string(parent);
    Span span { context->child(m_random), context->span, m_now() };
    std::string text = span.context.text();
    Trace& trace = m_traces[request];
    trace.sampled = context->sampled;
    trace.open.insert_or_assign({ std::string(name), key }, span);
    return text;
}

LogLine SpanRecorder::line(RequestId request, std::string_view name, const Span& span, std::string_view status) const
{
    LogLine line("span");
    line.add("trace", toHex(span.context.trace));
    line.add("span", fmt::format("{:016x}", span.context.span));
    line.add("parent", fmt::format("{:016x}", span.parent));
    line.add("name", name);
    line.add("host", m_host);
    line.add("request", toHex(request.value()));
    line.add("start_us", span.started);
    line.add("duration_us", m_now() - span.started);
    line.add("status", status);
    return line;
}

void SpanRecorder::close(RequestId request, std::string_view name, std::uint64_t key, std::string_view status)
{
    const auto trace = m_traces.find(request);
    if (trace == m_traces.end())
        return;
    auto node = trace->second.open.extract({ std::string(name), key });
    if (node.empty())
        return;
    LogLine ended = line(request, name, node.mapped(), status);
    if (trace->second.sampled)
        m_logger.log(ended);
    else if (trace->second.kept.size() < maxKeptSpans)
        trace->second.kept.push_back(std::move(ended));
}

void SpanRecorder::finish(RequestId request, bool failed)
{
    const auto trace = m_traces.find(request);
    if (trace == m_traces.end())
        return;
    while (!trace->second.open.empty()) {
        const auto [name, key] = trace->second.open.begin()->first;
        close(request, name, key, failed ? "error" : "ok");
    }
    if (failed) {
        for (const LogLine& kept : trace->second.kept)
            m_logger.log(kept);
    }
    m_traces.erase(trace);
}

} // namespace fuchsialb
