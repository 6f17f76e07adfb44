#include "daemon/upstreamclient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>

#include "scriptedserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Daemon;
using Galenabarrow::Daemon::Test::ScriptedServer;
using AfterReply = ScriptedServer::AfterReply;
using Entry::AttemptEnd;

namespace
{

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

UpstreamRequest requestTo(const ScriptedServer &server, const Clock &clock, bool isAction)
{
    return UpstreamRequest {
        server.address(), "POST", "/orders", { { "Mark", "1" } }, "", clock.now() + std::chrono::seconds(20), isAction
    };
}

/// Waits until the end of the stream has arrived at the client's side of every connection.
void waitForDisconnect()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

}

// Documents the behaviour that rules out HTTPClientSession's own write: it resends an action without reporting it.
TEST_CASE("POCO's client session resends by itself when the first write on a reused connection fails", "[daemon][upstream]")
{
    const ScriptedServer server({ { Whole, AfterReply::Reset }, { Whole, AfterReply::KeepOpen } });
    Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress(server.address()));
    session.setKeepAlive(true);
    for (int n = 0; n < 2; ++n) {
        Poco::Net::HTTPRequest request("POST", "/orders", Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(0);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        Poco::NullOutputStream sink;
        Poco::StreamCopier::copyStream(session.receiveResponse(response), sink);
        waitForDisconnect();
    }
    REQUIRE(server.connections() == 2);
    REQUIRE(server.requests() == 2);
}

// Guards against a resend by the upstream session and against a failed write that counts as sent.
TEST_CASE("an upstream session never connects again or resends by itself", "[daemon][upstream]")
{
    const ScriptedServer server({ { Whole, AfterReply::Reset }, { Whole, AfterReply::KeepOpen } });
    UpstreamSession session(server.address());
    session.open(std::chrono::seconds(20));
    const std::string request = "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    session.writeAll(request);
    Poco::Net::HTTPResponse head;
    std::string body;
    REQUIRE(session.receiveWhole("POST", head, body) == ResponseEnd::Whole);
    waitForDisconnect();
    session.resetBytesSent();
    REQUIRE_THROWS_AS(session.writeAll(request), Poco::Exception);
    REQUIRE(session.bytesSent() == 0);
    REQUIRE(server.connections() == 1);
    REQUIRE(server.requests() == 1);
}

// Guards against truncated or oversized responses that are accepted as complete.
TEST_CASE("an incomplete response is an error", "[daemon][upstream]")
{
    struct Row {
        const char *name;
        std::string reply;
        AttemptEnd end;
        ResultCode code;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto row = GENERATE_COPY(values<Row>({
        { "whole", Whole, AttemptEnd::Answered, ResultCode::Ok },
        { "chunked", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", AttemptEnd::Answered, ResultCode::Ok },
        { "empty", head + "Content-Length: 0\r\n\r\n", AttemptEnd::Answered, ResultCode::Ok },
        { "continue first", "HTTP/1.1 100 Continue\r\n\r\n" + Whole, AttemptEnd::Answered, ResultCode::Ok },
        { "no response", "", AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost },
        { "cut in the status line", "HTTP/1.1 20", AttemptEnd::FailedAfterSend, ResultCode::AnswerCutShort },
        { "cut in the headers", head + "Content-Length: 0\r\nX-Order: 12", AttemptEnd::FailedAfterSend, ResultCode::AnswerCutShort },
        { "cut in the body", head + "Content-Length: 6\r\n\r\nwhole", AttemptEnd::FailedAfterSend, ResultCode::AnswerCutShort },
        { "cut between chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", AttemptEnd::FailedAfterSend,
          ResultCode::AnswerCutShort },
        { "cut in a chunk", head + "Transfer-Encoding: chunked\r\n\r\n9\r\nwhole", AttemptEnd::FailedAfterSend,
          ResultCode::AnswerCutShort },
        { "cut before the end of the trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", AttemptEnd::FailedAfterSend,
          ResultCode::AnswerCutShort },
        { "length not stated", head + "\r\nwhole", AttemptEnd::FailedAfterSend, ResultCode::AnswerCutShort },
        { "length above the limit", head + "Content-Length: 8388609\r\n\r\nwhole", AttemptEnd::FailedAfterSend,
          ResultCode::AnswerTooLarge },
        { "chunk above the limit", head + "Transfer-Encoding: chunked\r\n\r\n800001\r\nwhole", AttemptEnd::FailedAfterSend,
          ResultCode::AnswerTooLarge },
        { "early hints first", "HTTP/1.1 103 Early Hints\r\n\r\n" + Whole, AttemptEnd::Answered, ResultCode::Ok },
        { "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole", AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost },
        { "status 099", "HTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\nwhole", AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost },
        { "status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + Whole, AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost },
        { "status 199 with a body", "HTTP/1.1 199 OK\r\nContent-Length: 5\r\n\r\nwhole", AttemptEnd::FailedAfterSend,
          ResultCode::ConnectionLost },
        { "status 599", "HTTP/1.1 599 OK\r\nContent-Length: 5\r\n\r\nwhole", AttemptEnd::Answered, ResultCode::Ok },
        { "status 600", "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nwhole", AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost },
        { "status 999", "HTTP/1.1 999 OK\r\nContent-Length: 5\r\n\r\nwhole", AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost },
        { "no HTTP", "hello\r\n\r\n", AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost },
    }));
    INFO(row.name);
    const SteadyClock clock;
    const ScriptedServer server({ { row.reply, AfterReply::Close } });
    UpstreamClient client(clock);
    ExchangeHandle handle;
    const UpstreamResponse response = client.exchange(requestTo(server, clock, true), handle);
    REQUIRE(response.end == row.end);
    REQUIRE(response.code == row.code);
    REQUIRE(server.requests() == 1);
    if (row.end != AttemptEnd::Answered) {
        REQUIRE(response.body.empty());
    }
}

// Guards against an action that is sent over a connection which the server is likely to close just then.
TEST_CASE("an action uses a pooled connection only when it was idle for less than 1 s", "[daemon][upstream]")
{
    ManualClock clock;
    const ScriptedServer server({ { Whole }, { Whole }, { Whole }, { Whole } });
    UpstreamClient client(clock);
    const auto exchange = [&](bool isAction) {
        ExchangeHandle handle;
        REQUIRE(client.exchange(requestTo(server, clock, isAction), handle).end == AttemptEnd::Answered);
    };
    exchange(true);
    clock.advance(std::chrono::milliseconds(999));
    exchange(true);
    REQUIRE(server.connections() == 1);
    clock.advance(std::chrono::seconds(1));
    exchange(true);
    REQUIRE(server.connections() == 2);
    clock.advance(std::chrono::seconds(5));
    exchange(false);
    REQUIRE(server.connections() == 2);
}

// Guards against an action over a connection whose end has already been received.
TEST_CASE("a pooled connection that the server has closed is not used", "[daemon][upstream]")
{
    const SteadyClock clock;
    const ScriptedServer server({ { Whole, AfterReply::Close }, { Whole, AfterReply::KeepOpen } });
    UpstreamClient client(clock);
    ExchangeHandle first;
    REQUIRE(client.exchange(requestTo(server, clock, true), first).end == AttemptEnd::Answered);
    waitForDisconnect();
    ExchangeHandle second;
    REQUIRE(client.exchange(requestTo(server, clock, true), second).end == AttemptEnd::Answered);
    REQUIRE(server.connections() == 2);
}

// Guards against bytes of one response that reach the next call on the same connection.
TEST_CASE("a connection with surplus bytes is not reused", "[daemon][upstream]")
{
    const SteadyClock clock;
    const ScriptedServer server({ { Whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" }, { Whole } });
    UpstreamClient client(clock);
    for (int n = 0; n < 2; ++n) {
        ExchangeHandle handle;
        REQUIRE(client.exchange(requestTo(server, clock, false), handle).body == "whole");
        waitForDisconnect();
    }
    REQUIRE(server.connections() == 2);
}

// Guards against a late response that reaches the next call.
TEST_CASE("an abandoned connection is closed and not used again", "[daemon][upstream]")
{
    const SteadyClock clock;
    const ScriptedServer server({ { "" }, { Whole } });
    UpstreamClient client(clock);
    UpstreamRequest request = requestTo(server, clock, true);
    request.deadline = clock.now() + std::chrono::milliseconds(50);
    ExchangeHandle first;
    REQUIRE(client.exchange(request, first).end == AttemptEnd::TimedOut);
    ExchangeHandle second;
    REQUIRE(client.exchange(requestTo(server, clock, true), second).end == AttemptEnd::Answered);
    REQUIRE(server.connections() == 2);
    REQUIRE(client.counters().connectionsAbandoned == 1);
}

// Guards against a send without a timeout, which would block its thread for as long as the server does not read, and
// against part of a request that counts as not sent.
TEST_CASE("a request that the server does not read ends at the deadline", "[daemon][upstream]")
{
    const SteadyClock clock;
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1:0"));
    UpstreamClient client(clock);
    UpstreamRequest request { silent.address().toString(), "POST", "/orders", {}, std::string(std::size_t { 64 } << 20U, 'x'), {}, true };
    request.deadline = clock.now() + std::chrono::milliseconds(50);
    ExchangeHandle handle;
    const UpstreamResponse response = client.exchange(request, handle);
    REQUIRE(response.end == AttemptEnd::TimedOut);
    REQUIRE(client.counters().connectionsAbandoned == 1);
}

// Guards against a cancelled attempt that blocks its thread until the deadline, and against one that was never sent and
// counts as sent.
TEST_CASE("an exchange ends when it is cancelled", "[daemon][upstream]")
{
    const SteadyClock clock;
    const ScriptedServer server({ { "" } });
    UpstreamClient client(clock);
    ExchangeHandle early;
    early.cancel();
    REQUIRE(client.exchange(requestTo(server, clock, true), early).end == AttemptEnd::FailedBeforeSend);
    REQUIRE(server.requests() == 0);
    ExchangeHandle handle;
    std::thread canceller([&] {
        while (server.requests() == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        handle.cancel();
    });
    REQUIRE(client.exchange(requestTo(server, clock, true), handle).end == AttemptEnd::Cancelled);
    canceller.join();
}
