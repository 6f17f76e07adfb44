#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "actions/actionkey.h"
#include "base/clock.h"
#include "base/id.h"
#include "base/outcome.h"
#include "base/resultcode.h"

namespace Galenabarrow::Entry
{

/// A call as submitted to the call engine.
struct CallRequest {
    CustomerId customer;
    ServiceId service;
    /// True when the call may run more than once.
    bool idempotent = false;
    /// Set for actions only.
    std::optional<Actions::ActionKey> actionKey;
    /// The time by which the caller needs the answer.
    Instant deadline {};
    /// Number of calls up the call chain that wait for this one; 0 for an external call.
    std::uint8_t depth = 0;
    /// True when an upstream hop already retries this call; it is then neither retried nor hedged here.
    bool isRetryUpstream = false;
};

/// How one attempt at a server ended.
enum class AttemptEnd : std::uint8_t {
    /// A complete answer was received.
    Answered,
    /// The server sent its documented refusal, so it did not run the call.
    RefusedByServer,
    /// No connection could be established; no byte was sent.
    ConnectFailed,
    /// The connection failed before any byte of the request was written to it.
    FailedBeforeSend,
    /// The connection failed after bytes were written to it; the call may have run.
    FailedAfterSend,
    /// No answer by the attempt's deadline; the call may have run.
    TimedOut,
    /// Cancelled by the engine; the call may have run.
    Cancelled,
};

/// True when \p end proves that the server did not run the call.
bool provesNotRun(AttemptEnd end);
/// The result code of a call whose last attempt ended with \p end.
ResultCode codeOf(AttemptEnd end);

/// The load that a server reported in an answer.
struct ServerLoad {
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
};

/// The result of one attempt, reported to the call engine by the I/O layer.
struct AttemptReport {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Answered;
    /// Set only for a complete answer.
    std::uint16_t httpStatus = 0;
    Duration elapsed {};
    std::optional<ServerLoad> load;
    /// The time before which the server asks for no more calls.
    std::optional<Instant> resetAt;
};

/// Effect: send the call to a server.
struct DispatchAttempt {
    CallId call;
    AttemptId attempt;
    ServerId server;
    Instant deadline {};
    /// 0 for the first attempt of a call.
    std::uint8_t number = 0;
    bool isHedge = false;
};

/// Effect: cancel an attempt. Its end still has to be reported.
struct CancelAttempt {
    AttemptId attempt;
};

/// Effect: end the call with this outcome. Emitted exactly once for each call.
struct FinishCall {
    CallId call;
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    /// The attempt whose answer is returned to the caller; only for Outcome::Answered.
    AttemptId winner;
};

using Effect = std::variant<DispatchAttempt, CancelAttempt, FinishCall>;

}
