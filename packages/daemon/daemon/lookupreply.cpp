#include "daemon/lookupreply.h"

#include <chrono>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

namespace Galenabarrow::Daemon
{

std::optional<DataCentreId> dataCentreOf(const HttpRequest &request)
{
    try {
        for (const auto &[name, value] : Poco::URI(request.head.getURI()).getQueryParameters()) {
            if (name == "dc" && !value.empty()) {
                return DataCentreId(value);
            }
        }
    } catch (const Poco::Exception &) {
        // A malformed query names no data centre.
    }
    return std::nullopt;
}

HttpReply lookupReply(const Membership::DirectoryAnswer &answer)
{
    Poco::JSON::Array::Ptr entries = new Poco::JSON::Array;
    for (const Membership::ListedEntry &it : answer.entries) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("instance", it.instance.value());
        entry->set("address", it.address);
        entry->set("dc", it.dataCentre.value());
        entry->set("keyScope", it.keyScope);
        entries->add(entry);
    }
    Poco::JSON::Object object;
    object.set("entries", entries);
    object.set("maxAgeSeconds", std::chrono::duration_cast<std::chrono::seconds>(answer.maxAge).count());
    std::ostringstream text;
    object.stringify(text);
    HttpReply reply;
    reply.headers.emplace_back("Cache-Control",
                               "max-age=" + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(answer.maxAge).count()));
    reply.body = text.str();
    return reply;
}

}
