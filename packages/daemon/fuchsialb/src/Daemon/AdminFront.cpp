#include "AdminFront.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    std::string_view stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Leaving:
            return "leaving";
        case MemberState::Dead:
            return "dead";
        }
        return "";
    }

    json memberJson(const Member& member)
    {
        return { { "host", member.host.value() }, { "data_centre", member.dataCentre.value() },
            { "address", member.address }, { "state", stateName(member.state) },
            { "incarnation", member.incarnation.value() }, { "configuration_version", member.configuration.value() } };
    }

    json groupJson(const GroupLoad& load)
    {
        json wait = json::object();
        for (const Rank rank : allRanks)
            wait[std::string(rankName(rank))] = load.wait[rank].count();
        return { { "group", load.group.value() }, { "running", load.running }, { "slots", load.slots },
            { "wait_us", std::move(wait) } };
    }

    json decisionJson(const DecisionLog::Entry& entry)
    {
        return { { "time_us", entry.unixMicroseconds }, { "request", toHex(entry.request.value()) },
            { "reason", reasonName(entry.reason) }, { "detail", entry.detail } };
    }

    HttpResponse jsonResponse(std::uint32_t status, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.headers = { { "content-type", "application/json" } };
        response.body = std::move(body);
        return response;
    }

    std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"; }

} // namespace

AdminFront::AdminFront(Parts parts)
    : m_parts(std::move(parts))
{
}

std::string AdminFront::statusJson() const
{
    const auto status = m_parts.core->status();
    json members = json::array();
    for (const Member& member : status->members)
        members.push_back(memberJson(member));
    json groups = json::array();
    for (const GroupLoad& load : status->ownGroups)
        groups.push_back(groupJson(load));
    return dump({ { "host", status->self.value() }, { "data_centre", status->dataCentre.value() },
        { "configuration_version", status->configuration.inForce.value() },
        { "watching", status->configuration.watching },
        { "store_age_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(status->configuration.storeAge).count() },
        { "store_behind", status->configuration.storeBehind }, { "members", std::move(members) },
        { "groups", std::move(groups) }, { "entry_requests", status->entryRequests },
        { "scheduled_requests", status->scheduledRequests }, { "draining", status->draining },
        { "safe_to_stop", status->safeToStop }, { "stale_events", status->staleEvents } });
}

std::string AdminFront::explainJson(const ServerRequest& request) const
{
    json decisions = json::array();
    std::vector<DecisionLog::Entry> found;
    if (const std::string id = request.parameter("request"); !id.empty())
        found = m_parts.decisions->ofRequest(id);
    for (const char* name : { "host", "runner" }) {
        if (const std::string word = request.parameter(name); !word.empty())
            found = m_parts.decisions->naming(word);
    }
    for (const DecisionLog::Entry& entry : found)
        decisions.push_back(decisionJson(entry));
    return dump({ { "decisions", std::move(decisions) } });
}

void AdminFront::handle(const ServerRequest& request, const std::shared_ptr<HttpReply>& reply) const
{
    if (request.path == "/metrics") {
        HttpResponse response;
        response.status = 200;
        response.headers = { { "content-type", "text/plain; version=0.0.4" } };
        response.body = m_parts.metrics->text(*m_parts.core->status(), m_parts.peerBytes());
        reply->send(std::move(response));
    } else if (request.path == "/admin/status" && request.method == "GET") {
        reply->send(jsonResponse(200, statusJson()));
    } else if (request.path == "/admin/explain" && request.method == "GET") {
        reply->send(jsonResponse(200, explainJson(request)));
    } else if (request.path == "/admin/drain" && request.method == "POST") {
        m_parts.drain();
        reply->send(jsonResponse(202, dump({ { "draining", true } })));
    } else {
        reply->send(jsonResponse(404,
            dump({ { "type", "urn:fuchsialb:problem:invalid-input" }, { "status", 404 },
                { "detail",
                    "accepted: GET /metrics, GET /admin/status, GET /admin/explain?request=|host=|runner=, POST "
                    "/admin/drain" } })));
    }
}

} // namespace fuchsialb
