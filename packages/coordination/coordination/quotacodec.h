#pragma once

#include <span>
#include <vector>

#include "base/resultcode.h"
#include "quota/quota.h"

namespace Galenabarrow::Coordination
{

/// Maps the hashes that identify accounts in messages to accounts.
using AccountTags = std::map<std::uint64_t, AccountId>;

AccountTags accountTags(const Quota::AccountLimits &limits);

// The decoders verify the buffer first and fail with FrameMalformed. They leave out accounts that are not in \p tags: the
// sender may have another version of the configuration.

std::vector<std::uint8_t> encode(const Quota::Usage &usage);
Result<Quota::Usage> decodeQuotaUsage(std::span<const std::uint8_t> bytes, const AccountTags &tags);
std::vector<std::uint8_t> encode(const Quota::Totals &totals);
Result<Quota::Totals> decodeQuotaTotals(std::span<const std::uint8_t> bytes, const AccountTags &tags);
std::vector<std::uint8_t> encode(const Quota::Fractions &fractions);
Result<Quota::Fractions> decodeQuotaFractions(std::span<const std::uint8_t> bytes, const AccountTags &tags);

}
