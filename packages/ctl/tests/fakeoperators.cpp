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

/// The client goes by the body of a change and takes 200 alone as success of other requests.
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
        using Plan = FakeOperators::Plan;
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        std::map<std::string, std::string> headers(request.begin(), request.end());
        const Plan plan = m_fake.nextPlan();
        FakeOperators::Response answer;
        if (plan == Plan::Serve || plan == Plan::LoseAnswer || plan == Plan::CutAnswer) {
            answer = m_fake.serve(request.getMethod(), request.getURI(), headers["Authorization"], headers, body);
        }
        if (plan == Plan::LoseRequest || plan == Plan::LoseAnswer) {
            dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
            return;
        }
        for (const auto &[refusal, code] :
             { std::pair(Plan::RefuseNotLeader, ResultCode::NotLeader), std::pair(Plan::RefuseNotAccepted, ResultCode::NotAccepted),
               std::pair(Plan::RefuseOutcomeUnknown, ResultCode::ChangeOutcomeUnknown) }) {
            if (plan == refusal) {
                answer = { statusOf(code), toJson(Error { code, "refused as planned" }) };
            }
        }
        if (plan == Plan::DecideNotAccepted) {
            answer = { statusOf(ResultCode::NotAccepted), toJson(ChangeResult { ResultCode::NotAccepted, Version(), ChangeId() }) };
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        response.setContentLength(static_cast<std::streamsize>(answer.body.size()));
        response.setKeepAlive(false);
        response.send() << (plan == Plan::CutAnswer ? answer.body.substr(0, answer.body.size() / 2) : answer.body) << std::flush;
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

std::string FakeOperators::listen()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
    m_servers.push_back(std::make_unique<Poco::Net::HTTPServer>(new FakeFactory(*this), socket, new Poco::Net::HTTPServerParams));
    m_servers.back()->start();
    return socket.address().toString();
}

void FakeOperators::plan(std::deque<Plan> plans)
{
    const std::lock_guard lock(m_mutex);
    m_plans = std::move(plans);
}

void FakeOperators::answer(const std::string &path, const std::string &body)
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

FakeOperators::Plan FakeOperators::nextPlan()
{
    const std::lock_guard lock(m_mutex);
    if (m_plans.empty()) {
        return Plan::Serve;
    }
    const Plan plan = m_plans.front();
    m_plans.pop_front();
    return plan;
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
