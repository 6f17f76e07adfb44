#include "teststand/standinserver.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <sstream>
#include <string_view>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include "teststand/markedbody.h"

namespace Galenabarrow::Teststand
{

namespace
{

constexpr int ServerThreads = 256;
constexpr std::size_t MaxCountedKeys = 200'000;
constexpr std::size_t OversizedBody = (std::size_t { 8 } << 20U) + 1;
constexpr std::size_t DefaultBody = 64;
constexpr std::uint64_t ColdFactor = 3;
constexpr std::uint64_t Permille = 1000;
constexpr auto DripInterval = std::chrono::milliseconds(20);
// Entries may go on sending calls for about this long after the first announcement that the server is leaving.
constexpr auto LeavingGrace = std::chrono::milliseconds(2500);

constexpr auto BehaviourNames =
    std::to_array<std::string_view>({ "normal", "slow", "failing", "cut-short", "cut-chunked", "oversized", "close-reused", "drip" });

Behaviour behaviourNamed(std::string_view name)
{
    const auto it = std::find(BehaviourNames.begin(), BehaviourNames.end(), name);
    return it == BehaviourNames.end() ? Behaviour::Normal : static_cast<Behaviour>(it - BehaviourNames.begin());
}

std::int64_t nowUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string toText(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

void sendJson(Poco::Net::HTTPServerResponse &response, const std::string &body)
{
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

/// Writes raw bytes to the socket, bypassing POCO's response, and shuts the connection down. With an \p interval, the bytes are
/// sent one at a time.
void sendRawAndClose(Poco::Net::HTTPServerRequest &request, const std::string &bytes, std::chrono::milliseconds interval)
{
    Poco::Net::StreamSocket socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    const std::size_t step = interval.count() > 0 ? 1 : std::max<std::size_t>(bytes.size(), 1);
    for (std::size_t sent = 0; sent < bytes.size(); sent += step) {
        socket.sendBytes(bytes.data() + sent, static_cast<int>(std::min(step, bytes.size() - sent)));
        std::this_thread::sleep_for(interval);
    }
    socket.shutdown();
}

}

class StandinServer::Handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(StandinServer &server)
        : m_server(server)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        m_server.handle(request, response);
    }

private:
    StandinServer &m_server;
};

class StandinServer::Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(StandinServer &server)
        : m_server(server)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new Handler(m_server);
    }

private:
    StandinServer &m_server;
};

StandinServer::StandinServer(StandinConfig config)
    : m_config(std::move(config))
    , m_incarnation(makeIncarnation())
    , m_startedUs(nowUs())
    , m_random(m_config.seed)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setMaxThreads(ServerThreads);
    params->setMaxQueued(ServerThreads);
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(m_config.address), true);
    socket.listen(ServerThreads);
    m_http = std::make_unique<Poco::Net::HTTPServer>(new Factory(*this), socket, params);
    m_http->start();
    if (!m_config.entries.empty()) {
        m_announcer = std::make_unique<Announcer>(m_config.entries, m_config.announceIntervalMs, [this] { return announcement(); });
    }
}

StandinServer::~StandinServer()
{
    m_announcer.reset();
    m_http->stopAll(true);
    m_http.reset();
}

std::string StandinServer::address() const
{
    return m_http->socket().address().toString();
}

void StandinServer::drain()
{
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
    }
    if (m_announcer) {
        m_announcer->announceNow();
    }
    std::this_thread::sleep_for(LeavingGrace);
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_openRequests == 0; });
}

void StandinServer::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    static const std::string CancelPath = "/galenabarrow/cancel/";
    const std::string &uri = request.getURI();
    if (uri == "/standin/control") {
        handleControl(request, response);
    } else if (uri == "/standin/counts") {
        sendJson(response, counts());
    } else if (uri.compare(0, CancelPath.size(), CancelPath) == 0) {
        handleCancel(uri.substr(CancelPath.size()), response);
    } else if (uri == "/galenabarrow/probe") {
        handleProbe(request, response);
    } else {
        std::unique_lock lock(m_mutex);
        ++m_openRequests;
        lock.unlock();
        handleCall(request, response);
        lock.lock();
        --m_openRequests;
        m_changed.notify_all();
    }
}

void StandinServer::handleCall(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    auto &session = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).session();
    const bool isReused = !session.sessionData().empty();
    session.attachSessionData(true);
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    if (!tryAcquireSlot(response)) {
        return;
    }
    const std::string attempt = request.get("Galenabarrow-Attempt-Id", "");
    {
        const std::lock_guard lock(m_mutex);
        ++m_total;
        const std::string key = request.get("Galenabarrow-Action-Key", "");
        if (!key.empty() && m_executions.size() < MaxCountedKeys) {
            ++m_executions[key];
        }
        m_runningAttempts.insert(attempt);
    }
    const InjectedBehaviour injected = chooseBehaviour(request);
    simulateWork(injected, attempt);
    {
        const std::lock_guard lock(m_mutex);
        m_runningAttempts.erase(attempt);
        m_cancelRequests.erase(attempt);
        --m_inFlight;
    }
    m_changed.notify_all();
    sendResponse(injected, request, response, isReused);
}

void StandinServer::handleProbe(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const std::int64_t start = nowUs();
    InjectedBehaviour injected;
    {
        const std::lock_guard lock(m_mutex);
        ++m_probes;
        if (m_appliesToProbes && m_random.below(Permille) < m_injectedPermille) {
            injected = m_injected;
        }
    }
    auto time = std::chrono::microseconds(m_config.probeTimeUs);
    if (injected.behaviour == Behaviour::Slow) {
        time += std::chrono::milliseconds(injected.milliseconds);
    }
    const std::string deadline = request.get("Galenabarrow-Deadline-Ms", "");
    if (!deadline.empty()) {
        time = std::min<std::chrono::microseconds>(time, std::chrono::milliseconds(std::strtoll(deadline.c_str(), nullptr, 10)));
    }
    std::this_thread::sleep_for(time);
    if (injected.behaviour == Behaviour::Failing) {
        response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_probeUs += nowUs() - start;
    }
    response.set("Galenabarrow-Load", load());
    response.sendBuffer("", 0);
}

bool StandinServer::tryAcquireSlot(Poco::Net::HTTPServerResponse &response)
{
    std::unique_lock lock(m_mutex);
    if (!m_leaving && m_inFlight < m_config.slots) {
        ++m_inFlight;
        m_maxInFlight = std::max(m_maxInFlight, m_inFlight);
        return true;
    }
    ++m_refused;
    const char *reason = m_leaving ? "draining" : "shed";
    lock.unlock();
    refuse(response, reason);
    return false;
}

void StandinServer::refuse(Poco::Net::HTTPServerResponse &response, const char *reason)
{
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.set("Galenabarrow-Refused", reason);
    response.set("Galenabarrow-Load", load());
    response.sendBuffer("", 0);
}

StandinServer::InjectedBehaviour StandinServer::chooseBehaviour(const Poco::Net::HTTPServerRequest &request)
{
    const std::string text = request.get(BehaviourHeader, "");
    if (!text.empty()) {
        const std::size_t equals = text.find('=');
        const std::uint64_t ms = equals == std::string::npos ? 0 : std::strtoull(text.c_str() + equals + 1, nullptr, 10);
        return InjectedBehaviour { behaviourNamed(std::string_view(text).substr(0, equals)), ms };
    }
    const std::lock_guard lock(m_mutex);
    return m_injectedPermille > 0 && m_random.below(Permille) < m_injectedPermille ? m_injected : InjectedBehaviour {};
}

void StandinServer::simulateWork(const InjectedBehaviour &injected, const std::string &attempt)
{
    if (injected.behaviour == Behaviour::Failing) {
        return;
    }
    std::unique_lock lock(m_mutex);
    double us = static_cast<double>(m_config.serviceTimeUs);
    if (m_config.distribution == ServiceTime::Exponential) {
        us *= -std::log(1.0 - m_random.unit());
    }
    if (isCold()) {
        us *= static_cast<double>(ColdFactor);
    }
    const auto total = std::chrono::microseconds(static_cast<std::int64_t>(us)) + std::chrono::milliseconds(injected.milliseconds);
    const bool isCancelled = m_changed.wait_for(lock, total, [&] { return m_cancelRequests.contains(attempt); });
    m_cancelled += isCancelled ? 1 : 0;
}

void StandinServer::sendResponse(const InjectedBehaviour &injected, Poco::Net::HTTPServerRequest &request,
                                 Poco::Net::HTTPServerResponse &response, bool isReused)
{
    const std::size_t size = std::strtoull(request.get(SizeHeader, std::to_string(DefaultBody)).c_str(), nullptr, 10);
    const std::string body = markedBody(request.get(MarkHeader, "none"), std::min(size, OversizedBody));
    const std::string head = "HTTP/1.1 200 OK\r\n";
    switch (injected.behaviour) {
    case Behaviour::CutShort:
        sendRawAndClose(request, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() / 2),
                        {});
        return;
    case Behaviour::CutChunked:
        sendRawAndClose(request, head + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + body.substr(0, 5) + "\r\n", {});
        return;
    case Behaviour::Drip:
        sendRawAndClose(request, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, DripInterval);
        return;
    case Behaviour::CloseReused:
        if (isReused) {
            sendRawAndClose(request, "", {});
            return;
        }
        break;
    case Behaviour::Failing:
        response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
        break;
    case Behaviour::Oversized: {
        const std::string large = markedBody("large", OversizedBody);
        response.sendBuffer(large.data(), large.size());
        return;
    }
    default:
        break;
    }
    response.set("Galenabarrow-Load", load());
    response.sendBuffer(body.data(), body.size());
}

void StandinServer::handleControl(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const auto object = Poco::JSON::Parser().parse(request.stream()).extract<Poco::JSON::Object::Ptr>();
    const std::lock_guard lock(m_mutex);
    m_injected.behaviour = behaviourNamed(object->optValue<std::string>("behaviour", "normal"));
    m_injected.milliseconds = object->optValue<std::uint64_t>("milliseconds", 0);
    m_injectedPermille = object->optValue<std::uint32_t>("permille", Permille);
    m_appliesToProbes = object->optValue<bool>("probes", false);
    sendJson(response, toText(*object));
}

std::string StandinServer::counts()
{
    Poco::JSON::Object::Ptr executions = new Poco::JSON::Object;
    Poco::JSON::Object object;
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, count] : m_executions) {
        executions->set(key, count);
    }
    object.set("executions", executions);
    object.set("total", m_total);
    object.set("refused", m_refused);
    object.set("cancelled", m_cancelled);
    object.set("inFlight", m_inFlight);
    object.set("mostInFlight", m_maxInFlight);
    object.set("probes", m_probes);
    object.set("probeUs", m_probeUs);
    return toText(object);
}

void StandinServer::handleCancel(const std::string &attempt, Poco::Net::HTTPServerResponse &response)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_runningAttempts.contains(attempt)) {
            m_cancelRequests.insert(attempt);
        }
    }
    m_changed.notify_all();
    response.sendBuffer("", 0);
}

std::string StandinServer::load()
{
    const std::lock_guard lock(m_mutex);
    return std::to_string(m_inFlight) + "/" + std::to_string(m_config.slots);
}

Announcement StandinServer::announcement()
{
    const std::lock_guard lock(m_mutex);
    return Announcement { m_config.server, m_config.service, address(), m_config.dataCentre, m_incarnation.value(), m_config.slots,
                          m_inFlight,      m_leaving,        isCold() };
}

bool StandinServer::isCold() const
{
    return nowUs() - m_startedUs < static_cast<std::int64_t>(m_config.coldStartMs) * 1000;
}

}
