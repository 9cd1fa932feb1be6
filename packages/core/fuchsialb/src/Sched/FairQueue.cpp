#include "FairQueue.h"

#include <algorithm>
#include <cassert>

namespace fuchsialb {

namespace {

    /// Organisations without a backlog are forgotten above this number, so that unlisted ones use bounded memory.
    constexpr std::size_t rememberedFlows = 4096;
    /// An organisation that used less than its share may start this many requests ahead of the others. Without it a
    /// chance burst of one within its share waits as if the organisation were greedy.
    constexpr double burstRequests = 32.0;

} // namespace

FairQueue::FairQueue(const RankTable<double>& guaranteed, std::size_t backlogLimit)
    : m_backlogLimit(backlogLimit)
    , m_shares(guaranteed)
{
}

FairQueue::Flow& FairQueue::flow(RankQueue& queue, const QueuedRequest& item)
{
    assert(item.weight > 0);
    if (queue.flows.size() >= rememberedFlows)
        forgetIdleFlows(queue);
    Flow& flow = queue.flows[item.organisation];
    flow.organisation = item.organisation;
    flow.weight = item.weight;
    return flow;
}

void FairQueue::forgetIdleFlows(RankQueue& queue)
{
    std::erase_if(queue.flows,
        [&queue](const auto& each) { return each.second.entries.empty() && each.second.finish <= queue.virtualTime; });
}

double FairQueue::startTag(const RankQueue& queue, const Flow& flow, double cost)
{
    if (!flow.served)
        return queue.virtualTime;
    return std::max(queue.virtualTime - burstRequests * cost / flow.weight, flow.finish);
}

void FairQueue::insert(RankQueue& queue, Flow& flow, const QueuedRequest& item)
{
    if (flow.entries.empty()) {
        flow.start = startTag(queue, flow, item.cost);
        queue.backlogged.insert(&flow);
    }
    flow.entries.emplace(item.order, Entry { item.request, item.cost });
    flow.backlog += item.cost;
    queue.backlog += item.cost;
    ++queue.size;
    m_places[item.request] = { item.rank, &flow, item.order };
}

void FairQueue::erase(RankQueue& queue, Flow& flow, std::uint64_t order)
{
    const auto found = flow.entries.find(order);
    flow.backlog -= found->second.cost;
    queue.backlog -= found->second.cost;
    --queue.size;
    m_places.erase(found->second.request);
    flow.entries.erase(found);
    if (flow.entries.empty()) {
        flow.backlog = 0;
        queue.backlogged.erase(&flow);
    }
    if (queue.size == 0)
        queue.backlog = 0;
}

bool FairQueue::push(const QueuedRequest& item)
{
    RankQueue& queue = m_ranks[item.rank];
    Flow& target = flow(queue, item);
    if (target.entries.size() >= m_backlogLimit)
        return false;
    insert(queue, target, item);
    return true;
}

void FairQueue::putBack(const QueuedRequest& item)
{
    RankQueue& queue = m_ranks[item.rank];
    insert(queue, flow(queue, item), item);
}

std::optional<QueuedRequest> FairQueue::pop(const RankTable<bool>& excluded)
{
    RankTable<bool> backlogged;
    for (Rank rank : allRanks)
        backlogged[rank] = m_ranks[rank].size > 0 && !excluded[rank];
    const std::optional<Rank> rank = m_shares.pick(backlogged);
    return rank ? pop(*rank) : std::nullopt;
}

std::optional<QueuedRequest> FairQueue::pop(Rank rank)
{
    RankQueue& queue = m_ranks[rank];
    if (queue.backlogged.empty())
        return std::nullopt;
    Flow& first = **queue.backlogged.begin();
    const auto [order, entry] = *first.entries.begin();
    const QueuedRequest item { entry.request, first.organisation, first.weight, rank, entry.cost, order };
    queue.virtualTime = std::max(queue.virtualTime, first.start);
    first.finish = first.start + entry.cost / first.weight;
    first.served = true;
    queue.backlogged.erase(&first);
    erase(queue, first, order);
    first.start = first.finish;
    if (!first.entries.empty())
        queue.backlogged.insert(&first);
    return item;
}

bool FairQueue::remove(RequestId request)
{
    const auto found = m_places.find(request);
    if (found == m_places.end())
        return false;
    const Place place = found->second;
    erase(m_ranks[place.rank], *place.flow, place.order);
    return true;
}

void FairQueue::correct(Rank rank, const OrganisationId& organisation, double cost)
{
    RankQueue& queue = m_ranks[rank];
    const auto found = queue.flows.find(organisation);
    if (found == queue.flows.end())
        return;
    Flow& flow = found->second;
    const bool backlogged = !flow.entries.empty();
    if (backlogged)
        queue.backlogged.erase(&flow);
    flow.finish += cost / flow.weight;
    if (!backlogged)
        return;
    flow.start += cost / flow.weight;
    queue.backlogged.insert(&flow);
}

double FairQueue::costAhead(Rank rank, const OrganisationId& organisation, double weight, double cost) const
{
    const RankQueue& queue = m_ranks[rank];
    const auto own = queue.flows.find(organisation);
    double start = queue.virtualTime;
    double ahead = 0;
    if (own != queue.flows.end()) {
        const Flow& flow = own->second;
        start = flow.entries.empty() ? startTag(queue, flow, cost) : flow.start + flow.backlog / weight;
        ahead = flow.backlog;
    }
    for (const Flow* flow : queue.backlogged) {
        if (flow->start > start)
            break;
        if (flow->organisation == organisation)
            continue;
        // The request in front starts with its tag, however long it is; the others follow at the organisation's pace.
        const double atLeast = flow->entries.begin()->second.cost;
        ahead += std::min(flow->backlog, std::max(atLeast, (start - flow->start) * flow->weight));
    }
    return ahead;
}

std::vector<std::pair<RequestId, double>> FairQueue::tails(Rank rank) const
{
    // The cost served before tag t is the sum of min(backlog, (t - start) * weight) over the organisations, which is
    // piecewise linear: one sweep over its corners answers all organisations.
    struct Corner {
        double tag = 0;
        double slope = 0;
        const Flow* tail = nullptr;
    };
    const RankQueue& queue = m_ranks[rank];
    std::vector<Corner> corners;
    corners.reserve(3 * queue.backlogged.size());
    for (const Flow* flow : queue.backlogged) {
        const double last = flow->entries.rbegin()->second.cost;
        corners.push_back({ flow->start, flow->weight, nullptr });
        corners.push_back({ flow->start + flow->backlog / flow->weight, -flow->weight, nullptr });
        corners.push_back({ flow->start + (flow->backlog - last) / flow->weight, 0, flow });
    }
    std::stable_sort(corners.begin(), corners.end(), [](const Corner& a, const Corner& b) { return a.tag < b.tag; });
    std::vector<std::pair<RequestId, double>> result;
    result.reserve(queue.backlogged.size());
    double ahead = 0;
    double slope = 0;
    double tag = corners.empty() ? 0 : corners.front().tag;
    for (const Corner& corner : corners) {
        ahead += slope * (corner.tag - tag);
        tag = corner.tag;
        slope += corner.slope;
        if (corner.tail)
            result.emplace_back(corner.tail->entries.rbegin()->second.request, ahead);
    }
    return result;
}

std::size_t FairQueue::size() const
{
    std::size_t sum = 0;
    for (Rank rank : allRanks)
        sum += m_ranks[rank].size;
    return sum;
}

} // namespace fuchsialb
