#include "ctl/contractcommands.h"

#include <fstream>
#include <iomanip>
#include <ostream>
#include <sstream>

#include <Poco/JSON/Object.h>

#include "base/name.h"
#include "base/random.h"
#include "contract/contractjson.h"
#include "contract/jsonobject.h"
#include "contract/operatorsapi.h"

namespace Galenabarrow::Ctl
{

namespace
{

constexpr int NameWidth = 30;
constexpr int NumberWidth = 14;
/// A valid contract is far smaller.
constexpr std::size_t MaxContractBytes = std::size_t { 1 } << 20U;

std::string contractPath(const std::string &customer)
{
    return std::string(OperatorsApi::ContractsPath) + '/' + customer;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(MaxContractBytes + 1, '\0');
    if (!file || (!file.read(text.data(), static_cast<std::streamsize>(text.size())) && !file.eof())) {
        return failure(ResultCode::UsageError, path + ": the file cannot be read");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > MaxContractBytes) {
        return failure(ResultCode::BodyTooLarge, path + ": the file is larger than a contract can be");
    }
    return text;
}

Result<ChangeId> changeIdOf(const Invocation &invocation)
{
    if (invocation.changeId.empty()) {
        std::ostringstream id;
        id << "ctl-" << std::hex << std::setw(16) << std::setfill('0') << makeIncarnation().value();
        return ChangeId(id.str());
    }
    if (!isName(invocation.changeId)) {
        return failure(ResultCode::UsageError, "--change_id: expected 1 to 64 letters, digits, '.', '_' or '-'");
    }
    return ChangeId(invocation.changeId);
}

Result<void> reportResult(const CommandContext &context, const ContractChange &change, const ChangeResult &result)
{
    const std::string subject = "the contract of " + change.customer.value();
    if (result.code == ResultCode::VersionConflict) {
        return failure(result.code,
                       subject + " has version " + std::to_string(result.version.value()) + ", made by change " + result.winner.value()
                           + "; expected version " + std::to_string(change.expected.value()));
    }
    if (result.code != ResultCode::Ok) {
        return failure(result.code, "change " + change.id.value() + " of " + subject);
    }
    context.out << subject << (change.kind == ContractChange::Kind::Put ? " has version " : " is withdrawn with version ") << result.version
                << " (change " << change.id << ")\n";
    return {};
}

Result<void> submitChange(const CommandContext &context, ContractChange change)
{
    Result<ChangeId> id = changeIdOf(context.invocation);
    if (!id) {
        return tl::make_unexpected(id.error());
    }
    change.id = std::move(*id);
    Result<ChangeResult> result = context.client.change(change);
    if (result) {
        return reportResult(context, change, *result);
    }
    if (result.error().code == ResultCode::ChangeOutcomeUnknown) {
        result.error().detail += "\nTo learn the result, repeat the command with --change_id=" + change.id.value()
            + " --expect=" + std::to_string(change.expected.value());
    }
    return tl::make_unexpected(result.error());
}

}

Result<void> contractList(const CommandContext &context)
{
    const Result<std::vector<Contract>> contracts = context.client.get(OperatorsApi::ContractsPath).and_then(contractsFromJson);
    if (!contracts) {
        return tl::make_unexpected(contracts.error());
    }
    context.out << std::left << std::setw(NameWidth) << "customer" << std::right;
    for (const char *it : { "version", "services", "rate/s", "burst", "concurrency" }) {
        context.out << std::setw(NumberWidth) << it;
    }
    context.out << '\n';
    for (const Contract &it : *contracts) {
        context.out << std::left << std::setw(NameWidth) << it.customer.value() << std::right << std::setw(NumberWidth)
                    << it.version.value() << std::setw(NumberWidth) << it.services.size() << std::setw(NumberWidth) << it.ratePerSecond
                    << std::setw(NumberWidth) << it.burst << std::setw(NumberWidth) << it.concurrency << '\n';
    }
    return {};
}

Result<void> contractShow(const CommandContext &context)
{
    if (!isName(context.arguments[0])) {
        return failure(ResultCode::UsageError, context.arguments[0] + " is not the name of a customer");
    }
    const Result<Contract> contract = context.client.get(contractPath(context.arguments[0])).and_then(contractFromJson);
    if (!contract) {
        return tl::make_unexpected(contract.error());
    }
    return parseJsonObject(toJson(*contract)).map([&](const Poco::JSON::Object::Ptr &object) {
        object->stringify(context.out, 2);
        context.out << '\n';
    });
}

Result<void> contractPut(const CommandContext &context)
{
    const std::string &path = context.arguments[0];
    const Result<std::string> text = readFile(path);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    const Result<Contract> contract = contractFromJson(*text);
    if (!contract) {
        return failure(contract.error().code, path + ": " + contract.error().detail);
    }
    ContractChange change;
    change.kind = ContractChange::Kind::Put;
    change.customer = contract->customer;
    change.expected = Version(context.invocation.expectedVersion.value_or(contract->version.value()));
    change.contract = *contract;
    change.contract.version = Version();
    return submitChange(context, std::move(change));
}

Result<void> contractWithdraw(const CommandContext &context)
{
    if (!isName(context.arguments[0])) {
        return failure(ResultCode::UsageError, context.arguments[0] + " is not the name of a customer");
    }
    if (!context.invocation.expectedVersion) {
        return failure(ResultCode::UsageError, "contract withdraw needs --expect with the version to withdraw; contract list shows it");
    }
    ContractChange change;
    change.kind = ContractChange::Kind::Withdraw;
    change.customer = CustomerId(context.arguments[0]);
    change.expected = Version(*context.invocation.expectedVersion);
    return submitChange(context, std::move(change));
}

}
