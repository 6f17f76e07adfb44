#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "entry/calltypes.h"
#include "entry/deadlinequeue.h"
#include "entry/engineinterfaces.h"
#include "entry/resetdeadlines.h"
#include "entry/routingstrategy.h"
#include "entry/serverrecord.h"
#include "entry/servertable.h"
#include "entry/tokenbudget.h"
#include "entry/waitexchange.h"

namespace Galenabarrow::Entry
{

/// Settings of a call engine.
struct EngineConfig {
    /// The data centre of this entry.
    DataCentreId dataCentre;
    /// A name of routingStrategyNames().
    std::string strategy = std::string(DefaultRoutingStrategy);
    RoutingCosts costs;
    /// Budget of refused attempts per 1,000 calls. When it is used up, the backoff after a refusal is longer. A low value saves
    /// server time; 0 means no limit and keeps the tail latency low near saturation.
    std::uint32_t refusalPermille = 0;
    /// Exchanges queue waits with other entries, so that near saturation free slots go to the calls that have waited longest.
    bool exchangesWaits = true;
    /// Maximum number of calls queued per service; also the maximum number of calls that wait for a share of their customer's limit.
    std::size_t queueLimit = 1000;
};

/// Totals of one engine since its construction.
struct EngineCounters {
    std::uint64_t firstAttempts = 0;
    /// Calls queued once more after a failed attempt.
    std::uint64_t retries = 0;
    /// Calls queued once more because a server refused them with its documented refusal, which costs a round trip but no work.
    std::uint64_t placements = 0;
    std::uint64_t hedges = 0;
    std::uint64_t cancels = 0;
    /// Calls that waited for a larger share of their customer's limit.
    std::uint64_t shareWaits = 0;
};

/// The deterministic core of an entry. It decides where and when calls run, and uses no sockets, threads or clock.
///
/// The I/O layer submits calls, executes the returned effects in order and reports the end of every attempt, including
/// cancelled ones. It retains the answers of a call until FinishCall names the one to return to the caller, and calls tick()
/// at the time given by nextWakeUp().
class CallEngine
{
public:
    /// The referenced objects must outlive the engine. An unknown strategy name falls back to the default.
    CallEngine(EngineConfig config, const ContractView &contracts, AdmissionControl &admission, ActionKeys &keys,
               const FreshnessView &freshness, RandomSource &random);
    ~CallEngine();
    CallEngine(const CallEngine &) = delete;
    CallEngine &operator=(const CallEngine &) = delete;

    /// Adds a server or replaces its record. Draining servers are sent no further attempts.
    void upsertServer(const ServerRecord &record, Instant now);
    /// Removes a server; its attempts in flight continue.
    void removeServer(const ServerId &server);
    /// Records the result of a probe that ended at \p at; see ServerTable::recordProbe().
    bool recordProbe(const ServerId &server, bool isHealthy, Instant at);

    /// Accepts or refuses a call. A refused call is finished at once, with FinishCall among the effects. A call that waits for a
    /// larger share of its customer's limit can still be refused later.
    CallId submit(const CallRequest &request, Instant now, std::vector<Effect> &effects);
    /// Processes the end of an attempt. Reports for unknown attempts are ignored.
    void report(const AttemptReport &report, Instant now, std::vector<Effect> &effects);
    /// Admits the calls waiting for a share of their customer's limit, as far as the limits allow. To be called whenever a new
    /// share has come into force.
    void admitWaitingCalls(Instant now, std::vector<Effect> &effects);
    /// Reports that the caller has disconnected. A lookup is cancelled and finished at once, as is an action that is still
    /// queued. An action in flight is not cancelled, so that the true outcome is stored for its key; its FinishCall follows when
    /// it ends.
    void abandon(CallId call, Instant now, std::vector<Effect> &effects);
    /// Runs everything that is due: deadlines, hedges, queued calls and the periodic work of the server table.
    void tick(Instant now, std::vector<Effect> &effects);
    /// The time of the next tick(); nullopt when only an external event can create work.
    std::optional<Instant> nextWakeUp(Instant now) const;
    /// Removes timers of ended calls from the front of the timer queue, so that nextWakeUp() does not return their times.
    void dropEndedTimers();

    /// The waits to send to the other entries now: at most one set per WaitExchange::ReportInterval, and none while calls find
    /// a free slot at once. Loss of a set only delays the exchange.
    std::vector<WaitReport> collectWaitReports(Instant now);
    /// Processes the waits reported by another entry.
    void receiveWaitReports(const InstanceId &sender, const std::vector<WaitReport> &reports, Instant now);

    /// Refuses every further call whose deadline lies after \p end, as this entry ends then, with EntryStopping.
    void rejectBeyond(Instant end);
    /// Refuses every further call with EntryStopping; accepted calls continue.
    void stopAccepting();

    std::size_t callCount() const;
    std::size_t waitingCount() const;
    const EngineCounters &counters() const;
    const ServerTable &servers() const;

private:
    static constexpr std::size_t MaxAttemptsInFlight = 2;

    struct ServiceState;

    struct Call {
        CallRequest request;
        CallTerms terms;
        ServiceState *service = nullptr;
        Instant submittedAt {};
        /// Attempts in flight; AttemptId(0) marks an unused element.
        std::array<AttemptId, MaxAttemptsInFlight> inFlight {};
        /// The last attempt answered with a server error. Its answer is returned when no other attempt succeeds.
        std::optional<AttemptId> serverErrorAttempt;
        /// The result code if the call ends with an unknown outcome.
        ResultCode unknownCode = ResultCode::OutcomeUnknown;
        std::uint8_t retries = 0;
        bool wasDispatched = false;
        bool isWaiting = false;
        /// False while the call waits for a larger share of its customer's limit.
        bool isAdmitted = false;
        /// Why the call was not admitted when it was submitted.
        ResultCode admissionRefusal = ResultCode::Ok;
        /// True when an attempt ended without proof that the server did not run it.
        bool mayHaveRun = false;
        bool isAbandoned = false;
    };

    struct Attempt {
        CallId call;
        RowIndex row = 0;
        bool isHedge = false;
        /// Time from the submission of the call to the sending of this attempt.
        Duration waited {};
    };

    enum class TimerKind : std::uint8_t { Deadline, Hedge, Admission };
    struct Timer {
        Instant at {};
        CallId call;
        TimerKind kind = TimerKind::Deadline;
        bool operator>(const Timer &other) const;
    };

    using Effects = std::vector<Effect>;
    using CallMap = std::unordered_map<CallId, Call>;

    ServiceState &serviceState(const ServiceId &service);
    std::optional<ResultCode> refusalBeforeAdmission(const CallRequest &request, Instant now) const;
    void refuse(CallId id, const CallRequest &request, ResultCode code, Instant now, Effects &effects);

    CallMap::iterator addCall(CallId id, const CallRequest &request, const CallTerms &terms, ServiceState &service, Instant now);
    void waitForShare(CallMap::iterator it, ResultCode refusal, Instant until);
    void dropEndedShareWaits();
    void callAdmitted(CallMap::iterator it, Instant now, Effects &effects);
    void enqueue(CallId id, Call &call);
    void dispatchQueued(ServiceState &service, Instant now, Effects &effects);
    bool dispatchNextQueued(ServiceState &service, Instant now, Effects &effects);
    double backoffFactor(ServiceState &service, Instant now) const;
    void finishAllWaiting(ServiceState &service, ResultCode code, Instant now, Effects &effects);
    void dispatch(CallId id, Call &call, RowIndex row, bool isHedge, Instant now, Effects &effects);
    void hedge(CallId id, Call &call, Instant now, Effects &effects);
    void timerFired(TimerKind kind, CallMap::iterator it, Instant now, Effects &effects);
    void armHedge(CallId id, const Call &call, Duration delay, Instant now);

    void attemptEnded(CallMap::iterator it, const Attempt &attempt, const AttemptReport &report, Instant now, Effects &effects);
    void requeueRefused(CallMap::iterator it, Instant now, Effects &effects);
    void retryOrGiveUp(CallMap::iterator it, ResultCode code, Instant now, Effects &effects);
    void giveUp(CallMap::iterator it, ResultCode code, Instant now, Effects &effects);
    void finish(CallMap::iterator it, Outcome outcome, ResultCode code, AttemptId winner, Instant now, Effects &effects);

    EngineConfig m_config;
    const ContractView &m_contracts;
    AdmissionControl &m_admission;
    ActionKeys &m_keys;
    const FreshnessView &m_freshness;
    RandomSource &m_random;

    ServerTable m_servers;
    ResetDeadlines m_resets;
    std::unordered_map<ServiceId, std::unique_ptr<ServiceState>> m_services;
    CallMap m_calls;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<RowIndex> m_candidates;
    /// Calls waiting for a share, in order of submission. May contain calls that have ended; these are skipped.
    std::deque<CallId> m_waitingForShare;
    CallId m_lastCall;
    AttemptId m_lastAttempt;
    EngineCounters m_counters;
    Instant m_nextWaitReports = Instant::min();
    /// Set while the entry stops.
    std::optional<Instant> m_lastDeadline;
    bool m_isStopping = false;
};

}
