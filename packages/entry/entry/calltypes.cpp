#include "entry/calltypes.h"

namespace Galenabarrow::Entry
{

bool provesNotRun(AttemptEnd end)
{
    return end == AttemptEnd::RefusedByServer || end == AttemptEnd::ConnectFailed || end == AttemptEnd::FailedBeforeSend;
}

ResultCode codeOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return ResultCode::Ok;
    case AttemptEnd::RefusedByServer:
        return ResultCode::RefusedByServer;
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::FailedBeforeSend:
        return ResultCode::NotSent;
    case AttemptEnd::FailedAfterSend:
        return ResultCode::ConnectionLost;
    case AttemptEnd::TimedOut:
        return ResultCode::AttemptTimedOut;
    case AttemptEnd::Cancelled:
        return ResultCode::OutcomeUnknown;
    }
    return ResultCode::InternalError;
}

}
