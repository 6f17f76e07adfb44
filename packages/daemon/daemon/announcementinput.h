#pragma once

#include <string_view>

#include "base/clock.h"
#include "base/resultcode.h"
#include "daemon/httpmessage.h"
#include "membership/record.h"

namespace Galenabarrow::Daemon
{

/// Reads the JSON body of POST /v1/announce. Fails with BodyMalformed or AnnouncementInvalid.
Result<Membership::ServerAnnouncement> parseAnnouncement(std::string_view body);
HttpReply announcementReply(Duration lease);

}
