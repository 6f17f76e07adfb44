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

/// How the time that a call takes is distributed.
enum class ServiceTime : std::uint8_t { Fixed, Exponential };

struct StandinConfig {
    std::string address = "127.0.0.1:0";
    std::string server;
    std::string service;
    std::string dataCentre;
    std::uint32_t slots = 3;
    std::uint64_t serviceTimeUs = 2000;
    /// Time that a probe takes.
    std::uint64_t probeTimeUs = 0;
    ServiceTime distribution = ServiceTime::Exponential;
    /// For this time after the start the server says that it is cold, and calls take three times as long.
    std::uint64_t coldStartMs = 0;
    std::uint64_t seed = 1;
    std::vector<std::string> entries;
    std::uint32_t announceIntervalMs = 1000;
};

/// What the server does with a call. A call's own header counts first, then the share that was set on the control path.
enum class Behaviour : std::uint8_t {
    Normal,
    /// Takes the given time more.
    Slow,
    /// Answers 500 at once.
    Failing,
    /// Runs the call and closes within the body.
    CutShort,
    /// The same with a chunked body.
    CutChunked,
    /// Runs the call and answers with a body above the entries' limit.
    Oversized,
    /// Runs the call and closes without an answer when the connection was used before; otherwise Normal.
    CloseReused,
    /// Sends the answer a byte at a time, 20 ms apart.
    Drip,
};

/// A server with slots that misbehaves when told to. Paths: /standin/control (POST {"behaviour", "permille",
/// "milliseconds", "probes"}), /standin/counts, /galenabarrow/cancel/<attempt>, /galenabarrow/probe; all others are calls.
/// With "probes" set, the behaviours slow and failing apply to probes too.
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
    /// Announces that it is leaving, refuses new calls and waits for the ones in flight. Goes on refusing for the time in
    /// which entries may still send calls.
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
    /// Answers a probe; it holds no slot and ends by the deadline that it carries.
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
    InjectedBehaviour m_injected;
    std::uint32_t m_injectedPermille = 0;
    bool m_appliesToProbes = false;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_maxInFlight = 0;
    /// Requests whose response is not written yet.
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
