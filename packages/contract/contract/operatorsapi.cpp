#include "contract/operatorsapi.h"

#include <limits>
#include <sstream>

#include <Poco/JSON/Object.h>

#include "contract/jsonobject.h"

namespace Galenabarrow
{

std::string toJson(const Error &error)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("code", static_cast<unsigned>(error.code));
    object.set("name", std::string(resultCodeName(error.code)));
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
    const std::string name = fields.text("name");
    error.detail = fields.text("detail");
    fields.rejectUnknownFields();
    if (faults.empty() && (resultCodeName(error.code) == "Unlisted" || resultCodeName(error.code) != name)) {
        faults.emplace_back("code: is not the result code " + name);
    }
    if (!faults.empty()) {
        return failure(ResultCode::BodyMalformed, joinLines(faults));
    }
    return error;
}

}
