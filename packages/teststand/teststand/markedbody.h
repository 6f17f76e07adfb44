#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Galenabarrow::Teststand
{

// Headers between a caller and the stand-in server; entries pass them on.
/// Names the call; the body of its response is made from it.
constexpr const char *MarkHeader = "Standin-Mark";
/// Size of the body of the response in bytes.
constexpr const char *SizeHeader = "Standin-Size";
/// Behaviour for this call, as "name" or "name=milliseconds"; see Behaviour.
constexpr const char *BehaviourHeader = "Standin-Behaviour";

/// The body of the response to the call \p mark: the mark again and again, \p size bytes in all. A part of another
/// call's response in it, or a missing part, changes it.
std::string markedBody(std::string_view mark, std::size_t size);

}
