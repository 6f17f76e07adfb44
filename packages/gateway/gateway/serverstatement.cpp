#include "gateway/serverstatement.h"

#include "gateway/requestfields.h"

namespace Galenabarrow::Gateway
{

namespace
{

constexpr unsigned MisdirectedStatus = 421;

ServerStatement read(const Http::Response &response, const HeaderNames &names, StatementSource source)
{
    return ServerStatement { source,
                             response.status,
                             readLimitField(response.fields, names.serverLimit),
                             readNoticeFields(response, names.serverLeaving, names.retryAfter),
                             {} };
}

}

std::optional<ServerStatement> readStatement(const Http::Response &response, const HeaderNames &names, const ServerId &server,
                                             std::string_view requestId)
{
    const std::string *id = response.fields.find(names.requestId);
    const std::string *sender = response.fields.find(names.serverId);
    const bool isRejection = response.fields.find(names.notExecuted) != nullptr;
    const bool isSigned = response.fields.find(names.serverStamp) != nullptr;
    const bool isOtherServer = response.status == MisdirectedStatus || (sender != nullptr && *sender != server.value());
    if (id == nullptr || *id != requestId || isOtherServer || (!isRejection && !isSigned)) {
        return std::nullopt;
    }
    return read(response, names, isRejection ? StatementSource::Rejection : StatementSource::Response);
}

std::optional<ServerStatement> readProbeStatement(const Http::Response &response, const HeaderNames &names, const ServerId &server)
{
    const std::string *sender = response.fields.find(names.serverId);
    if (sender == nullptr || *sender != server.value()) {
        return std::nullopt;
    }
    ServerStatement statement = read(response, names, StatementSource::Probe);
    statement.coldLeft = parseMilliseconds(response.fields.find(names.coldMilliseconds));
    return statement;
}

}
