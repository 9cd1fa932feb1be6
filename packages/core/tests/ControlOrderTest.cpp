#include "support/ControlStore.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;
using namespace std::chrono_literals;

namespace {

/// \brief An order that an endpoint carried out.
struct Applied {
    HostId by;
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0;
    Order order;
};

struct StandInEndpoint {
    Endpoint endpoint;
    std::uint64_t highestFence = 0;
    std::map<OrderKind, std::string> settings;
    std::vector<Applied> history;
};

/// Three hosts that order the same endpoints about, one of which checks fencing.
class OrderWorld {
public:
    OrderWorld(std::uint64_t seed, OrderFault fault)
        : m_net(seed)
        , m_store(m_net)
        , m_random(seed + 77)
    {
        m_options.fault = fault;
        // Just longer than one order, so that leases end while a paused owner's order is on its way.
        m_options.lease = 12s;
        m_net.tickInterval = 200ms;
        m_net.faults = { 0.01, 0, Duration(500), Duration(200'000) };
        m_store.lostAnswers = 0.05;
        m_store.reachable = [this](const HostId& host) { return host != m_cutOff; };
        m_net.onTick = [this](WorldHost& host) { tick(host); };
        for (const bool fencing : { true, false }) {
            StandInEndpoint& endpoint = endpoints[EndpointId(fencing ? "fencing" : "plain")];
            endpoint.endpoint.id = EndpointId(fencing ? "fencing" : "plain");
            endpoint.endpoint.checksFencing = fencing;
        }
    }

    /// Submits seeded orders under disturbances for 4 minutes, then lets all hosts finish.
    void run()
    {
        for (const char* host : { "a", "b", "c" })
            start(host);
        for (int step = 0; step < 24; ++step) {
            disturb();
            for (int orders = 0; orders < 3; ++orders)
                submit();
            m_net.runFor(10s);
        }
        m_cutOff = HostId();
        m_calm = true;
        m_net.runFor(600s);
    }

    std::map<EndpointId, StandInEndpoint> endpoints;
    /// Orders of hosts that didn't crash since, and the ends they were told.
    std::map<OrderId, std::vector<Reason>> ends;

private:
    void start(const std::string& name)
    {
        WorldHost& host = m_net.start(name, "dc");
        m_books[host.host]
            = OrderBook::create(host.host, Incarnation(host.incarnation), m_options, m_net.clock).value();
        std::erase_if(m_submittedBy, [&](const auto& item) {
            return item.second == host.host && ends.at(item.first).empty() && ends.erase(item.first) > 0;
        });
    }

    void submit()
    {
        const HostId host(std::string(1, static_cast<char>('a' + m_random.below(3))));
        StandInEndpoint& endpoint = endpoints.at(EndpointId(m_random.chance(0.5) ? "fencing" : "plain"));
        Order order;
        order.id = OrderId(m_random.bits128());
        order.endpoint = endpoint.endpoint.id;
        order.idempotent = !endpoint.endpoint.checksFencing || m_random.chance(0.5);
        order.kind = order.idempotent ? OrderKind::LoadVersion : OrderKind::LoadAdapter;
        order.argument = std::to_string(order.id.value().low);
        ends[order.id];
        m_submittedBy[order.id] = host;
        m_books.at(host)->submit(order, endpoint.endpoint);
    }

    void disturb()
    {
        const std::string name(1, static_cast<char>('a' + m_random.below(3)));
        switch (m_random.below(5)) {
        case 0:
            start(name);
            break;
        case 1:
            m_cutOff = HostId(name);
            break;
        case 2:
            m_net.pause(name, Duration(m_random.below(60'000'000)));
            break;
        default:
            m_cutOff = HostId();
        }
    }

    void tick(WorldHost& host)
    {
        m_books.at(host.host)->tick();
        flush(host.host, host.incarnation);
    }

    void flush(const HostId& host, std::uint64_t incarnation)
    {
        OrderBook& book = *m_books.at(host);
        for (const OrderOperation& operation : book.takeOperations())
            std::visit([&](const auto& body) { carryOut(host, incarnation, body); }, operation);
        for (const OrderDone& done : book.takeDone()) {
            if (ends.contains(done.order))
                ends[done.order].push_back(done.reason);
        }
    }

    template <typename Answer> auto answerer(const HostId& host, std::uint64_t incarnation)
    {
        return [this, host, incarnation](const Answer& answer) {
            if (m_net.hosts.at(host).incarnation != incarnation)
                return;
            m_books.at(host)->onAnswer(answer);
            flush(host, incarnation);
        };
    }

    void carryOut(const HostId& host, std::uint64_t incarnation, const StoreRead& read)
    {
        m_store.submit(host, read, answerer<StoreAnswer>(host, incarnation));
    }

    void carryOut(const HostId& host, std::uint64_t incarnation, const StoreCompareAndSwap& write)
    {
        m_store.submit(host, write, answerer<StoreAnswer>(host, incarnation));
    }

    void carryOut(const HostId& host, std::uint64_t incarnation, const EndpointRead& read)
    {
        m_net.after(m_net.delay(), [this, host, incarnation, read] {
            const StandInEndpoint& endpoint = endpoints.at(read.endpoint);
            EndpointAnswer state { read.operation, EndpointAnswer::Kind::Ok, endpoint.settings, {} };
            for (const Applied& applied : endpoint.history)
                state.applied.push_back(applied.order.id);
            answer(host, incarnation, state);
        });
    }

    /// The process may be paused between its decision and the post: until 10 s after its lease, which stands for 10 s
    /// at the decision, or for long when the endpoint checks fencing.
    void carryOut(const HostId& host, std::uint64_t incarnation, const EndpointOrder& post)
    {
        const bool fencing = endpoints.at(post.order.endpoint).endpoint.checksFencing;
        Duration delay = m_net.delay();
        if (!m_calm && m_random.chance(0.2)) {
            delay += Duration(m_random.below(fencing ? 60'000'000 : 19'500'000));
            // Either the whole process is paused, or only the post is slow.
            if (m_random.chance(0.5))
                m_net.pause(host.value(), delay);
        }
        m_net.after(delay, [this, host, incarnation, post] {
            StandInEndpoint& endpoint = endpoints.at(post.order.endpoint);
            EndpointAnswer result { post.operation, EndpointAnswer::Kind::Ok, {}, {} };
            if (endpoint.endpoint.checksFencing && post.fence < endpoint.highestFence) {
                result.kind = EndpointAnswer::Kind::OldFence;
            } else {
                endpoint.highestFence = std::max(endpoint.highestFence, post.fence);
                endpoint.settings[post.order.kind] = post.order.argument;
                endpoint.history.push_back({ host, incarnation, post.fence, post.order });
            }
            answer(host, incarnation, result);
        });
    }

    void answer(const HostId& host, std::uint64_t incarnation, EndpointAnswer result)
    {
        if (m_random.chance(m_calm ? 0 : 0.15)) {
            result = {};
            return;
        }
        m_net.transmit(host, host, 0,
            [deliver = answerer<EndpointAnswer>(host, incarnation), result](WorldHost&) { deliver(result); });
    }

    ControlWorld m_net;
    ControlStore m_store;
    Random m_random;
    OrderOptions m_options;
    HostId m_cutOff;
    bool m_calm = false;
    std::map<HostId, std::unique_ptr<OrderBook>> m_books;
    std::map<OrderId, HostId> m_submittedBy;
};

struct Breaches {
    /// Two owners under one fencing number, or an owner that acts after a later one.
    int twoOwners = 0;
    /// An order that isn't idempotent carried out twice, or a repeat after another order.
    int harmfulRepeats = 0;
    /// An order without exactly one end, or an endpoint that took none.
    int unfinished = 0;

    int all() const { return twoOwners + harmfulRepeats + unfinished; }
};

/// Reads the histories of the endpoints and the ends that were told, nothing else.
Breaches breachesOf(std::uint64_t seed, OrderFault fault)
{
    OrderWorld world(seed, fault);
    world.run();
    Breaches breaches;
    for (const auto& [id, endpoint] : world.endpoints) {
        std::map<std::uint64_t, std::pair<HostId, std::uint64_t>> owners;
        std::map<OrderId, std::size_t> lastAt;
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < endpoint.history.size(); ++i) {
            const Applied& applied = endpoint.history[i];
            const std::pair owner(applied.by, applied.incarnation);
            breaches.twoOwners += owners.try_emplace(applied.fence, owner).first->second != owner ? 1 : 0;
            breaches.twoOwners += applied.fence < highest ? 1 : 0;
            highest = std::max(highest, applied.fence);
            const auto before = lastAt.find(applied.order.id);
            const bool repeated = before != lastAt.end();
            breaches.harmfulRepeats += repeated && (!applied.order.idempotent || before->second + 1 != i) ? 1 : 0;
            lastAt[applied.order.id] = i;
        }
    }
    for (const auto& [order, ends] : world.ends)
        breaches.unfinished += ends.size() != 1 ? 1 : 0;
    return breaches;
}

} // namespace

// Guards against two owners of an endpoint and against harmful repeats, for any order of pauses, crashes, cuts and lost
// answers.
TEST_CASE("Orders have one owner and do no harm under seeded faults")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const Breaches breaches = breachesOf(seed, OrderFault::None);
        INFO("seed " << seed << ": two owners " << breaches.twoOwners << ", harmful repeats " << breaches.harmfulRepeats
                     << ", unfinished " << breaches.unfinished);
        CHECK(breaches.all() == 0);
    }
}

// Guards against checkers that can't fail.
TEST_CASE("The checkers find deliberate faults of the orders")
{
    const auto total = [](OrderFault fault, int Breaches::*count) {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
            found += breachesOf(seed, fault).*count;
        return found;
    };
    CHECK(total(OrderFault::KeepFence, &Breaches::twoOwners) > 0);
    CHECK(total(OrderFault::IgnoreLease, &Breaches::twoOwners) > 0);
    CHECK(total(OrderFault::NoQuietTime, &Breaches::twoOwners) > 0);
    CHECK(total(OrderFault::RepeatLost, &Breaches::harmfulRepeats) > 0);
}
