#include "daemon/operatorsapi.h"

#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

#include "base/name.h"
#include "contract/contractjson.h"
#include "daemon/httpinput.h"
#include "daemon/statusreply.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ContractsPath = "/v1/contracts";
constexpr std::string_view ServersPath = "/v1/servers/";
constexpr std::string_view DrainSuffix = "/drain";
constexpr Duration ChangeTimeout = std::chrono::seconds(5);

/// Compares texts of equal length in constant time, so that the duration reveals nothing about the token.
bool isEqual(std::string_view a, std::string_view b)
{
    unsigned char difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t n = 0; n < a.size() && n < b.size(); ++n) {
        difference |= static_cast<unsigned char>(a[n] ^ b[n]);
    }
    return difference == 0;
}

HttpReply inputError(const Error &error)
{
    return errorReply(statusForInput(error.code), Outcome::NotRun, error.code, error.detail);
}

int statusForChange(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::VersionConflict:
    case ResultCode::ChangeIdReused:
        return 409;
    case ResultCode::ContractNotFound:
        return 404;
    case ResultCode::ContractInvalid:
        return 400;
    case ResultCode::ChangeOutcomeUnknown:
        return 504;
    default:
        return 503;
    }
}

HttpReply changeReply(const ChangeResult &result)
{
    HttpReply reply;
    reply.status = statusForChange(result.code);
    reply.headers.emplace_back(CodeHeader, std::to_string(static_cast<int>(result.code)));
    reply.headers.emplace_back("ETag", "\"" + std::to_string(result.version.value()) + "\"");
    reply.body = toJson(result);
    return reply;
}

Result<Version> parseVersion(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t version = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return failure(ResultCode::HeaderInvalid, "If-Match has to be the version of the contract; 0 for a new one");
    }
    return Version(version);
}

}

OperatorsApi::OperatorsApi(std::string token, ClusterNode &cluster, const ControlNode *control, const EntryNode *entry, Pages pages,
                           std::mutex &lock, const Clock &clock)
    : m_token(std::move(token))
    , m_cluster(cluster)
    , m_control(control)
    , m_entry(entry)
    , m_pages(std::move(pages))
    , m_lock(lock)
    , m_clock(clock)
{
}

HttpReply OperatorsApi::handle(const HttpRequest &request)
{
    if (!isAuthorized(request)) {
        return inputError(Error { ResultCode::TokenWrong, "the bearer token is missing or wrong" });
    }
    const std::string_view path = request.path();
    const std::string &method = request.head.getMethod();
    if (path == ContractsPath || path.starts_with("/v1/contracts/")) {
        return handleContracts(request, path.substr(std::min(path.size(), ContractsPath.size() + 1)));
    }
    if (method == "GET" && path == "/v1/status") {
        return status();
    }
    if (method == "GET" && path == "/metrics") {
        return m_pages.metrics();
    }
    if (method == "GET" && path == "/v1/burn") {
        return m_pages.burn();
    }
    if (method == "POST" && path.starts_with(ServersPath) && path.ends_with(DrainSuffix)) {
        return drainServer(request, path.substr(ServersPath.size(), path.size() - ServersPath.size() - DrainSuffix.size()));
    }
    return inputError(Error { ResultCode::PathUnknown, "the path is not served here" });
}

bool OperatorsApi::isAuthorized(const HttpRequest &request) const
{
    const std::string header = request.head.get("Authorization", "");
    return header.starts_with(BearerPrefix) && isEqual(std::string_view(header).substr(BearerPrefix.size()), m_token);
}

HttpReply OperatorsApi::handleContracts(const HttpRequest &request, std::string_view customer)
{
    const std::string &method = request.head.getMethod();
    if (customer.empty()) {
        return method == "GET" ? listContracts()
                               : inputError(Error { ResultCode::PathUnknown, "the path has to name the customer of the contract" });
    }
    if (!isName(customer)) {
        return inputError(Error { ResultCode::PathUnknown, "the path contains no valid customer name" });
    }
    const CustomerId id { std::string(customer) };
    if (method == "GET") {
        return showContract(id);
    }
    if (method == "PUT" || method == "DELETE") {
        return changeContract(request, id);
    }
    return inputError(Error { ResultCode::PathUnknown, "contracts support GET, PUT and DELETE" });
}

HttpReply OperatorsApi::listContracts() const
{
    std::vector<Contract> contracts;
    const std::lock_guard lock(m_lock);
    for (const auto &[customer, record] : m_cluster.feed().contracts()) {
        if (!record.withdrawn) {
            contracts.push_back(record.contract);
        }
    }
    HttpReply reply;
    reply.body = toJson(contracts);
    return reply;
}

HttpReply OperatorsApi::showContract(const CustomerId &customer) const
{
    const std::lock_guard lock(m_lock);
    const Contract *contract = m_cluster.feed().find(customer);
    if (contract == nullptr) {
        return errorReply(404, Outcome::NotRun, ResultCode::ContractNotFound, "the customer has no contract");
    }
    HttpReply reply;
    reply.headers.emplace_back("ETag", "\"" + std::to_string(contract->version.value()) + "\"");
    reply.body = toJson(*contract);
    return reply;
}

HttpReply OperatorsApi::changeContract(const HttpRequest &request, const CustomerId &customer)
{
    const Result<ContractChange> change = parseChange(request, customer);
    if (!change) {
        return inputError(change.error());
    }
    const Control::ProposalResult result = m_cluster.propose(*change, ChangeTimeout);
    return changeReply(ChangeResult { result.code, result.version, result.winner });
}

Result<ContractChange> OperatorsApi::parseChange(const HttpRequest &request, const CustomerId &customer) const
{
    for (const char *name : { "If-Match", ChangeIdHeader }) {
        if (!request.head.has(name)) {
            return failure(ResultCode::HeaderMissing, std::string(name) + " is missing");
        }
    }
    const Result<Version> version = parseVersion(request.head.get("If-Match"));
    if (!version) {
        return tl::make_unexpected(version.error());
    }
    ContractChange change;
    change.id = ChangeId(request.head.get(ChangeIdHeader));
    change.customer = customer;
    change.expected = *version;
    if (!isName(change.id.value())) {
        return failure(ResultCode::HeaderInvalid, std::string(ChangeIdHeader) + " is not a name");
    }
    if (request.head.getMethod() == "DELETE") {
        change.kind = ContractChange::Kind::Withdraw;
        return change;
    }
    Result<Contract> contract = contractFromJson(request.body);
    if (!contract) {
        return tl::make_unexpected(contract.error());
    }
    if (contract->customer != customer) {
        return failure(ResultCode::ContractInvalid, "customer: differs from the customer in the path");
    }
    change.contract = std::move(*contract);
    return change;
}

HttpReply OperatorsApi::drainServer(const HttpRequest & /*request*/, std::string_view server)
{
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_lock);
    const Result<void> drained = m_cluster.gossip().drain(ServerId(std::string(server)), now);
    if (!drained) {
        return inputError(drained.error());
    }
    m_cluster.flush(now);
    HttpReply reply;
    reply.body = "{}";
    return reply;
}

HttpReply OperatorsApi::status() const
{
    std::optional<Control::ControlStatus> control;
    if (m_control != nullptr) {
        control = m_control->status();
    }
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_lock);
    return statusReply(m_cluster, control, m_entry, now);
}

}
