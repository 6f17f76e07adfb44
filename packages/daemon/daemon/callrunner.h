#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "daemon/callcontent.h"
#include "daemon/upstreamclient.h"
#include "daemon/wakeuptimer.h"
#include "entry/callengine.h"

namespace Galenabarrow::Daemon
{

/// Executes the effects of the call engine. The thread that calls run() executes the attempts of its call; hedges, which
/// start while that thread is busy, are executed by a few workers.
class CallRunner
{
public:
    /// The address of a server as "host:port"; called under the lock.
    using AddressOf = std::function<std::optional<std::string>(const ServerId &)>;

    /// \p lock guards \p engine and everything that it refers to. \p freshness is checked a second time right before each
    /// attempt is sent, because the process may have been frozen since the engine checked it. \p scope is the prefix of
    /// the attempt ids that servers receive and is unique to this process. \p wakeUp is notified when a call sets a
    /// timer, so that the thread that calls tick() can sleep until nextTick().
    CallRunner(Entry::CallEngine &engine, const Entry::FreshnessView &freshness, std::mutex &lock, UpstreamClient &client,
               AddressOf addressOf, std::string scope, WakeUpTimer &wakeUp, const Clock &clock);
    ~CallRunner();
    CallRunner(const CallRunner &) = delete;
    CallRunner &operator=(const CallRunner &) = delete;

    /// Runs a call and blocks until it has ended. The call is abandoned when \p caller closes the connection.
    CallEnd run(const Entry::CallRequest &request, CallContent content, const Poco::Net::StreamSocket &caller);
    /// Runs the engine's tick and expires attempts whose deadline has passed; called on every tick without the lock.
    void tick(Instant now);
    /// Admits calls that waited for a share of their customer's limit, as far as the shares allow; with the lock held.
    void admitWaitingCalls(Instant now);
    /// The latest time of the next tick(); call it without the lock.
    Instant nextTick(Instant now);
    /// Abandons the calls whose callers have closed their connection; called a few times per second without the lock.
    void abandonDisconnectedCalls(Instant now);
    /// Calls that have not ended.
    std::size_t callsInProgress() const;
    /// Stops the workers; call it when no call is in progress.
    void stop();

private:
    struct Call {
        CallContent content;
        Poco::Net::StreamSocket caller;
        std::condition_variable wake;
        std::deque<Entry::DispatchAttempt> pending;
        bool isThreadBusy = false;
        bool isAbandoned = false;
        std::optional<Entry::FinishCall> finish;
        std::map<AttemptId, UpstreamResponse> responses;
        /// Why the last attempt that failed after the send failed; more specific than the engine's code.
        ResultCode lastFailure = ResultCode::Ok;
    };
    struct Attempt {
        Entry::DispatchAttempt dispatch;
        std::shared_ptr<Call> call;
        std::shared_ptr<ExchangeHandle> handle;
        std::string address;
    };

    /// With the lock held, as for apply(), applyOne() and queueCancellation().
    Instant nextEngineTick(Instant now);
    void apply(std::vector<Entry::Effect> &effects);
    void applyOne(const Entry::DispatchAttempt &dispatch);
    void applyOne(const Entry::CancelAttempt &cancel);
    void applyOne(const Entry::FinishCall &finish);
    void executeAttempt(AttemptId id);
    std::string attemptIdText(AttemptId id) const;
    UpstreamResponse exchange(const Attempt &attempt, bool isFenced);
    void report(AttemptId id, UpstreamResponse response, Duration elapsed);
    void queueCancellation(const Attempt &attempt);
    void runWorker();

    Entry::CallEngine &m_engine;
    const Entry::FreshnessView &m_freshness;
    std::mutex &m_lock;
    UpstreamClient &m_client;
    AddressOf m_addressOf;
    std::string m_scope;
    WakeUpTimer &m_wakeUp;
    const Clock &m_clock;
    std::unordered_map<CallId, std::shared_ptr<Call>> m_calls;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    struct Job {
        AttemptId attempt;
        /// Set for a cancellation that is sent to the server instead of an attempt.
        std::optional<UpstreamRequest> cancellation;
    };
    std::deque<Job> m_jobs;
    std::condition_variable m_jobAdded;
    bool m_stopping = false;
    std::vector<std::thread> m_workers;
};

}
