#include "Router.h"

#include "../Config/ConfigurationCodec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsialb {

namespace {

    // A module that feeds itself would otherwise loop for ever; a real chain of effects is a few rounds long.
    constexpr int maxFlushRounds = 64;

} // namespace

absl::StatusOr<std::unique_ptr<Router>> Router::create(RouterOptions options, const Clock& clock, Random& random)
{
    Member self;
    self.host = options.self;
    self.dataCentre = options.dataCentre;
    self.address = options.address;
    self.incarnation = options.incarnation;
    auto membership = Membership::create(std::move(self), options.membership, clock, random);
    if (!membership.ok())
        return membership.status();
    options.spread.decode = decodeConfiguration;
    options.spread.decodeHead = decodeHead;
    options.spread.chunkKey = chunkKey;
    auto spread = ConfigurationSpread::create(options.self, options.dataCentre, options.spread, clock);
    if (!spread.ok())
        return spread.status();
    std::unique_ptr<Router> router(new Router(std::move(options), clock, random));
    router->m_membership = std::move(*membership);
    router->m_spread = std::move(*spread);
    router->m_entries = std::make_unique<internal::EntryTable>(
        router->m_options.fault, router->m_chooser, *router->m_membership, clock, random);
    router->m_schedulers
        = std::make_unique<internal::SchedulerTable>(router->m_options.claims, router->m_options.fault, clock, random);
    router->followMembers();
    return router;
}

Router::Router(RouterOptions options, const Clock& clock, Random& random)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_chooser(m_options.self, m_options.dataCentre, clock, random)
{
}

Router::~Router() = default;

void Router::handle(const Event& event)
{
    std::visit([this](const auto& value) { on(value); }, event);
    flush();
}

std::vector<Action> Router::takeActions() { return std::exchange(m_actions, {}); }

void Router::on(const RequestArrived& event) { m_entries->arrive(event.request); }

void Router::on(const CallerGone& event) { m_entries->callerGone(event.request); }

void Router::on(const PeerReceived& event)
{
    std::visit([&](const auto& message) { onPeer(event.from, message); }, event.message);
}

void Router::on(const StoreAnswer& event)
{
    const auto origin = m_store.take(event.operation);
    if (!origin) {
        ++m_staleAnswers;
        return;
    }
    StoreAnswer answer = event;
    answer.operation = origin->operation;
    if (origin->target.value().empty())
        m_spread->onAnswer(answer);
    else
        m_schedulers->onStoreAnswer(origin->target, answer);
}

void Router::on(const HostsListed& event)
{
    m_membership->onHostList(event.hosts);
    m_chooser.onHostList(event.hosts);
    for (const ListedHost& host : event.hosts)
        m_addresses.try_emplace(host.host, host.address);
}

void Router::on(const DrainRequested&)
{
    if (m_draining)
        return;
    m_draining = true;
    m_drainStarted = m_clock.now();
    m_membership->leave();
    m_schedulers->drain();
    followMembers();
}

void Router::on(const Tick&)
{
    m_membership->tick();
    m_spread->onStoreNews(m_membership->storeNews());
    m_spread->tick();
    m_membership->setStoreAnswers(m_spread->status().storeAnswers);
    m_entries->tick();
    m_schedulers->tick();
    if (m_draining)
        m_entries->refuseNew(m_clock.now() - m_drainStarted >= m_options.drainGrace);
    if (m_clock.now() - m_lastLoads >= m_options.loadPeriod)
        advertiseLoads();
    checkDrained();
}

void Router::on(const LoadReport& event) { m_schedulers->onLoadReport(event); }

void Router::on(const CacheChanged& event) { m_schedulers->onCacheChanged(event); }

void Router::on(const TokenReceived& event) { m_schedulers->onToken(event); }

void Router::on(const RunFinished& event) { m_schedulers->onRunFinished(event); }

void Router::on(const RunFailed& event) { m_schedulers->onRunFailed(event); }

void Router::on(const StateMoved& event) { m_schedulers->onStateMoved(event); }

void Router::on(const ServiceReplied& event) { m_schedulers->onServiceReplied(event); }

void Router::on(const ServiceFailed& event) { m_schedulers->onServiceFailed(event); }

void Router::onPeer(const HostId& from, const Probe& message) { m_membership->onMessage(from, message); }

void Router::onPeer(const HostId& from, const ProbeReply& message) { m_membership->onMessage(from, message); }

void Router::onPeer(const HostId& from, const ConfigPull& message) { m_spread->onMessage(from, message); }

void Router::onPeer(const HostId& from, const ConfigChunk& message) { m_spread->onMessage(from, message); }

void Router::onPeer(const HostId& from, const Submit& message) { m_schedulers->submit(from, message); }

void Router::onPeer(const HostId& from, const Accepted& message) { m_entries->onAccepted(from, message); }

void Router::onPeer(const HostId& from, const Inquire& message) { m_schedulers->inquire(from, message); }

void Router::onPeer(const HostId& from, const NotKnown& message) { m_entries->onNotKnown(from, message); }

void Router::onPeer(const HostId& from, const TokensDelivered& message) { m_entries->onTokens(from, message); }

void Router::onPeer(const HostId& from, const Finished& message) { m_entries->onFinished(from, message); }

void Router::onPeer(const HostId& from, const Returned& message) { m_entries->onReturned(from, message); }

void Router::onPeer(const HostId& from, const CancelRequest& message) { m_schedulers->cancel(from, message); }

void Router::sendPeer(const HostId& to, PeerMessage message)
{
    if (to == m_options.self) {
        std::visit([&](const auto& value) { onPeer(to, value); }, message);
        return;
    }
    const auto known = m_addresses.find(to);
    m_actions.push_back(
        SendPeer { to, known == m_addresses.end() ? std::string() : known->second, std::move(message) });
}

void Router::takeConfiguration()
{
    const auto inForce = m_spread->inForce();
    if (inForce == m_configuration || !inForce)
        return;
    m_configuration = inForce;
    m_membership->setConfiguration(inForce->version);
    m_chooser.configure(*inForce);
    m_entries->configure(inForce);
    m_schedulers->configure(inForce);
    if (!m_draining)
        m_schedulers->own(m_chooser.owned());
    updatePolling();
}

void Router::followMembers()
{
    if (m_membership->revision() == m_memberRevision && !m_members.empty())
        return;
    m_memberRevision = m_membership->revision();
    std::set<HostId> present;
    for (const Member& member : m_membership->members()) {
        present.insert(member.host);
        m_addresses[member.host] = member.address;
    }
    std::set<HostId> lost;
    std::set_difference(
        m_members.begin(), m_members.end(), present.begin(), present.end(), std::inserter(lost, lost.end()));
    m_members = std::move(present);
    m_spread->onMembers(m_membership->members());
    m_chooser.onMembers(*m_membership);
    if (m_configuration && !m_draining)
        m_schedulers->own(m_chooser.owned());
    if (!lost.empty()) {
        m_entries->onMembersLost(lost);
        m_schedulers->entriesLost(lost);
    }
    updatePolling();
}

void Router::advertiseLoads()
{
    m_lastLoads = m_clock.now();
    std::vector<GroupLoad> loads = m_schedulers->loads();
    for (GroupLoad& load : loads) {
        load.scheduler = m_options.self;
        load.address = m_options.address;
    }
    m_membership->setLoads(std::move(loads));
}

void Router::updatePolling()
{
    auto polled = m_schedulers->polled();
    if (polled == m_polled)
        return;
    m_polled = std::move(polled);
    m_actions.push_back(PollEndpoints { m_polled });
}

void Router::checkDrained()
{
    if (!m_draining || m_safeToStop || m_clock.now() - m_drainStarted < m_options.leaveSpread)
        return;
    if (m_entries->size() > 0 || !m_schedulers->idle())
        return;
    m_safeToStop = true;
    m_actions.push_back(SafeToStop {});
}

void Router::flush()
{
    for (int round = 0; round < maxFlushRounds; ++round) {
        takeConfiguration();
        followMembers();
        m_schedulers->settle();
        bool moved = false;
        for (auto& output : m_schedulers->takeOutputs()) {
            sendPeer(output.entry, std::move(output.message));
            moved = true;
        }
        for (auto& output : m_entries->takeOutputs()) {
            if (const GroupLoad* load = m_membership->load(output.group); load && !load->address.empty())
                m_addresses.try_emplace(output.scheduler, load->address);
            sendPeer(output.scheduler, std::move(output.message));
            moved = true;
        }
        takeModuleActions();
        if (!moved)
            return;
    }
}

void Router::takeModuleActions()
{
    for (Action& action : m_entries->takeActions())
        m_actions.push_back(std::move(action));
    for (Action& action : m_schedulers->takeActions())
        m_actions.push_back(std::move(action));
    const auto issue = [this](const TargetId& origin, auto operation) {
        operation.operation = m_store.add(origin, operation.operation);
        m_actions.push_back(std::move(operation));
    };
    for (auto& item : m_schedulers->takeStoreOperations())
        std::visit([&](auto& value) { issue(item.first, std::move(value)); }, item.second);
    for (ControlOperation& operation : m_spread->takeOperations())
        std::visit([&](auto& value) { issue(TargetId(), std::move(value)); }, operation);
    for (MemberSend& send : m_membership->takeSends()) {
        PeerMessage message = std::visit([](auto& value) { return PeerMessage(std::move(value)); }, send.message);
        m_actions.push_back(SendPeer { send.to, send.address, std::move(message) });
    }
    for (ConfigSend& send : m_spread->takeSends()) {
        PeerMessage message = std::visit([](auto& value) { return PeerMessage(std::move(value)); }, send.message);
        sendPeer(send.to, std::move(message));
    }
}

RouterStatus Router::status() const
{
    RouterStatus status;
    status.self = m_options.self;
    status.dataCentre = m_options.dataCentre;
    status.configuration = m_spread->status();
    status.members = m_membership->members();
    status.ownGroups = m_schedulers->loads();
    status.entryRequests = m_entries->size();
    status.scheduledRequests = m_schedulers->requestsInProgress();
    status.draining = m_draining;
    status.safeToStop = m_safeToStop;
    status.staleEvents = m_entries->staleEvents() + m_schedulers->staleEvents() + m_staleAnswers;
    return status;
}

} // namespace fuchsialb
