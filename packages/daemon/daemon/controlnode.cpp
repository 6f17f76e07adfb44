#include "daemon/controlnode.h"

#include <chrono>
#include <utility>

#include "control/disklogstore.h"
#include "daemon/clusternode.h"
#include "limits/sharecodec.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr auto TickInterval = std::chrono::milliseconds(20);
// Messages above this number are dropped; Raft resends them.
constexpr std::size_t MaxInbox = 4096;

Control::ControlSettings controlSettings(const Settings::DaemonSettings &settings)
{
    Control::ControlSettings control;
    control.instance = settings.instance.id;
    control.peers = controlPeers(settings);
    control.bootstrap = settings.control.bootstrap;
    control.timing.election = settings.timings.electionTimeout;
    control.timing.heartbeat = settings.timings.heartbeat;
    return control;
}

}

Result<std::unique_ptr<ControlNode>> ControlNode::open(const Settings::DaemonSettings &settings, Wire::PeerNetwork &network,
                                                       const Clock &clock)
{
    auto random = std::make_unique<SeededRandom>(makeIncarnation().value());
    auto store = std::make_unique<Control::DiskLogStore>(settings.control.dataFolder);
    auto service = Control::ControlService::open(controlSettings(settings), std::move(store), *random, clock.now());
    if (!service) {
        return tl::make_unexpected(service.error());
    }
    return std::unique_ptr<ControlNode>(new ControlNode(std::move(*service), std::move(random), network, clock));
}

ControlNode::ControlNode(std::unique_ptr<Control::ControlService> service, std::unique_ptr<RandomSource> random, Wire::PeerNetwork &network,
                         const Clock &clock)
    : m_random(std::move(random))
    , m_service(std::move(service))
    , m_network(network)
    , m_clock(clock)
{
}

ControlNode::~ControlNode()
{
    stop();
}

void ControlNode::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControlNode::receive(Wire::Envelope envelope)
{
    const std::lock_guard lock(m_inboxMutex);
    if (m_inbox.size() < MaxInbox) {
        m_inbox.push_back(std::move(envelope));
        m_inboxFilled.notify_one();
    }
}

Control::ControlStatus ControlNode::status() const
{
    const std::lock_guard lock(m_serviceMutex);
    return m_service->status(m_clock.now());
}

bool ControlNode::hasFailed() const
{
    return m_failed;
}

void ControlNode::stop()
{
    {
        const std::lock_guard lock(m_inboxMutex);
        m_stopping = true;
    }
    m_inboxFilled.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ControlNode::run()
{
    for (;;) {
        std::deque<Wire::Envelope> messages;
        {
            std::unique_lock lock(m_inboxMutex);
            m_inboxFilled.wait_for(lock, TickInterval, [this] { return m_stopping || !m_inbox.empty(); });
            if (m_stopping) {
                return;
            }
            messages.swap(m_inbox);
        }
        processMessages(messages);
        if (m_failed) {
            return;
        }
    }
}

void ControlNode::processMessages(const std::deque<Wire::Envelope> &messages)
{
    const std::lock_guard lock(m_serviceMutex);
    for (const Wire::Envelope &it : messages) {
        const Instant now = m_clock.now();
        if (it.kind == Wire::MessageKind::ShareRequest) {
            answerShareRequest(it, now);
        } else if (!m_service->receive(it, now)) {
            ++m_malformed;
        }
    }
    const Instant now = m_clock.now();
    m_service->tick(now);
    for (Control::Outgoing &it : m_service->takeOutgoing()) {
        m_network.send(it.address, it.kind, it.correlation, std::move(it.payload));
    }
    syncAllocator(now);
    if (const std::optional<Error> &failed = m_service->storeFailure()) {
        m_log.error("store failed", { { "code", std::to_string(static_cast<int>(failed->code)) }, { "detail", failed->detail } });
        m_failed = true;
    }
}

void ControlNode::answerShareRequest(const Wire::Envelope &envelope, Instant now)
{
    const Result<Limits::ShareRequest> request = Limits::decodeShareRequest(envelope.payload);
    if (!request || !m_service->isConfirmedLeader(now)) {
        return; // without a reply, the entry asks the other control instances
    }
    syncAllocator(now);
    const std::optional<Duration> age = m_service->status(now).freshnessAge;
    if (!age) {
        return;
    }
    const Limits::ShareReply reply = m_allocator.answer(*request, *age, now);
    m_network.send(envelope.senderAddress, Wire::MessageKind::ShareReply, envelope.correlation, Limits::encode(reply));
}

void ControlNode::syncAllocator(Instant now)
{
    const bool isLeader = m_service->isConfirmedLeader(now);
    if (isLeader != m_wasLeader) {
        m_log.info(isLeader ? "leader" : "not leader", { { "term", std::to_string(m_service->status(now).term.value()) } });
    }
    if (isLeader && !m_wasLeader) {
        m_allocator.becomeLeader(now);
    }
    m_wasLeader = isLeader;
    const Control::ContractState &state = m_service->state();
    if (state.appliedIndex() == m_allocatedIndex) {
        return;
    }
    m_allocatedIndex = state.appliedIndex();
    for (const auto &[customer, record] : state.contracts()) {
        Version &allocated = m_allocated[customer];
        if (allocated == record.contract.version) {
            continue;
        }
        allocated = record.contract.version;
        if (record.withdrawn) {
            m_allocator.removeContract(customer);
        } else {
            m_allocator.setContract(record.contract);
        }
    }
    std::vector<InstanceId> entries;
    for (const Control::RegisteredEntry &it : state.registeredEntries()) {
        entries.push_back(it.instance);
    }
    m_allocator.setRegisteredEntries(entries);
}

}
