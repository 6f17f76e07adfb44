#pragma once

#include <string>
#include <string_view>

#include "base/resultcode.h"

namespace Galenabarrow
{

/// Names of the operators' HTTP interface, shared by the daemon and galenabarrowctl.
namespace OperatorsApi
{
constexpr const char *ContractsPath = "/v1/contracts";
constexpr const char *StatusPath = "/v1/status";
constexpr const char *MetricsPath = "/metrics";
constexpr const char *BurnPath = "/v1/burn";
constexpr const char *ServersPath = "/v1/servers";
/// Last part of the path that drains a server: ServersPath/<server>/drain.
constexpr const char *DrainAction = "drain";
/// Id of a change; a resend under the same id returns the first result.
constexpr const char *ChangeIdHeader = "Galenabarrow-Change-Id";
/// The version that the operator saw; 0 for a customer without a contract.
constexpr const char *ExpectedVersionHeader = "If-Match";
/// Number of the result code of every response.
constexpr const char *CodeHeader = "Galenabarrow-Code";
}

/// The JSON text {"code": <number>, "name": "...", "detail": "..."} of every response that is neither a success nor a
/// change result.
std::string toJson(const Error &error);
/// Reads what toJson wrote. Fails with BodyMalformed.
Result<Error> errorFromJson(std::string_view text);

}
