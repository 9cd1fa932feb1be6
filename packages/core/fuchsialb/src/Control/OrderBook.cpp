#include "OrderBook.h"

#include "OrderLane.h"

#include <fmt/format.h>

#include <iterator>
#include <map>
#include <utility>

namespace fuchsialb {

namespace internal {

    namespace {

        /// \brief The implementation of `OrderBook`: one lane for each endpoint with orders.
        class LaneBook final : public OrderBook {
        public:
            LaneBook(std::string owner, const OrderOptions& options, const Clock& clock)
                : m_owner(std::move(owner))
                , m_options(options)
                , m_clock(clock)
            {
            }

            void submit(Order order, const Endpoint& endpoint) override
            {
                const auto lane
                    = m_lanes.try_emplace(endpoint.id, m_owner, endpoint.id, endpoint.checksFencing, m_options);
                lane.first->second.add(std::move(order));
                proceed(lane.first->second);
            }

            void onAnswer(const StoreAnswer& answer) override { dispatch(answer); }
            void onAnswer(const EndpointAnswer& answer) override { dispatch(answer); }

            void tick() override
            {
                for (auto lane = m_lanes.begin(); lane != m_lanes.end();) {
                    proceed(lane->second);
                    lane = lane->second.idle() ? m_lanes.erase(lane) : std::next(lane);
                }
            }

            std::vector<OrderOperation> takeOperations() override { return std::exchange(m_operations, {}); }
            std::vector<OrderDone> takeDone() override { return std::exchange(m_done, {}); }
            bool idle() const override { return m_lanes.empty(); }

        private:
            template <typename Answer> void dispatch(const Answer& answer)
            {
                for (auto& [endpoint, lane] : m_lanes) {
                    if (lane.onAnswer(answer, m_clock.now())) {
                        proceed(lane);
                        return;
                    }
                }
            }

            void proceed(OrderLane& lane)
            {
                if (auto operation = lane.next(m_clock.now(), StoreOperationId(m_operation + 1))) {
                    ++m_operation;
                    m_operations.push_back(*std::move(operation));
                }
                for (OrderDone& done : lane.takeDone())
                    m_done.push_back(std::move(done));
            }

            std::string m_owner;
            OrderOptions m_options;
            const Clock& m_clock;
            std::map<EndpointId, OrderLane> m_lanes;
            std::uint64_t m_operation = 0;
            std::vector<OrderOperation> m_operations;
            std::vector<OrderDone> m_done;
        };

    } // namespace

} // namespace internal

absl::StatusOr<std::unique_ptr<OrderBook>> OrderBook::create(
    const HostId& self, Incarnation incarnation, const OrderOptions& options, const Clock& clock)
{
    if (self.value().empty())
        return error(Reason::InvalidInput, "an owner of orders needs a host id");
    if (options.lease <= options.orderTimeout + options.storeTimeout)
        return error(Reason::InvalidInput, "the lease must outlast an order and a store operation");
    const std::string owner = fmt::format("{}#{}", self.value(), incarnation.value());
    return std::make_unique<internal::LaneBook>(owner, options, clock);
}

} // namespace fuchsialb
