#include "control/feedclient.h"

#include <algorithm>
#include <cassert>

#include "control/codecs.h"

namespace Galenabarrow::Control
{

namespace
{

constexpr Duration PreferredExclusion = std::chrono::seconds(3);

}

FeedClient::FeedClient(std::vector<ControlPeer> controls, RandomSource &random, FeedTiming timing)
    : m_controls(std::move(controls))
    , m_random(random)
    , m_timing(timing)
    , m_lastCorrelation(random.next())
{
    assert(!m_controls.empty());
    m_current = static_cast<std::size_t>(m_random.below(m_controls.size()));
    m_preferred = m_current;
}

void FeedClient::tick(Instant now)
{
    if (m_request && now - m_request->sentAt >= m_timing.timeout) {
        m_request.reset();
        switchControl(now);
        m_nextRequest = now;
    }
    if (!m_request && now >= m_nextRequest) {
        sendRequest(now);
    }
}

Result<bool> FeedClient::receive(const Wire::Envelope &envelope, Instant now)
{
    const bool isAwaited = m_request && m_request->correlation == envelope.correlation;
    if (envelope.kind != Wire::MessageKind::FeedReply || !isAwaited) {
        return false;
    }
    const Result<FeedReply> reply = decodeFeedReply(envelope.payload);
    if (!reply) {
        return tl::make_unexpected(reply.error());
    }
    if (reply->after != m_request->after) {
        return false;
    }
    const Instant sentAt = m_request->sentAt;
    m_request.reset();
    m_term = std::max(m_term, reply->term);
    const bool isChanged = applyChanges(*reply);
    advanceCursor(*reply);
    if (reply->stamp) {
        applyStamp(*reply->stamp, sentAt);
    }
    if (!reply->stamp || reply->stamp->age > m_timing.staleAge) {
        switchControl(now);
    }
    m_nextRequest = reply->more ? now : sentAt + m_timing.interval;
    if (reply->more) {
        sendRequest(now);
    }
    return isChanged;
}

std::vector<Outgoing> FeedClient::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

bool FeedClient::isFenced(Instant now) const
{
    const std::optional<Duration> age = freshnessAge(now);
    return !age || *age > m_timing.freshnessLimit;
}

std::optional<Duration> FeedClient::freshnessAge(Instant now) const
{
    if (!m_reachedConfirmation) {
        return std::nullopt;
    }
    return now - m_reachedConfirmation->madeAt;
}

bool FeedClient::hasReachedStamp() const
{
    return m_newestConfirmation && m_tableIndex >= m_newestConfirmation->index;
}

const FeedClient::Table &FeedClient::contracts() const
{
    return m_table;
}

const Contract *FeedClient::find(const CustomerId &customer) const
{
    const auto it = m_table.find(customer);
    return it == m_table.end() || it->second.withdrawn ? nullptr : &it->second.contract;
}

const std::vector<RegisteredEntry> &FeedClient::registeredEntries() const
{
    return m_entries;
}

LogIndex FeedClient::tableIndex() const
{
    return m_tableIndex;
}

Term FeedClient::term() const
{
    return m_term;
}

const ControlPeer &FeedClient::control() const
{
    return m_controls[m_current];
}

void FeedClient::sendRequest(Instant now)
{
    if (m_current != m_preferred && now - m_leftPreferredAt >= m_timing.returnAfter) {
        m_current = m_preferred;
    }
    ++m_lastCorrelation;
    m_request = Request { m_lastCorrelation, m_cursor, now };
    m_outgoing.push_back(
        Outgoing { control().address, Wire::MessageKind::FeedRequest, m_lastCorrelation, encode(FeedRequest { m_cursor }) });
}

// Switches to another control instance at random. The preferred instance is excluded for a short time after it was left: when it
// and one more instance have failed, alternating between the two would cause several timeouts in a row and fence the entry.
void FeedClient::switchControl(Instant now)
{
    if (m_current == m_preferred) {
        m_leftPreferredAt = now;
    }
    const bool isPreferredExcluded = m_controls.size() > 2 && now - m_leftPreferredAt < PreferredExclusion;
    std::vector<std::size_t> others;
    for (std::size_t n = 0; n < m_controls.size(); ++n) {
        if (n != m_current && !(n == m_preferred && isPreferredExcluded)) {
            others.push_back(n);
        }
    }
    if (!others.empty()) {
        m_current = others[m_random.below(others.size())];
    }
}

bool FeedClient::applyChanges(const FeedReply &reply)
{
    bool isChanged = false;
    for (const ContractRecord &record : reply.contracts) {
        ContractRecord &row = m_table[record.contract.customer];
        // A control instance that lags must not replace a version by an older one.
        if (record.contract.version > row.contract.version) {
            row = record;
            isChanged = true;
        }
    }
    if (reply.entries && reply.upTo >= m_entriesIndex) {
        m_entriesIndex = reply.upTo;
        isChanged = isChanged || m_entries != *reply.entries;
        m_entries = *reply.entries;
    }
    return isChanged;
}

void FeedClient::advanceCursor(const FeedReply &reply)
{
    if (reply.more) {
        m_cursor = std::max(m_cursor, reply.cursor);
        m_passTarget = std::max(m_passTarget, reply.upTo);
    } else if (reply.upTo >= m_passTarget) {
        m_cursor = reply.upTo;
        m_passTarget = reply.upTo;
        m_tableIndex = reply.upTo;
    }
    if (m_newestConfirmation && m_tableIndex >= m_newestConfirmation->index) {
        m_reachedConfirmation = m_newestConfirmation;
    }
}

void FeedClient::applyStamp(const FreshnessStamp &stamp, Instant sentAt)
{
    // The stamp was created after the request was sent, so counting its age from that time cannot make it look too young.
    const Confirmation confirmation { stamp.index, sentAt - stamp.age };
    if (!m_newestConfirmation || confirmation.madeAt > m_newestConfirmation->madeAt) {
        m_newestConfirmation = confirmation;
    }
    const bool isNewer = !m_reachedConfirmation || confirmation.madeAt > m_reachedConfirmation->madeAt;
    if (isNewer && m_tableIndex >= confirmation.index) {
        m_reachedConfirmation = confirmation;
    }
}

}
