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
    /// Refused attempts per 1,000 calls; above that, refused servers are left alone for longer. A low value saves server time;
    /// 0 stands for no limit and keeps the tail of the latency short near saturation.
    std::uint32_t refusalPermille = 0;
    /// Compares waits with those of other entries, so that near saturation the longest waits get the free slots.
    bool exchangesWaits = true;
    /// Calls that may wait for a server of one service.
    std::size_t queueLimit = 1000;
};

/// What the engine of one entry has done since it was made.
struct EngineCounters {
    std::uint64_t firstAttempts = 0;
    /// Attempts after one that failed.
    std::uint64_t retries = 0;
    /// Attempts after a documented refusal; a refusal costs one round trip and no work.
    std::uint64_t placements = 0;
    std::uint64_t hedges = 0;
    std::uint64_t cancels = 0;
    /// Calls that waited for a share of their customer's limit.
    std::uint64_t shareWaits = 0;
};

/// The deterministic core of an entry. It decides where and when calls run, and has no sockets, threads or clock.
///
/// The shell submits calls, executes the effects in their order and reports the end of every attempt, also of cancelled
/// ones. It keeps the answers of a call until FinishCall names the one to pass on. It calls tick() at nextWakeUp().
class CallEngine
{
public:
    /// The referenced objects must outlive the engine. An unknown strategy name falls back to the default.
    CallEngine(EngineConfig config, const ContractView &contracts, AdmissionControl &admission, ActionKeys &keys,
               const FreshnessView &freshness, RandomSource &random);
    ~CallEngine();
    CallEngine(const CallEngine &) = delete;
    CallEngine &operator=(const CallEngine &) = delete;

    /// Adds a server or replaces its record. Draining servers get no further work.
    void upsertServer(const ServerRecord &record, Instant now);
    /// Removes a server; its attempts in flight go on.
    void removeServer(const ServerId &server);
    /// Takes the result of a probe that ended at \p at; see ServerTable::recordProbe().
    bool recordProbe(const ServerId &server, bool isHealthy, Instant at);

    /// Takes a call. FinishCall may be among the effects at once.
    CallId submit(const CallRequest &request, Instant now, std::vector<Effect> &effects);
    /// Takes the end of an attempt. Reports for unknown attempts are ignored.
    void report(const AttemptReport &report, Instant now, std::vector<Effect> &effects);
    /// Admits calls that wait for a share of their customer's limit; call it when a share has come into force.
    void admitWaitingCalls(Instant now, std::vector<Effect> &effects);
    /// The caller went away. A lookup is cancelled and finished at once. An action in flight is not cancelled, so that its
    /// key gets the true outcome; FinishCall then follows at its end.
    void abandon(CallId call, Instant now, std::vector<Effect> &effects);
    /// Runs what is due: deadlines, hedges, waiting calls and the systems over the server table.
    void tick(Instant now, std::vector<Effect> &effects);
    /// When tick() has something to do; nothing when only an event from outside can change that.
    std::optional<Instant> nextWakeUp(Instant now) const;
    /// Removes timers of ended calls until the first timer belongs to a call, so that nextWakeUp() names no time for them.
    void dropEndedTimers();

    /// The waits to tell the other entries now: at most one set per WaitExchange::ReportInterval, and none while slots are
    /// found at once. A lost set costs only time.
    std::vector<WaitReport> collectWaitReports(Instant now);
    /// Takes the waits of another entry.
    void receiveWaitReports(const InstanceId &sender, const std::vector<WaitReport> &reports, Instant now);

    /// From now on every submitted call is refused with EntryStopping; accepted calls go on.
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
        /// Attempts in flight; an empty place is AttemptId(0).
        std::array<AttemptId, MaxAttemptsInFlight> inFlight {};
        /// The last answer with a server error, passed on when nothing better comes.
        std::optional<AttemptId> serverErrorAttempt;
        ResultCode unknownCode = ResultCode::OutcomeUnknown;
        std::uint8_t retries = 0;
        bool wasDispatched = false;
        bool isWaiting = false;
        /// False while the call waits for a share of its customer's limit.
        bool isAdmitted = false;
        /// Why the call was not admitted at once.
        ResultCode admissionRefusal = ResultCode::Ok;
        /// An attempt ended without proof that it was not run.
        bool mayHaveRun = false;
        bool isAbandoned = false;
    };

    struct Attempt {
        CallId call;
        RowIndex row = 0;
        bool isHedge = false;
        /// How long the call had waited when the attempt was sent.
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
    /// Calls that wait for a share, in the order of their arrival; also some that have ended.
    std::deque<CallId> m_waitingForShare;
    CallId m_lastCall;
    AttemptId m_lastAttempt;
    EngineCounters m_counters;
    Instant m_nextWaitReports = Instant::min();
    bool m_isStopping = false;
};

}
