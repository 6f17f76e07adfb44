#include "net/socketaddress.h"

#include <charconv>

#include <arpa/inet.h>

namespace Galenabarrow::Net
{

std::string SocketAddress::text() const
{
    return host + ":" + std::to_string(port);
}

std::optional<sockaddr_in> SocketAddress::toNative() const
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &native.sin_addr) != 1) {
        return std::nullopt;
    }
    return native;
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    SocketAddress address;
    address.host = std::string(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    const bool isWhole = ec == std::errc() && end == port.data() + port.size();
    if (!isWhole || address.port == 0 || !address.toNative()) {
        return std::nullopt;
    }
    return address;
}

}
