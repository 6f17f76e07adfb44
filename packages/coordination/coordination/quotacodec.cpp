#include "coordination/quotacodec.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

#include "routing/codec.h"

namespace Galenabarrow::Coordination
{

namespace Fb = Routing::Fb;
using Routing::decodeTable;
using Routing::encodeTable;

namespace
{

tl::unexpected<Error> malformed(const char *what)
{
    return failure(ResultCode::FrameMalformed, std::string("FlatBuffers verification of the ") + what + " failed");
}

std::uint64_t tagOf(const AccountId &account)
{
    return XXH3_64bits(account.value().data(), account.value().size());
}

std::vector<Fb::QuotaCount> packCounts(const std::vector<Quota::AccountUsage> &accounts)
{
    std::vector<Fb::QuotaCount> counts;
    counts.reserve(accounts.size());
    for (const Quota::AccountUsage &it : accounts) {
        // Modulo 2^32; negative counts become positive ones that the receiver turns back.
        counts.emplace_back(tagOf(it.account), static_cast<std::uint32_t>(it.admitted), static_cast<std::uint32_t>(it.rejected));
    }
    return counts;
}

std::vector<Quota::AccountUsage> unpackCounts(const std::vector<Fb::QuotaCount> &counts, const AccountTags &tags)
{
    std::vector<Quota::AccountUsage> accounts;
    for (const Fb::QuotaCount &it : counts) {
        if (const auto tag = tags.find(it.account()); tag != tags.end()) {
            accounts.push_back({ tag->second, static_cast<std::int32_t>(it.admitted()), static_cast<std::int32_t>(it.rejected()) });
        }
    }
    return accounts;
}

}

AccountTags accountTags(const Quota::AccountLimits &limits)
{
    AccountTags tags;
    for (const auto &[account, limit] : limits) {
        tags.emplace(tagOf(account), account);
    }
    return tags;
}

std::vector<std::uint8_t> encode(const Quota::Usage &usage)
{
    Fb::QuotaUsageT to;
    to.period = usage.period.count();
    to.counts = packCounts(usage.accounts);
    return encodeTable<Fb::QuotaUsage>(to);
}

Result<Quota::Usage> decodeQuotaUsage(std::span<const std::uint8_t> bytes, const AccountTags &tags)
{
    const auto from = decodeTable<Fb::QuotaUsage>(bytes);
    if (from == nullptr) {
        return malformed("usage of quotas");
    }
    return Quota::Usage { Duration(from->period), unpackCounts(from->counts, tags) };
}

std::vector<std::uint8_t> encode(const Quota::Totals &totals)
{
    Fb::QuotaTotalsT to;
    to.number = totals.number;
    to.counts = packCounts(totals.accounts);
    return encodeTable<Fb::QuotaTotals>(to);
}

Result<Quota::Totals> decodeQuotaTotals(std::span<const std::uint8_t> bytes, const AccountTags &tags)
{
    const auto from = decodeTable<Fb::QuotaTotals>(bytes);
    if (from == nullptr) {
        return malformed("totals of quotas");
    }
    return Quota::Totals { from->number, unpackCounts(from->counts, tags) };
}

std::vector<std::uint8_t> encode(const Quota::Fractions &fractions)
{
    Fb::QuotaFractionsT to;
    for (const Quota::AccountFraction &it : fractions) {
        to.fractions.emplace_back(tagOf(it.account), static_cast<float>(it.fraction));
    }
    return encodeTable<Fb::QuotaFractions>(to);
}

Result<Quota::Fractions> decodeQuotaFractions(std::span<const std::uint8_t> bytes, const AccountTags &tags)
{
    const auto from = decodeTable<Fb::QuotaFractions>(bytes);
    if (from == nullptr) {
        return malformed("fractions of quotas");
    }
    Quota::Fractions fractions;
    for (const Fb::QuotaFraction &it : from->fractions) {
        if (!std::isfinite(it.fraction())) {
            return malformed("fractions of quotas");
        }
        if (const auto tag = tags.find(it.account()); tag != tags.end()) {
            fractions.push_back({ tag->second, std::clamp<double>(it.fraction(), 0, 1) });
        }
    }
    return fractions;
}

}
