#pragma once

#include <map>
#include <vector>

#include "base/random.h"
#include "control/command.h"
#include "control/outgoing.h"

namespace Galenabarrow::Control
{

/// Identifies a proposal of one ProposalClient or ControlService.
using ProposalTicket = Id<struct ProposalTicketTag, std::uint64_t>;

/// A finished proposal.
struct FinishedProposal {
    ProposalTicket ticket;
    ProposalResult result;
};

/// The deterministic core that sends proposals to control and resends them with the same change id until they are
/// decided or their deadline has passed.
class ProposalClient
{
public:
    /// \p controls must not be empty; \p random is used only in the constructor. A proposal that is unanswered for
    /// \p resendAfter is resent to the next control instance.
    ProposalClient(std::vector<ControlPeer> controls, RandomSource &random, Duration resendAfter = std::chrono::milliseconds(1000));

    /// Sends \p command. Every proposal finishes once, at the latest at the first tick after \p deadline: with
    /// ChangeOutcomeUnknown when a copy may have reached the log, otherwise with the last rejection (NoQuorum, NotLeader).
    ProposalTicket propose(const Command &command, Instant deadline, Instant now);
    void tick(Instant now);
    /// Handles a ProposeReply; other kinds and replies to proposals that are not open are ignored. Fails with FrameMalformed.
    Result<void> receive(const Wire::Envelope &envelope, Instant now);

    std::vector<Outgoing> takeOutgoing();
    std::vector<FinishedProposal> takeFinished();
    /// Number of unfinished proposals.
    std::size_t openCount() const;

private:
    struct OpenProposal {
        std::vector<std::uint8_t> payload;
        Instant deadline {};
        Instant resendAt {};
        std::size_t control = 0;
        /// An unanswered copy may have reached the log.
        bool isUncertain = false;
        bool isAwaitingReply = false;
        ResultCode refusal = ResultCode::ChangeOutcomeUnknown;
    };
    void send(ProposalTicket ticket, OpenProposal &open, Instant now);
    void handleRefusal(OpenProposal &open, ResultCode code, Instant now);
    ResultCode finalCode(const OpenProposal &open) const;

    std::vector<ControlPeer> m_controls;
    Duration m_resendAfter;
    std::uint64_t m_lastTicket = 0;
    std::size_t m_preferred = 0;
    std::map<ProposalTicket, OpenProposal> m_open;
    std::vector<Outgoing> m_outgoing;
    std::vector<FinishedProposal> m_finished;
};

}
