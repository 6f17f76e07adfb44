#include "control/proposalclient.h"

#include <cassert>
#include <utility>

#include "control/codecs.h"

namespace Galenabarrow::Control
{

namespace
{
/// Delay before a rejected proposal is resent; an election takes about 1.5 s.
constexpr Duration RefusedResendDelay = std::chrono::milliseconds(200);

bool isDecided(ResultCode code)
{
    return code != ResultCode::NoQuorum && code != ResultCode::NotLeader && code != ResultCode::ChangeOutcomeUnknown;
}

}

ProposalClient::ProposalClient(std::vector<ControlPeer> controls, RandomSource &random, Duration resendAfter)
    : m_controls(std::move(controls))
    , m_resendAfter(resendAfter)
    , m_lastTicket(random.next())
{
    assert(!m_controls.empty());
    m_preferred = static_cast<std::size_t>(random.below(m_controls.size()));
}

ProposalTicket ProposalClient::propose(const Command &command, Instant deadline, Instant now)
{
    const ProposalTicket ticket(++m_lastTicket);
    OpenProposal &open = m_open[ticket];
    open.payload = encode(ProposeRequest { false, encode(command) });
    open.deadline = deadline;
    open.control = m_preferred;
    send(ticket, open, now);
    return ticket;
}

void ProposalClient::tick(Instant now)
{
    for (auto it = m_open.begin(); it != m_open.end();) {
        auto &[ticket, open] = *it;
        if (now >= open.deadline) {
            ProposalResult result;
            result.code = finalCode(open);
            m_finished.push_back(FinishedProposal { ticket, result });
            it = m_open.erase(it);
            continue;
        }
        if (now >= open.resendAt) {
            if (open.isAwaitingReply) {
                open.isUncertain = true;
                open.control = (open.control + 1) % m_controls.size();
            }
            send(ticket, open, now);
        }
        ++it;
    }
}

Result<void> ProposalClient::receive(const Wire::Envelope &envelope, Instant now)
{
    const auto it = m_open.find(ProposalTicket(envelope.correlation));
    if (envelope.kind != Wire::MessageKind::ProposeReply || it == m_open.end()) {
        return {};
    }
    const Result<ProposalResult> result = decodeProposalResult(envelope.payload);
    if (!result) {
        return tl::make_unexpected(result.error());
    }
    if (!isDecided(result->code)) {
        handleRefusal(it->second, result->code, now);
        return {};
    }
    m_preferred = it->second.control;
    m_finished.push_back(FinishedProposal { it->first, *result });
    m_open.erase(it);
    return {};
}

std::vector<Outgoing> ProposalClient::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

std::vector<FinishedProposal> ProposalClient::takeFinished()
{
    return std::exchange(m_finished, {});
}

std::size_t ProposalClient::openCount() const
{
    return m_open.size();
}

void ProposalClient::send(ProposalTicket ticket, OpenProposal &open, Instant now)
{
    open.isAwaitingReply = true;
    open.resendAt = now + m_resendAfter;
    m_outgoing.push_back(Outgoing { m_controls[open.control].address, Wire::MessageKind::ProposeRequest, ticket.value(), open.payload });
}

void ProposalClient::handleRefusal(OpenProposal &open, ResultCode code, Instant now)
{
    if (code == ResultCode::ChangeOutcomeUnknown) {
        open.isUncertain = true;
    } else {
        open.refusal = code;
    }
    if (open.isAwaitingReply) {
        open.isAwaitingReply = false;
        open.control = (open.control + 1) % m_controls.size();
        open.resendAt = now + RefusedResendDelay;
    }
}

ResultCode ProposalClient::finalCode(const OpenProposal &open) const
{
    const bool isUncertain = open.isUncertain || open.isAwaitingReply;
    return isUncertain ? ResultCode::ChangeOutcomeUnknown : open.refusal;
}

}
