#include "gateway/markbuilder.h"

#include <cstring>
#include <initializer_list>

#include <Poco/SHA2Engine.h>
#include <xxhash.h>

namespace Galenabarrow::Gateway
{

namespace
{

std::string_view valueOf(const Http::Request &request, std::string_view name)
{
    const std::string *value = request.fields.find(name);
    return value == nullptr ? std::string_view() : *value;
}

}

std::uint64_t placeOf(const Http::Request &request)
{
    std::uint64_t hash = 0;
    for (const std::string_view it : { std::string_view(request.method), valueOf(request, "Host"), std::string_view(request.target) }) {
        hash = XXH3_64bits_withSeed(it.data(), it.size(), hash);
    }
    return hash;
}

Coordination::RequestMark markOf(const Http::Request &request)
{
    Poco::SHA2Engine engine;
    const std::initializer_list<std::string_view> parts = { request.method, valueOf(request, "Host"), request.target,
                                                            valueOf(request, "Authorization"), request.body };
    for (const std::string_view it : parts) {
        const std::uint64_t size = it.size(); // so that bytes cannot move from one part to the next
        engine.update(&size, sizeof size);
        engine.update(it.data(), it.size());
    }
    Coordination::RequestMark mark;
    mark.place = placeOf(request);
    const Poco::DigestEngine::Digest &digest = engine.digest();
    std::memcpy(&mark.digestHigh, digest.data(), sizeof mark.digestHigh);
    std::memcpy(&mark.digestLow, digest.data() + sizeof mark.digestHigh, sizeof mark.digestLow);
    return mark;
}

}
