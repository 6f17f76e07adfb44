#include "contract/contractrules.h"

#include <algorithm>
#include <set>

#include "base/name.h"

namespace Galenabarrow
{

namespace
{

using FaultList = std::vector<std::string>;

struct NumberBound {
    const char *field;
    std::uint32_t Contract::*member;
    std::uint32_t min;
    std::uint32_t max;
};

constexpr NumberBound ContractBounds[] = {
    { "ratePerSecond", &Contract::ratePerSecond, 1, MaxRatePerSecond },
    { "burst", &Contract::burst, 0, MaxBurst },
    { "concurrency", &Contract::concurrency, 1, MaxConcurrency },
    { "objectivePermille", &Contract::objectivePermille, 1, MaxObjectivePermille },
};

void checkNumber(const std::string &field, std::uint64_t value, std::uint64_t min, std::uint64_t max, FaultList &faults)
{
    if (value < min || value > max) {
        faults.push_back(field + ": expected " + std::to_string(min) + " to " + std::to_string(max) + ", found " + std::to_string(value));
    }
}

void checkDuration(const std::string &field, Duration value, FaultList &faults)
{
    constexpr Duration Unit = std::chrono::milliseconds(1);
    if (value < MinContractDuration || value > MaxContractDuration || value % Unit != Duration::zero()) {
        faults.push_back(field + ": expected " + std::to_string(MinContractDuration / Unit) + " to "
                         + std::to_string(MaxContractDuration / Unit) + " whole milliseconds, found " + std::to_string(value.count())
                         + " microseconds");
    }
}

void checkName(const std::string &field, const std::string &value, FaultList &faults)
{
    if (!isName(value)) {
        faults.push_back(field + ": expected 1 to " + std::to_string(MaxNameLength) + " letters, digits, '.', '_' or '-'");
    }
}

// Only characters that a request line carries without escapes. A path with an escape would be ambiguous: a request could
// match its encoded or its decoded form.
bool isPathCharacter(char it)
{
    return it > ' ' && it <= '~' && it != '?' && it != '#' && it != '%' && it != '"' && it != '\\';
}

bool isPath(const std::string &path)
{
    const bool hasDotSegment = (path + '/').find("/../") != std::string::npos || (path + '/').find("/./") != std::string::npos;
    return path.starts_with('/') && path.size() <= MaxPathLength && !hasDotSegment
        && std::all_of(path.begin(), path.end(), isPathCharacter);
}

void checkPaths(const std::string &field, const std::vector<std::string> &paths, FaultList &faults)
{
    if (paths.size() > MaxPathsPerService) {
        faults.push_back(field + ": expected at most " + std::to_string(MaxPathsPerService) + " paths, found "
                         + std::to_string(paths.size()));
        return;
    }
    std::set<std::string> seen;
    for (std::size_t n = 0; n < paths.size(); ++n) {
        const std::string position = field + '[' + std::to_string(n) + ']';
        if (!isPath(paths[n])) {
            faults.push_back(position + ": expected a path of at most " + std::to_string(MaxPathLength)
                             + " printable characters that starts with '/' and has no query, escape or dot segment");
        } else if (!seen.insert(paths[n]).second) {
            faults.push_back(position + ": is listed twice");
        }
    }
}

void checkTerms(const std::string &field, const ServiceTerms &terms, FaultList &faults)
{
    checkName(field + ".service", terms.service.value(), faults);
    checkPaths(field + ".idempotentPaths", terms.idempotentPaths, faults);
    checkDuration(field + ".maxDeadlineMs", terms.maxDeadline, faults);
    checkNumber(field + ".hedgePermille", terms.hedgePermille, 0, MaxPermille, faults);
    checkNumber(field + ".retryPermille", terms.retryPermille, 0, MaxPermille, faults);
}

void checkServices(const std::vector<ServiceTerms> &services, FaultList &faults)
{
    if (services.empty() || services.size() > MaxServicesPerContract) {
        faults.push_back("services: expected 1 to " + std::to_string(MaxServicesPerContract) + ", found "
                         + std::to_string(services.size()));
        return;
    }
    std::set<std::string> seen;
    for (std::size_t n = 0; n < services.size(); ++n) {
        const std::string field = "services[" + std::to_string(n) + ']';
        checkTerms(field, services[n], faults);
        if (!seen.insert(services[n].service.value()).second) {
            faults.push_back(field + ".service: is listed twice");
        }
    }
}

}

std::vector<std::string> contractFaults(const Contract &contract)
{
    FaultList faults;
    checkName("customer", contract.customer.value(), faults);
    checkServices(contract.services, faults);
    for (const NumberBound &it : ContractBounds) {
        checkNumber(it.field, contract.*it.member, it.min, it.max, faults);
    }
    checkDuration("objectiveLatencyMs", contract.objectiveLatency, faults);
    return faults;
}

Result<void> validateContract(const Contract &contract)
{
    std::string detail;
    for (const std::string &it : contractFaults(contract)) {
        detail += detail.empty() ? it : '\n' + it;
    }
    if (!detail.empty()) {
        return failure(ResultCode::ContractInvalid, detail);
    }
    return {};
}

}
