#pragma once

#include <span>
#include <string>
#include <string_view>

#include "contract/contract.h"

namespace Galenabarrow
{

/// The JSON text of a contract; durations are in whole milliseconds.
std::string toJson(const Contract &contract);
/// The JSON text {"contracts": [...]}.
std::string toJson(std::span<const Contract> contracts);
std::string toJson(const ChangeResult &result);

/// Reads and validates a contract. The version may be missing, since the state machine sets it. Fails with BodyMalformed
/// for a text that is not a JSON object, or with ContractInvalid and all faults, one per line.
Result<Contract> contractFromJson(std::string_view text);
/// Reads what toJson wrote for several contracts. Fails as contractFromJson does.
Result<std::vector<Contract>> contractsFromJson(std::string_view text);
/// Fails with BodyMalformed.
Result<ChangeResult> changeResultFromJson(std::string_view text);

}
