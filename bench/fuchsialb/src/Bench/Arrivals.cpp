#include "Arrivals.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace fuchsialb::bench {

namespace {

    constexpr std::size_t bytesPerToken = 4;

    std::string text(const std::string& seed, std::uint32_t tokens)
    {
        std::string result;
        while (result.size() < tokens * bytesPerToken)
            result += seed;
        result.resize(tokens * bytesPerToken);
        return result;
    }

    std::uint32_t drawLength(std::uint32_t mean, double spread, Random& random)
    {
        return static_cast<std::uint32_t>(std::lround(mean * (1 + spread * (2 * random.unit() - 1))));
    }

    Request makeRequest(const Stream& stream, Random& random)
    {
        Request request;
        request.organisation = stream.organisation;
        request.rank = stream.rank;
        request.target = replayModel();
        // Only the part behind the shared prefix varies, so that the mean stays as stated.
        const std::uint32_t own = drawLength(stream.promptTokens - stream.sharedPrefix, stream.lengthSpread, random);
        request.promptTokens = stream.sharedPrefix + own;
        request.maxTokens = std::max(1U, drawLength(stream.answerTokens, stream.lengthSpread, random));
        request.prompt
            = text("shared " + stream.name + ' ', stream.sharedPrefix) + text(fmt::format("{:x} ", random.next()), own);
        return request;
    }

    bool active(const Stream& stream, Duration at)
    {
        if (at < stream.begin)
            return false;
        if (stream.burstInterval <= Duration(0))
            return at < stream.end;
        return (at - stream.begin) % stream.burstInterval < stream.end - stream.begin;
    }

} // namespace

std::vector<Arrival> makeArrivals(const Workload& workload, const HardwareBound& bound, std::uint64_t seed)
{
    std::vector<Arrival> arrivals;
    Random random(seed);
    for (std::size_t i = 0; i < workload.streams.size(); ++i) {
        const Stream& stream = workload.streams[i];
        const double rate = stream.load > 0 ? stream.load * bound.requestsPerSecond(stream) : stream.rate;
        double seconds = 0;
        while (true) {
            seconds -= std::log(1.0 - random.unit()) / rate;
            const Duration at(static_cast<Duration::rep>(seconds * 1e6));
            if (at >= workload.duration)
                break;
            if (active(stream, at))
                arrivals.push_back({ at, i, makeRequest(stream, random) });
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < arrivals.size(); ++i)
        arrivals[i].request.id = RequestId(Bits128 { 0, i });
    return arrivals;
}

} // namespace fuchsialb::bench
