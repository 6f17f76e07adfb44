#include "control/logstore.h"

#include <string>

namespace Galenabarrow::Control
{

bool StoreContents::isUnused() const
{
    return hardState == HardState {} && snapshot == nullptr && entries.empty();
}

Result<void> reconcile(StoreContents &contents)
{
    if (contents.entries.empty()) {
        return {};
    }
    const std::uint64_t first = contents.entries.front().index.value();
    const std::uint64_t last = contents.entries.back().index.value();
    const std::uint64_t base = contents.snapshot == nullptr ? 0 : contents.snapshot->index.value();
    if (first > base + 1) {
        return failure(ResultCode::StoreCorrupt,
                       "the log starts with entry " + std::to_string(first) + ", the snapshot ends with " + std::to_string(base));
    }
    if (first == base + 1) {
        return {};
    }
    if (last < base || contents.entries[base - first].term != contents.snapshot->term) {
        contents.entries.clear();
    }
    return {};
}

}
