#include "simulation.h"

#include <stdexcept>

namespace Galenabarrow::Control
{

namespace
{
constexpr Duration StepLength = std::chrono::milliseconds(5);
constexpr const char *Operator = "operator";
}

Simulation::Simulation(std::uint64_t seed, std::size_t controlCount, std::size_t entryCount, std::uint64_t entriesPerSnapshot)
    : random(seed)
    , m_controlCount(controlCount)
    , m_entriesPerSnapshot(entriesPerSnapshot)
{
    for (const ControlPeer &peer : peers()) {
        controls[peer.address].disk = std::make_shared<MemoryDisk>(Incarnation(random.next() | 1U));
        start(peer.address);
    }
    for (std::size_t n = 1; n <= entryCount; ++n) {
        restartEntry("e" + std::to_string(n));
    }
    operatorClient = std::make_unique<ProposalClient>(peers(), random);
}

void Simulation::advanceTo(Duration time)
{
    while (m_now < time) {
        step();
    }
}

void Simulation::advance(Duration time)
{
    advanceTo(m_now + time);
}

Duration Simulation::now() const
{
    return m_now;
}

void Simulation::crash(const std::string &name)
{
    controls.at(name).service.reset();
    controls.at(name).disk->crash(random);
    m_frozen.erase(name);
    m_queuedForFrozen.erase(name);
}

void Simulation::restart(const std::string &name)
{
    if (controls.at(name).service == nullptr) {
        start(name);
    }
}

void Simulation::loseDisk(const std::string &name)
{
    crash(name);
    controls.at(name).disk = std::make_shared<MemoryDisk>(Incarnation(random.next() | 1U));
    controls.at(name).hasIntactStore = false;
}

void Simulation::freeze(const std::string &name)
{
    m_frozen.insert(name);
}

void Simulation::thaw(const std::string &name)
{
    m_frozen.erase(name);
    for (const Message &message : std::exchange(m_queuedForFrozen[name], {})) {
        deliver(message);
    }
}

void Simulation::cutOneWay(const std::string &from, const std::string &to)
{
    m_cutLinks.emplace(from, to);
}

void Simulation::cut(const std::string &a, const std::string &b)
{
    cutOneWay(a, b);
    cutOneWay(b, a);
}

void Simulation::isolate(const std::string &name)
{
    for (const auto &[other, control] : controls) {
        cut(name, other);
    }
    for (const auto &[other, entry] : entries) {
        cut(name, other);
    }
}

void Simulation::healNetwork()
{
    m_cutLinks.clear();
}

void Simulation::restartEntry(const std::string &name)
{
    ++startCounts[name];
    m_clockOffsets[name] = Duration(static_cast<Duration::rep>(random.below(1000000000)));
    entries[name] = std::make_unique<FeedClient>(peers(), random);
}

void Simulation::proposeAt(const std::string &control, const std::string &tag, const Command &command)
{
    if (isRunning(control)) {
        m_tags[{ control, controls.at(control).service->propose(command, timeAt(control)) }] = tag;
    }
}

void Simulation::proposeRemotely(const std::string &tag, const Command &command, Duration timeout)
{
    const Instant time = timeAt(Operator);
    m_tags[{ Operator, operatorClient->propose(command, time + timeout, time) }] = tag;
}

std::string Simulation::leader() const
{
    std::string name;
    Term term;
    for (const auto &[it, control] : controls) {
        if (isRunning(it) && status(it).isLeader && status(it).term > term) {
            name = it;
            term = status(it).term;
        }
    }
    return name;
}

ControlStatus Simulation::status(const std::string &control) const
{
    return controls.at(control).service->status(timeAt(control));
}

Instant Simulation::timeAt(const std::string &name) const
{
    const auto offset = m_clockOffsets.find(name);
    return Instant(m_now + (offset == m_clockOffsets.end() ? Duration {} : offset->second));
}

bool Simulation::isRunning(const std::string &name) const
{
    const auto it = controls.find(name);
    return !m_frozen.contains(name) && (it == controls.end() || it->second.service != nullptr);
}

void Simulation::start(const std::string &name)
{
    ++startCounts[name];
    m_clockOffsets[name] = Duration(static_cast<Duration::rep>(random.below(1000000000)));
    ControlSettings settings;
    settings.instance = InstanceId(name);
    settings.peers = peers();
    settings.bootstrap = true;
    settings.entriesPerSnapshot = m_entriesPerSnapshot;
    Control &control = controls.at(name);
    control.service = ControlService::open(settings, std::make_unique<MemoryLogStore>(control.disk), random, timeAt(name)).value();
}

void Simulation::step()
{
    m_now += StepLength;
    deliverDue();
    for (auto &[name, control] : controls) {
        if (isRunning(name)) {
            control.service->tick(timeAt(name));
        }
    }
    for (auto &[name, entry] : entries) {
        if (isRunning(name)) {
            entry->tick(timeAt(name));
            send(name, entry->takeOutgoing());
        }
    }
    operatorClient->tick(timeAt(Operator));
    send(Operator, operatorClient->takeOutgoing());
    if (onStep) {
        onStep(); // before the syncs, so that a crash in onStep loses writes
    }
    for (auto &[name, control] : controls) {
        if (isRunning(name)) {
            collectOutput(name);
        }
    }
    for (const FinishedProposal &it : operatorClient->takeFinished()) {
        recordResult(Operator, it);
    }
}

void Simulation::recordResult(const std::string &name, const FinishedProposal &finished)
{
    const std::string &tag = m_tags.at({ name, finished.ticket });
    results[tag].push_back(finished.result);
    resultOrder.emplace_back(tag, finished.result);
}

void Simulation::collectOutput(const std::string &name)
{
    Control &control = controls.at(name);
    send(name, control.service->takeOutgoing());
    for (const FinishedProposal &it : control.service->takeFinished()) {
        recordResult(name, it);
    }
    if (!control.hasIntactStore) {
        control.hasIntactStore = status(name).isVoter;
    }
}

void Simulation::deliverDue()
{
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const Message message = m_messages.extract(m_messages.begin()).mapped();
        if (m_frozen.contains(message.to)) {
            m_queuedForFrozen[message.to].push_back(message);
        } else {
            deliver(message);
        }
    }
}

void Simulation::deliver(const Message &message)
{
    const Instant time = timeAt(message.to);
    bool isValid = true;
    if (controls.contains(message.to) && isRunning(message.to)) {
        isValid = controls.at(message.to).service->receive(message.envelope, time).has_value();
    } else if (entries.contains(message.to)) {
        const Result<bool> changed = entries.at(message.to)->receive(message.envelope, time);
        isValid = changed.has_value();
        tableChanges[message.to] += changed && *changed ? 1 : 0;
    } else if (message.to == Operator) {
        isValid = operatorClient->receive(message.envelope, time).has_value();
    }
    if (!isValid) {
        throw std::logic_error("a message cannot be decoded");
    }
}

void Simulation::send(const std::string &from, std::vector<Outgoing> outgoing)
{
    for (Outgoing &it : outgoing) {
        ++messageCount;
        byteCount += it.payload.size();
        if (m_cutLinks.contains({ from, it.address }) || random.unit() < network.lossRate) {
            continue;
        }
        const Wire::Envelope envelope { InstanceId(from), from, Incarnation(1), it.correlation, it.kind, std::move(it.payload) };
        const int copies = random.unit() < network.duplicateRate ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            const auto spread = static_cast<std::uint64_t>((network.maxDelay - network.minDelay).count());
            const Duration delay = network.minDelay + Duration(static_cast<Duration::rep>(random.below(spread + 1)));
            m_messages.emplace(m_now + delay, Message { from, it.address, envelope });
        }
    }
}

std::vector<ControlPeer> Simulation::peers() const
{
    std::vector<ControlPeer> all;
    for (std::size_t n = 1; n <= m_controlCount; ++n) {
        const std::string name = "c" + std::to_string(n);
        all.push_back(ControlPeer { InstanceId(name), name });
    }
    return all;
}

ContractChange putChange(const std::string &customer, std::uint64_t expected, const std::string &id)
{
    ContractChange change;
    change.id = ChangeId(id);
    change.customer = CustomerId(customer);
    change.expected = Version(expected);
    change.contract.customer = change.customer;
    change.contract.ratePerSecond = static_cast<std::uint32_t>(std::hash<std::string>()(id));
    return change;
}

ContractChange withdrawChange(const std::string &customer, std::uint64_t expected, const std::string &id)
{
    ContractChange change;
    change.kind = ContractChange::Kind::Withdraw;
    change.id = ChangeId(id);
    change.customer = CustomerId(customer);
    change.expected = Version(expected);
    return change;
}

}
