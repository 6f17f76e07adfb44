#include "membership/record.h"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace Galenabarrow::Membership
{

namespace
{

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxAddressLength = 64;
// Fits an instance name, 16 hex digits, 10 digits and 2 dots.
constexpr std::size_t MaxScopeLength = 96;
constexpr std::uint32_t MaxSlots = 10000;

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool isAddress(const std::string &text)
{
    return text.size() <= MaxAddressLength && text.find(':') != std::string::npos && text.find(' ') == std::string::npos;
}

const char *validationError(const ServerInfo &info)
{
    if (!isName(info.service.value())) {
        return "the service is empty, too long, or has invalid characters";
    }
    if (!isName(info.dataCentre.value())) {
        return "the data centre is empty, too long, or has invalid characters";
    }
    if (!isAddress(info.address)) {
        return "the address is not host:port";
    }
    return info.slots == 0 || info.slots > MaxSlots ? "the slots are not between 1 and 10000" : nullptr;
}

const char *validationError(const InstanceInfo &info)
{
    if (!isName(info.dataCentre.value())) {
        return "the data centre is empty, too long, or has invalid characters";
    }
    if (!isAddress(info.peerAddress) || (!info.callerAddress.empty() && !isAddress(info.callerAddress))) {
        return "an address is not host:port";
    }
    return info.keyScope.size() > MaxScopeLength ? "the key scope is too long" : nullptr;
}

const char *validationError(const ProbeInfo &)
{
    return nullptr;
}

}

std::uint64_t announcerHash(const RecordKey &key, Incarnation incarnation)
{
    return XXH3_64bits_withSeed(key.id.data(), key.id.size(), incarnation.value() + static_cast<std::uint64_t>(key.kind));
}

std::uint64_t announcerHash(const Record &record)
{
    return announcerHash(record.key, record.incarnation);
}

bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

Result<void> validate(const Record &record)
{
    const char *error = nullptr;
    if (!isName(record.key.id)) {
        error = "the name is empty, too long, or has invalid characters";
    } else if (record.incarnation == Incarnation(0)) {
        error = "the incarnation is 0";
    } else {
        error = std::visit([](const auto &body) { return validationError(body); }, record.body);
    }
    if (error != nullptr) {
        return failure(ResultCode::AnnouncementInvalid, error);
    }
    return {};
}

Record toRecord(const ServerAnnouncement &announcement, Instant now)
{
    Record record;
    record.key = { RecordKind::Server, announcement.server.value() };
    record.incarnation = announcement.incarnation;
    record.sequence = announcement.sequence;
    record.leaving = announcement.leaving;
    record.loadSequence = announcement.sequence;
    record.load = static_cast<std::uint16_t>(std::min<std::uint32_t>(announcement.inFlight, std::numeric_limits<std::uint16_t>::max()));
    record.lastContactAt = now;
    record.body = announcement.info;
    return record;
}

}
