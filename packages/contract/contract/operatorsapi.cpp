#include "contract/operatorsapi.h"

#include <limits>
#include <sstream>

#include <Poco/JSON/Object.h>

#include "contract/jsonobject.h"

namespace Galenabarrow
{

int operatorsHttpStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::HeaderMissing:
    case ResultCode::HeaderInvalid:
    case ResultCode::HeaderContradictory:
    case ResultCode::BodyMalformed:
    case ResultCode::ContractInvalid:
        return 400;
    case ResultCode::TokenWrong:
        return 401;
    case ResultCode::ContractNotFound:
    case ResultCode::PathUnknown:
    case ResultCode::NoServer:
        return 404;
    case ResultCode::ChangeIdReused:
        return 409;
    case ResultCode::VersionConflict:
        return 412;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::HeaderTooLarge:
        return 431;
    case ResultCode::NotAccepted:
    case ResultCode::NoQuorum:
    case ResultCode::NotLeader:
    case ResultCode::EntryStopping:
    case ResultCode::TooManyConnections:
        return 503;
    case ResultCode::ChangeOutcomeUnknown:
        return 504;
    default:
        return 500;
    }
}

std::string toJson(const Error &error)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("code", static_cast<unsigned>(error.code));
    object.set("detail", error.detail);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Result<Error> errorFromJson(std::string_view text)
{
    const Result<Poco::JSON::Object::Ptr> object = parseJsonObject(text);
    if (!object) {
        return tl::make_unexpected(object.error());
    }
    std::vector<std::string> faults;
    JsonFields fields(**object, "", faults);
    Error error;
    error.code = static_cast<ResultCode>(fields.number("code", std::numeric_limits<std::uint16_t>::max()));
    error.detail = fields.text("detail");
    fields.refuseOthers();
    if (faults.empty() && resultCodeName(error.code) == "Unlisted") {
        faults.emplace_back("code: is not a result code");
    }
    if (!faults.empty()) {
        return failure(ResultCode::BodyMalformed, joinLines(faults));
    }
    return error;
}

}
