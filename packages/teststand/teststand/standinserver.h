#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "base/random.h"
#include "teststand/announcer.h"

namespace Galenabarrow::Teststand
{

/// Distribution of the service times of calls.
enum class ServiceTime : std::uint8_t { Fixed, Exponential };

struct StandinConfig {
    std::string address = "127.0.0.1:0";
    std::string server;
    std::string service;
    std::string dataCentre;
    std::uint32_t slots = 3;
    std::uint64_t serviceTimeUs = 2000;
    /// Service time of a probe.
    std::uint64_t probeTimeUs = 0;
    ServiceTime distribution = ServiceTime::Exponential;
    /// For this time after the start, the server announces a cold start and calls take three times as long.
    std::uint64_t coldStartMs = 0;
    std::uint64_t seed = 1;
    std::vector<std::string> entries;
    std::uint32_t announceIntervalMs = 1000;
};

/// How the server handles a call. The header of a call takes precedence over the behaviour set through /standin/control.
enum class Behaviour : std::uint8_t {
    Normal,
    /// Takes longer by the given time.
    Slow,
    /// Answers with status 500 without any service time.
    Failing,
    /// Runs the call and closes the connection in the middle of the response body.
    CutShort,
    /// As CutShort, with a chunked body.
    CutChunked,
    /// Runs the call and answers with a body larger than the limit of the entries.
    Oversized,
    /// On a reused connection, runs the call and closes the connection without an answer; on a new one, as Normal.
    CloseReused,
    /// Sends the answer one byte at a time, at intervals of 20 ms.
    Drip,
};

/// A backend server for tests, with a limited number of slots and fault injection. Paths: /standin/control (POST {"behaviour",
/// "permille", "milliseconds", "probes"}), /standin/counts, /galenabarrow/cancel/<attempt>, /galenabarrow/probe; requests to all
/// others are calls. With "probes" set, the behaviours slow and failing also apply to probes.
class StandinServer
{
public:
    explicit StandinServer(StandinConfig config);
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    std::string address() const;
    /// The JSON text of /standin/counts.
    std::string counts();
    /// Announces that the server is leaving and refuses new calls. Waits for the time in which entries may still send calls, and
    /// then until the calls in flight have ended.
    void drain();

private:
    class Handler;
    class Factory;
    struct InjectedBehaviour {
        Behaviour behaviour = Behaviour::Normal;
        std::uint64_t milliseconds = 0;
    };

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void handleCall(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void handleControl(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void handleCancel(const std::string &attempt, Poco::Net::HTTPServerResponse &response);
    /// Answers a probe. A probe occupies no slot and is answered by its deadline.
    void handleProbe(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    bool tryAcquireSlot(Poco::Net::HTTPServerResponse &response);
    void refuse(Poco::Net::HTTPServerResponse &response, const char *reason);
    InjectedBehaviour chooseBehaviour(const Poco::Net::HTTPServerRequest &request);
    void simulateWork(const InjectedBehaviour &injected, const std::string &attempt);
    void sendResponse(const InjectedBehaviour &injected, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                      bool isReused);
    std::string load();
    Announcement announcement();
    bool isCold() const;

    StandinConfig m_config;
    Incarnation m_incarnation;
    std::int64_t m_startedUs;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    SeededRandom m_random;
    /// Behaviour set through /standin/control, and how many of 1,000 calls it applies to on average.
    InjectedBehaviour m_injected;
    std::uint32_t m_injectedPermille = 0;
    bool m_appliesToProbes = false;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_maxInFlight = 0;
    /// Number of calls whose response has not been written completely.
    std::uint32_t m_openRequests = 0;
    bool m_leaving = false;
    std::map<std::string, std::uint64_t> m_executions;
    std::uint64_t m_total = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_probes = 0;
    std::int64_t m_probeUs = 0;
    std::set<std::string> m_runningAttempts;
    std::set<std::string> m_cancelRequests;
    std::unique_ptr<Poco::Net::HTTPServer> m_http;
    std::unique_ptr<Announcer> m_announcer;
};

}
