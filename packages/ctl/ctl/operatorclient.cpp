#include "ctl/operatorclient.h"

#include <algorithm>
#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include "contract/contractjson.h"
#include "contract/operatorsapi.h"

namespace Galenabarrow::Ctl
{

namespace
{

/// Longer answers are rejected; the burn data of one entry is far smaller.
constexpr std::size_t MaxReplyBytes = std::size_t { 64 } << 20U;
constexpr std::size_t ReadChunk = std::size_t { 64 } << 10U;

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// Reads the body; empty when it ended before its stated length or is too large.
std::optional<std::string> readBody(std::istream &stream, const HTTPResponse &response)
{
    std::string body;
    std::vector<char> buf(ReadChunk);
    while (stream.read(buf.data(), static_cast<std::streamsize>(buf.size())) || stream.gcount() > 0) {
        body.append(buf.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > MaxReplyBytes) {
            return std::nullopt;
        }
    }
    const bool isWhole = !response.hasContentLength() || body.size() == static_cast<std::size_t>(response.getContentLength64());
    return isWhole ? std::optional(body) : std::nullopt;
}

/// Codes after which another instance, or the same one later, may still serve the request.
bool isTransient(ResultCode code)
{
    constexpr std::array Codes = { ResultCode::NotLeader,   ResultCode::NoQuorum,      ResultCode::ChangeOutcomeUnknown,
                                   ResultCode::EntryFenced, ResultCode::EntryStopping, ResultCode::TooManyConnections,
                                   ResultCode::Unreachable };
    return std::find(Codes.begin(), Codes.end(), code) != Codes.end();
}

/// Codes of a change result that were decided in the log. They are valid for earlier sends of the change too, since a resend
/// returns the first result.
bool isDecided(ResultCode code)
{
    constexpr std::array Codes = { ResultCode::Ok, ResultCode::VersionConflict, ResultCode::ContractNotFound, ResultCode::ChangeIdReused,
                                   ResultCode::NotAccepted };
    return std::find(Codes.begin(), Codes.end(), code) != Codes.end();
}

/// The error of the whole request after an instance refused it without a decision in the log. When an earlier send may have
/// reached the log, the refusal is valid for the last send only, and the outcome of the change is unknown.
Error errorAfterRefusal(const Error &refusal, bool mayHaveTakenEffect)
{
    if (!mayHaveTakenEffect) {
        return refusal;
    }
    return Error { ResultCode::ChangeOutcomeUnknown,
                   "an earlier send of the change may have been accepted; the last one was refused with "
                       + std::string(resultCodeName(refusal.code)) + ": " + refusal.detail };
}

std::string describe(const std::exception &e)
{
    const auto *poco = dynamic_cast<const Poco::Exception *>(&e);
    return poco ? poco->displayText() : e.what();
}

}

struct OperatorClient::Request {
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;

    bool isChange() const
    {
        return headers.contains(OperatorsApi::ChangeIdHeader);
    }
};

struct OperatorClient::Reply {
    std::string body;
};

/// The result of sending a request to one address.
struct OperatorClient::Attempt {
    /// The instance may have acted on the request, whether or not it answered.
    bool wasSent = false;
    Result<Reply> reply;
};

OperatorClient::OperatorClient(ClientOptions options)
    : m_options(std::move(options))
{
}

Result<std::string> OperatorClient::get(const std::string &path) const
{
    return sendToAny(Request { HTTPRequest::HTTP_GET, path, "", {} }).map([](const Reply &reply) { return reply.body; });
}

Result<std::string> OperatorClient::getFrom(const std::string &address, const std::string &path) const
{
    return exchange(address, Request { HTTPRequest::HTTP_GET, path, "", {} }).reply.map([](const Reply &reply) { return reply.body; });
}

Result<std::string> OperatorClient::post(const std::string &path) const
{
    return sendToAny(Request { HTTPRequest::HTTP_POST, path, "", {} }).map([](const Reply &reply) { return reply.body; });
}

Result<ChangeResult> OperatorClient::change(const ContractChange &change) const
{
    Request request;
    const bool isPut = change.kind == ContractChange::Kind::Put;
    request.method = isPut ? HTTPRequest::HTTP_PUT : HTTPRequest::HTTP_DELETE;
    request.path = std::string(OperatorsApi::ContractsPath) + '/' + change.customer.value();
    request.body = isPut ? toJson(change.contract) : "";
    request.headers[OperatorsApi::ChangeIdHeader] = change.id.value();
    request.headers[OperatorsApi::ExpectedVersionHeader] = std::to_string(change.expected.value());
    return sendToAny(request).and_then([](const Reply &reply) { return changeResultFromJson(reply.body); });
}

const std::vector<std::string> &OperatorClient::addresses() const
{
    return m_options.addresses;
}

OperatorClient::Attempt OperatorClient::exchange(const std::string &address, const Request &request) const
{
    const Poco::Timespan timeout(m_options.timeout.count());
    Poco::Net::StreamSocket socket;
    try {
        socket.connect(Poco::Net::SocketAddress(address), timeout);
    } catch (const std::exception &e) {
        return Attempt { false, failure(ResultCode::Unreachable, address + ": " + describe(e)) };
    }
    try {
        HTTPClientSession session(socket);
        session.setTimeout(timeout);
        HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        head.setHost(address);
        head.setCredentials("Bearer", m_options.token);
        head.setKeepAlive(false);
        for (const auto &[name, value] : request.headers) {
            head.set(name, value);
        }
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        session.sendRequest(head) << request.body << std::flush;
        HTTPResponse response;
        std::optional<std::string> body = readBody(session.receiveResponse(response), response);
        if (!body) {
            return Attempt { true, failure(ResultCode::AnswerCutShort, address + ": the answer is not whole") };
        }
        return Attempt { true, interpretReply(address, request, response.getStatus() == HTTPResponse::HTTP_OK, std::move(*body)) };
    } catch (const std::exception &e) {
        return Attempt { true, failure(ResultCode::ConnectionLost, address + ": " + describe(e)) };
    }
}

Result<OperatorClient::Reply> OperatorClient::interpretReply(const std::string &address, const Request &request, bool isOk,
                                                             std::string body)
{
    if (request.isChange()) {
        const Result<ChangeResult> result = changeResultFromJson(body);
        if (result && isDecided(result->code)) {
            return Reply { std::move(body) };
        }
        if (result) {
            return failure(result->code, address + ": " + std::string(resultCodeName(result->code)));
        }
    } else if (isOk) {
        return Reply { std::move(body) };
    }
    const Result<Error> error = errorFromJson(body);
    if (error) {
        return failure(error->code, address + ": " + error->detail);
    }
    // Like a lost answer, one that cannot be read leaves the outcome of a change unknown.
    return failure(request.isChange() ? ResultCode::AnswerCutShort : ResultCode::BodyMalformed, address + ": the answer cannot be read");
}

Result<OperatorClient::Reply> OperatorClient::sendToAny(const Request &request) const
{
    bool mayHaveTakenEffect = false;
    Error last { ResultCode::Unreachable, "no address is given" };
    for (unsigned round = 0; round < m_options.rounds; ++round) {
        if (round > 0) {
            m_options.waitBetweenRounds();
        }
        for (const std::string &address : m_options.addresses) {
            Attempt attempt = exchange(address, request);
            if (attempt.reply) {
                return std::move(*attempt.reply);
            }
            last = attempt.reply.error();
            const bool isLost = last.code == ResultCode::ConnectionLost || last.code == ResultCode::AnswerCutShort;
            if (!isLost && !isTransient(last.code)) {
                return tl::make_unexpected(errorAfterRefusal(last, request.isChange() && mayHaveTakenEffect));
            }
            // An instance returns NotLeader or NoQuorum before it proposes the change, so such a send has no effect.
            mayHaveTakenEffect = mayHaveTakenEffect || isLost || last.code == ResultCode::ChangeOutcomeUnknown;
        }
    }
    if (request.isChange() && mayHaveTakenEffect) {
        return failure(ResultCode::ChangeOutcomeUnknown, "no instance told the result of the change; last: " + last.detail);
    }
    return tl::make_unexpected(last);
}

}
