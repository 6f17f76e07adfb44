#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>

#include "base/log.h"
#include "coordination/quotacodec.h"
#include "net/eventloop.h"
#include "quota/quotagate.h"

namespace Galenabarrow::Gateway
{

/// The quotas of the client accounts at this entry, with the reports about them to the core. Without an account that has a limit
/// it sends nothing, and it has a timer only while there are counts to report.
class AccountQuotas
{
public:
    /// Sends the payload of a QuotaUsage message.
    using UsageSender = std::function<void(std::vector<std::uint8_t> payload)>;
    /// Time from the first count until it is reported, together with all counts until then.
    static constexpr Duration ReportDelay = std::chrono::milliseconds(100);
    /// A core instance is in contact with a quorum when its last confirmation is not older: four heartbeats of the leader.
    static constexpr Duration MaxConfirmationAge = std::chrono::milliseconds(1000);

    AccountQuotas(Net::EventLoop &loop, RandomSource &random);

    /// \p isConnected tells whether a message can be sent now; counts are kept until it can.
    void setSender(std::function<bool()> isConnected, UsageSender sender);
    void setConfig(const Routing::RoutingConfig &config);
    /// Time until a request of \p account may be admitted; absent when this one is admitted.
    std::optional<Duration> rejection(const AccountId &account);
    /// Returns an admitted request that was sent to no server, or that every server refused to run.
    void giveBack(const AccountId &account);
    /// Records an update of a core instance; \p confirmedAge as in Coordination::FeedUpdate.
    void recordUpdate(std::optional<Duration> confirmedAge, unsigned entryCount);
    /// Processes the payload of a QuotaFractions message.
    void receiveFractions(std::span<const std::uint8_t> payload);
    /// Metrics in the Prometheus text format; empty without an account that has a limit.
    std::string metrics() const;

private:
    void scheduleReport();
    void report();
    void logEvents();

    Net::EventLoop &m_loop;
    Log m_log;
    Quota::QuotaGate m_gate;
    Coordination::AccountTags m_tags;
    std::function<bool()> m_isConnected;
    UsageSender m_sender;
    bool m_isReportScheduled = false;
    /// Expires with this object; checked by the report timer.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}
