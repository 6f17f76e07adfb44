#include "fakeoperators.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include "contract/contractjson.h"
#include "contract/operatorsapi.h"

using namespace Galenabarrow;

namespace
{

/// The client judges a change by the body of the answer; for other requests, only status 200 is a success.
int statusOf(ResultCode code)
{
    return code == ResultCode::Ok ? 200 : 503;
}

}

class FakeHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FakeHandler(FakeOperators &fake)
        : m_fake(fake)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        using Behaviour = FakeOperators::Behaviour;
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        std::map<std::string, std::string> headers(request.begin(), request.end());
        const Behaviour behaviour = m_fake.nextBehaviour();
        FakeOperators::Response answer;
        if (behaviour == Behaviour::Serve || behaviour == Behaviour::DropAnswer || behaviour == Behaviour::TruncateAnswer) {
            answer = m_fake.serve(request.getMethod(), request.getURI(), headers["Authorization"], headers, body);
        }
        if (behaviour == Behaviour::DropRequest || behaviour == Behaviour::DropAnswer) {
            dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
            return;
        }
        for (const auto &[refusal, code] : { std::pair(Behaviour::RefuseNotLeader, ResultCode::NotLeader),
                                             std::pair(Behaviour::RefuseNotAccepted, ResultCode::NotAccepted),
                                             std::pair(Behaviour::RefuseOutcomeUnknown, ResultCode::ChangeOutcomeUnknown) }) {
            if (behaviour == refusal) {
                answer = { statusOf(code), toJson(Error { code, "refused as scripted" }) };
            }
        }
        if (behaviour == Behaviour::DecideNotAccepted) {
            answer = { statusOf(ResultCode::NotAccepted), toJson(ChangeResult { ResultCode::NotAccepted, Version(), ChangeId() }) };
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        response.setContentLength(static_cast<std::streamsize>(answer.body.size()));
        response.setKeepAlive(false);
        response.send() << (behaviour == Behaviour::TruncateAnswer ? answer.body.substr(0, answer.body.size() / 2) : answer.body)
                        << std::flush;
    }

private:
    FakeOperators &m_fake;
};

namespace
{

class FakeFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FakeFactory(FakeOperators &fake)
        : m_fake(fake)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new FakeHandler(m_fake);
    }

private:
    FakeOperators &m_fake;
};

FakeOperators::Response refusal(ResultCode code, const std::string &detail)
{
    return { statusOf(code), toJson(Error { code, detail }) };
}

}

FakeOperators::FakeOperators(std::string token)
    : m_token(std::move(token))
{
}

FakeOperators::~FakeOperators()
{
    for (const auto &it : m_servers) {
        it->stopAll(true);
    }
}

std::string FakeOperators::addListener()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
    m_servers.push_back(std::make_unique<Poco::Net::HTTPServer>(new FakeFactory(*this), socket, new Poco::Net::HTTPServerParams));
    m_servers.back()->start();
    return socket.address().toString();
}

void FakeOperators::setBehaviours(std::deque<Behaviour> behaviours)
{
    const std::lock_guard lock(m_mutex);
    m_behaviours = std::move(behaviours);
}

void FakeOperators::setAnswer(const std::string &path, const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    m_answers[path] = body;
}

std::vector<std::string> FakeOperators::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::vector<std::string> FakeOperators::changeIds() const
{
    const std::lock_guard lock(m_mutex);
    return m_changeIds;
}

std::uint64_t FakeOperators::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

FakeOperators::Behaviour FakeOperators::nextBehaviour()
{
    const std::lock_guard lock(m_mutex);
    if (m_behaviours.empty()) {
        return Behaviour::Serve;
    }
    const Behaviour behaviour = m_behaviours.front();
    m_behaviours.pop_front();
    return behaviour;
}

FakeOperators::Response FakeOperators::serve(const std::string &method, const std::string &path, const std::string &token,
                                             const std::map<std::string, std::string> &headers, const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(method + ' ' + path);
    if (token != "Bearer " + m_token) {
        return refusal(ResultCode::TokenWrong, "wrong token");
    }
    const std::string prefix = std::string(OperatorsApi::ContractsPath) + '/';
    if (path.starts_with(prefix) && method != "GET") {
        return change(method, path.substr(prefix.size()), headers, body);
    }
    if (path.starts_with(prefix)) {
        const auto it = m_contracts.find(path.substr(prefix.size()));
        return it == m_contracts.end() ? refusal(ResultCode::ContractNotFound, "no contract") : Response { 200, toJson(it->second) };
    }
    if (path == OperatorsApi::ContractsPath) {
        std::vector<Contract> contracts;
        for (const auto &[customer, contract] : m_contracts) {
            contracts.push_back(contract);
        }
        return { 200, toJson(std::span<const Contract>(contracts)) };
    }
    if (const auto it = m_answers.find(path); it != m_answers.end()) {
        return { 200, it->second };
    }
    return refusal(ResultCode::PathUnknown, path);
}

FakeOperators::Response FakeOperators::change(const std::string &method, const std::string &customer,
                                              const std::map<std::string, std::string> &headers, const std::string &body)
{
    const std::string id = headers.at(OperatorsApi::ChangeIdHeader);
    m_changeIds.push_back(id);
    if (!m_results.contains(id)) {
        const bool isExpected = headers.at(OperatorsApi::ExpectedVersionHeader) == std::to_string(m_version);
        m_results[id] = isExpected ? ChangeResult { ResultCode::Ok, Version(++m_version), ChangeId() }
                                   : ChangeResult { ResultCode::VersionConflict, Version(m_version), m_lastChange };
        if (isExpected) {
            m_lastChange = ChangeId(id);
            m_contracts.erase(customer);
        }
        if (isExpected && method == "PUT") {
            m_contracts[customer] = contractFromJson(body).value();
            m_contracts[customer].version = Version(m_version);
        }
    }
    const ChangeResult &result = m_results[id];
    return { statusOf(result.code), toJson(result) };
}
