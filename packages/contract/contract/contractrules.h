#pragma once

#include <string>
#include <vector>

#include "contract/contract.h"

namespace Galenabarrow
{

/// Bounds of a contract. Together they keep a contract below a quarter of the largest frame.
constexpr std::size_t MaxServicesPerContract = 64;
constexpr std::size_t MaxPathsPerService = 32;
constexpr std::size_t MaxPathLength = 96;
constexpr std::uint32_t MaxRatePerSecond = 10'000'000;
constexpr std::uint32_t MaxBurst = 10'000'000;
constexpr std::uint32_t MaxConcurrency = 1'000'000;
constexpr std::uint32_t MaxPermille = 1'000;
/// An objective of 1,000 would leave no error budget, so that no burn rate could be computed.
constexpr std::uint32_t MaxObjectivePermille = 999;
constexpr Duration MinContractDuration = std::chrono::milliseconds(1);
constexpr Duration MaxContractDuration = std::chrono::minutes(10);

/// All faults of \p contract, each as "field: fault"; empty for a valid contract. Durations have to be whole
/// milliseconds, the unit in which the codec encodes them.
std::vector<std::string> contractFaults(const Contract &contract);

/// Fails with ContractInvalid and all faults, one per line.
Result<void> validateContract(const Contract &contract);

}
