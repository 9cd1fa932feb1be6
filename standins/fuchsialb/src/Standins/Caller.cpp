#include "CallerSession.h"

namespace fuchsialb::standins {

std::vector<Caller::Workload> Caller::workloads(const Json& list)
{
    std::vector<Workload> read;
    for (const Json& item : list) {
        Workload workload;
        workload.requests = field(item, "requests", workload.requests);
        workload.rate = field(item, "rate", workload.rate);
        workload.organisation = field(item, "organisation", workload.organisation);
        workload.rank = field(item, "rank", workload.rank);
        workload.model = field(item, "model", workload.model);
        workload.layers = field(item, "layers", workload.layers);
        workload.promptTokens = field(item, "prompt_tokens", workload.promptTokens);
        workload.maxTokens = field(item, "max_tokens", workload.maxTokens);
        workload.engine = field(item, "engine", workload.engine);
        workload.service = field(item, "service", workload.service);
        workload.nonIdempotent = field(item, "non_idempotent", workload.nonIdempotent);
        workload.deadlineMilliseconds = field(item, "deadline_ms", workload.deadlineMilliseconds);
        workload.retries = field(item, "retries", workload.retries);
        read.push_back(std::move(workload));
    }
    return read;
}

absl::StatusOr<Json> Caller::run(const Options& options)
{
    if (options.targets.empty())
        return error(Reason::InvalidFlag, "the caller needs at least one target");
    for (const Workload& workload : options.workloads) {
        if (workload.rate <= 0)
            return error(Reason::InvalidFlag, "the rate of a workload must be greater than 0");
    }
    auto client = HttpClient::create({});
    if (!client.ok())
        return client.status();
    CallerSession session(options, std::move(*client));
    return session.run();
}

} // namespace fuchsialb::standins
