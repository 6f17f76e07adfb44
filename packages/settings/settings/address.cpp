#include "settings/address.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

#include <Poco/Net/IPAddress.h>

namespace Galenabarrow::Settings
{

namespace
{

struct HostAndPort {
    Poco::Net::IPAddress host;
    std::uint16_t port = 0;
};

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return port;
}

std::optional<HostAndPort> parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool hasBrackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (hasBrackets) {
        host = host.substr(1, host.size() - 2);
    }
    const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
    HostAndPort result;
    if (!port || host.find('\0') != std::string_view::npos || !Poco::Net::IPAddress::tryParse(std::string(host), result.host)) {
        return std::nullopt;
    }
    if (hasBrackets != (result.host.family() == Poco::Net::IPAddress::IPv6)) {
        return std::nullopt;
    }
    result.port = *port;
    return result;
}

}

bool isAddress(std::string_view text, AddressUse use)
{
    const std::optional<HostAndPort> address = parse(text);
    return address && (use == AddressUse::Listen || (address->port != 0 && !address->host.isWildcard()));
}

bool isWildcard(std::string_view text)
{
    const std::optional<HostAndPort> address = parse(text);
    return address && address->host.isWildcard();
}

}
