#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Galenabarrow::Teststand
{

// Headers from a caller to the stand-in server; entries forward them.
/// Unique mark of the call; the response body is generated from it.
constexpr const char *MarkHeader = "Standin-Mark";
/// Size of the response body in bytes.
constexpr const char *SizeHeader = "Standin-Size";
/// Behaviour that the server applies to this call, as "name" or "name=milliseconds"; see Behaviour.
constexpr const char *BehaviourHeader = "Standin-Behaviour";

/// The response body for the call with the mark \p mark: the mark repeated up to \p size bytes. A receiver that compares it
/// detects missing parts and parts of the response to another call.
std::string markedBody(std::string_view mark, std::size_t size);

}
