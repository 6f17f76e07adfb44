#pragma once

#include "http/server.h"

namespace Galenabarrow::Http
{

/// One connection of a caller.
class ServerConnection final : public std::enable_shared_from_this<ServerConnection>, private Net::MemoryHolder
{
public:
    ServerConnection(Server &server, std::shared_ptr<Net::Stream> stream);
    void start();
    void respond(Response response);
    void close();
    bool hasRequest() const;
    bool isSending() const;
    bool isIdle() const;
    /// Applies what the connection holds now: to the memory budget, and to whether it is read. It is not read while the handler has no
    /// room for more of the body, while much is held of requests or responses that must wait, or while memory is short and this connection
    /// holds much of it.
    void limitReading();

private:
    Net::MemoryUse memoryUse() const override;
    void onMemoryRelief() override;
    void onMemoryEviction() override;
    void receive(std::string_view bytes);
    void processInput();
    void rejectRequest(ResultCode code);
    /// Answers 503 to a request that was not handed over, and drops it.
    void rejectForMemory();
    /// Writes a last response, of the server itself, and closes the connection after it.
    void endWith(Response response);
    bool isMemoryLimited() const;
    /// So much is queued for the caller that no further request is handled.
    bool isOutputFull() const;
    void handleDrained();
    void dispatchRequest();
    /// Passes the request on to the handler. An exception of the handler is answered with 500: the outcome is unknown.
    void callHandler();
    /// Runs \p work for this connection, which ends if an exception is thrown.
    template<typename Work>
    void guard(const Work &work);
    void sendResponse(Response response);
    /// Sends a response whose body is still being received, as fast as the caller takes it.
    void startForwarding(Response response);
    void forwardBody(std::string_view bytes);
    void finishForwarding(bool isComplete);
    void finishResponse(bool keepsAlive);
    bool mayDispatchBeforeBody() const;
    void dispatchBeforeBody();
    /// Passes received bytes of the body on to the exchange, or drops them after the response.
    void readBody();
    void finishBody();
    /// Ends the request in progress, as no response can be sent any more or its caller has left.
    void handleStreamEnd();
    void armTimer();
    void handleTimeout();
    void removeIfClosed();

    Server &m_server;
    std::shared_ptr<Net::Stream> m_stream;
    RequestReader m_reader;
    ExchangePointer m_exchange;
    /// The request was handed over, or answered, before the end of its body.
    bool m_isReadingBody = false;
    /// The response was the last one; the connection closes after the rest of the body, as closing it earlier could reset it before
    /// the caller has read the response.
    bool m_closesAfterBody = false;
    /// The last response was written; the connection closes once it is sent.
    bool m_isEnding = false;
    /// The rest of the response that is being sent, and how that is sent.
    std::shared_ptr<BodySource> m_rest;
    bool m_acceptsChunked = true;
    bool m_isRestChunked = false;
    bool m_keepsAliveAfterRest = false;
    std::uint64_t m_movedAtTimer = 0;
    std::uint64_t m_received = 0;
    Net::MemoryAccount m_account;
    Net::TimerId m_timer = 0;
    ReadState m_timerState = ReadState::Idle;
    bool m_timerForBody = false;
};

}
