#include "daemon/announcementinput.h"

#include <chrono>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>

#include "contract/jsonobject.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr std::uint64_t MaxSlots = 10'000;

bool flagOf(const Poco::JSON::Object &object, const std::string &name, std::vector<std::string> &faults)
{
    if (!object.has(name)) {
        return false;
    }
    const Poco::Dynamic::Var value = object.get(name);
    if (!value.isBoolean()) {
        faults.push_back(name + ": expected true or false");
        return false;
    }
    return value.convert<bool>();
}

}

Result<Membership::ServerAnnouncement> parseAnnouncement(std::string_view body)
{
    const Result<Poco::JSON::Object::Ptr> object = parseJsonObject(body);
    if (!object) {
        return tl::make_unexpected(object.error());
    }
    std::vector<std::string> faults;
    JsonFields fields(**object, {}, faults);
    Membership::ServerAnnouncement announcement;
    announcement.server = ServerId(fields.text("server"));
    announcement.incarnation = Incarnation(fields.number("incarnation", std::numeric_limits<std::uint64_t>::max()));
    announcement.sequence = SequenceNumber(fields.number("sequence", std::numeric_limits<std::uint64_t>::max()));
    announcement.inFlight = static_cast<std::uint32_t>(fields.number("inFlight", MaxSlots));
    announcement.leaving = flagOf(**object, "leaving", faults);
    announcement.info.service = ServiceId(fields.text("service"));
    announcement.info.address = fields.text("address");
    announcement.info.dataCentre = DataCentreId(fields.text("dc"));
    announcement.info.slots = static_cast<std::uint32_t>(fields.number("slots", MaxSlots));
    announcement.info.coldStart = flagOf(**object, "coldStart", faults);
    if (faults.empty()) {
        return announcement;
    }
    std::string detail;
    for (const std::string &it : faults) {
        detail += detail.empty() ? it : "\n" + it;
    }
    return failure(ResultCode::AnnouncementInvalid, detail);
}

HttpReply announcementReply(Duration lease)
{
    Poco::JSON::Object object;
    object.set("leaseMs", std::chrono::duration_cast<std::chrono::milliseconds>(lease).count());
    std::ostringstream text;
    object.stringify(text);
    HttpReply reply;
    reply.body = text.str();
    return reply;
}

}
