#include "teststand/announcer.h"

#include <chrono>
#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

namespace Galenabarrow::Teststand
{

namespace
{

const Poco::Timespan ResponseTimeout(1, 0);

std::string toJson(const Announcement &announcement, std::uint64_t sequence)
{
    Poco::JSON::Object object;
    object.set("server", announcement.server);
    object.set("service", announcement.service);
    object.set("address", announcement.address);
    object.set("dc", announcement.dataCentre);
    object.set("incarnation", announcement.incarnation);
    object.set("sequence", sequence);
    object.set("slots", announcement.slots);
    object.set("inFlight", announcement.inFlight);
    object.set("leaving", announcement.leaving);
    object.set("coldStart", announcement.coldStart);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

}

Announcer::Announcer(std::vector<std::string> entries, std::uint32_t intervalMs, Source source)
    : m_entries(std::move(entries))
    , m_intervalMs(intervalMs)
    , m_source(std::move(source))
    , m_thread([this] { run(); })
{
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void Announcer::announceNow()
{
    const std::lock_guard lock(m_mutex);
    m_announceNow = true;
    m_wake.notify_all();
}

std::uint64_t Announcer::accepted() const
{
    return m_accepted;
}

void Announcer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_announceNow = false;
        lock.unlock();
        const bool accepted = announce();
        lock.lock();
        if (!accepted) {
            m_current = (m_current + 1) % m_entries.size();
        }
        // After a failure, the next entry is tried after a short delay: an entry that has failed is replaced quickly, and each
        // entry still gets only a few requests per second.
        const auto pause = std::chrono::milliseconds(accepted ? m_intervalMs : 100);
        m_wake.wait_for(lock, pause, [this] { return m_stopping || m_announceNow; });
    }
}

bool Announcer::announce()
{
    try {
        Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress { m_entries[m_current] });
        session.setTimeout(ResponseTimeout, ResponseTimeout, ResponseTimeout);
        const std::string body = toJson(m_source(), ++m_sequence);
        Poco::Net::HTTPRequest request("POST", "/v1/announce", Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Poco::NullOutputStream sink;
        Poco::StreamCopier::copyStream(session.receiveResponse(response), sink);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            return false;
        }
        ++m_accepted;
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

}
