#pragma once

#include "../Base/Ids.h"
#include "RankShares.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fuchsialb {

/// \brief A request in the queue and what it is expected to cost.
struct QueuedRequest {
    RequestId request;
    OrganisationId organisation;
    /// Share of the organisation within a rank; greater than 0.
    double weight = 1.0;
    Rank rank = Rank::Recording;
    double cost = 0;
    /// Place among the requests of the organisation and rank; the lowest goes first, each number is used once.
    std::uint64_t order = 0;
};

/// \brief Three ranks with guaranteed shares, and start-time fair queueing over organisations inside each rank.
///
/// Source of the tags: Goyal, Vin, Cheng, "Start-time Fair Queueing" (1996), with one tag for each organisation
/// instead of one for each request, so that corrections apply to all that is queued. Picking is O(log organisations).
class FairQueue {
public:
    /// \param backlogLimit Most requests that one organisation may have queued in one rank.
    FairQueue(const RankTable<double>& guaranteed, std::size_t backlogLimit);

    /// \return False when the organisation's backlog in this rank is full.
    bool push(const QueuedRequest& item);
    /// Puts a request that was taken out back to its place. Never refused.
    void putBack(const QueuedRequest& item);
    /// Takes out the request that goes next and charges its organisation with the estimated cost.
    /// \param excluded Ranks that are passed over.
    std::optional<QueuedRequest> pop(const RankTable<bool>& excluded = {});
    std::optional<QueuedRequest> pop(Rank rank);
    /// \return False when the request is not queued.
    bool remove(RequestId request);

    /// Corrects the charge of an organisation, for example by actual minus estimated cost.
    void correct(Rank rank, const OrganisationId& organisation, double cost);

    /// \return Cost that fair queueing serves before a new request of this organisation.
    double costAhead(Rank rank, const OrganisationId& organisation, double weight, double cost) const;
    /// \return The newest request of each organisation and, as a fluid estimate, the cost that is served before it.
    std::vector<std::pair<RequestId, double>> tails(Rank rank) const;

    /// \return Estimated cost of all that is queued in a rank.
    double backlog(Rank rank) const { return m_ranks[rank].backlog; }
    std::size_t size(Rank rank) const { return m_ranks[rank].size; }
    std::size_t size() const;
    bool empty() const { return size() == 0; }
    bool contains(RequestId request) const { return m_places.contains(request); }
    RankShares& shares() { return m_shares; }
    const RankShares& shares() const { return m_shares; }

private:
    struct Entry {
        RequestId request;
        double cost = 0;
    };

    struct Flow {
        OrganisationId organisation;
        double weight = 1.0;
        double start = 0;
        double finish = 0;
        double backlog = 0;
        /// Whether a request of it was ever taken out; a new organisation has no unused share to make up for.
        bool served = false;
        std::map<std::uint64_t, Entry> entries;
    };

    struct ByStart {
        bool operator()(const Flow* a, const Flow* b) const
        {
            return a->start != b->start ? a->start < b->start : a->organisation < b->organisation;
        }
    };

    struct RankQueue {
        double virtualTime = 0;
        double backlog = 0;
        std::size_t size = 0;
        std::map<OrganisationId, Flow> flows;
        std::set<Flow*, ByStart> backlogged;
    };

    struct Place {
        Rank rank = Rank::Recording;
        Flow* flow = nullptr;
        std::uint64_t order = 0;
    };

    Flow& flow(RankQueue& queue, const QueuedRequest& item);
    static double startTag(const RankQueue& queue, const Flow& flow, double cost);
    void insert(RankQueue& queue, Flow& flow, const QueuedRequest& item);
    void erase(RankQueue& queue, Flow& flow, std::uint64_t order);
    void forgetIdleFlows(RankQueue& queue);

    std::size_t m_backlogLimit;
    RankShares m_shares;
    RankTable<RankQueue> m_ranks;
    absl::flat_hash_map<RequestId, Place> m_places;
};

} // namespace fuchsialb
