#include "coordination/feed.h"

#include <algorithm>
#include <cmath>
#include <limits>

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

std::unique_ptr<Fb::EntryRowT> packEntry(const EntryInfo &entry, Duration age)
{
    auto to = std::make_unique<Fb::EntryRowT>();
    to->name = entry.name.value();
    to->address = entry.address;
    to->data_centre = entry.dataCentre.value();
    to->is_ready = entry.isReady;
    to->age = age.count();
    return to;
}

EntryInfo unpackEntry(const Fb::EntryRowT &from)
{
    return EntryInfo { InstanceId(from.name), from.address, DataCentreId(from.data_centre), from.is_ready };
}

std::unique_ptr<Fb::CoreRowT> packCore(const CoreInstance &core)
{
    auto to = std::make_unique<Fb::CoreRowT>();
    to->address = core.name.value();
    to->data_centre = core.dataCentre.value();
    return to;
}

std::uint16_t toShortMilliseconds(Duration age)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(milliseconds, 0, std::numeric_limits<std::uint16_t>::max()));
}

std::unique_ptr<Fb::LimitRowT> packLimit(const ServerLimit &limit, double share = 0)
{
    auto to = std::make_unique<Fb::LimitRowT>();
    to->server = limit.server.value();
    to->born = limit.born;
    to->per_second = limit.perSecond.value_or(-1);
    to->age = limit.age.count();
    to->share = share;
    return to;
}

ServerLimit unpackLimit(const Fb::LimitRowT &from)
{
    ServerLimit limit { ServerId(from.server), from.born, std::nullopt, Duration(from.age) };
    if (from.per_second >= 0) {
        limit.perSecond = from.per_second;
    }
    return limit;
}

bool areValid(const std::vector<std::unique_ptr<Fb::LimitRowT>> &rows)
{
    return std::all_of(rows.begin(), rows.end(), [](const auto &it) { return std::isfinite(it->per_second) && std::isfinite(it->share); });
}

void packCrashes(const std::vector<CrashFact> &facts, std::vector<std::unique_ptr<Fb::CrashRowT>> &rows)
{
    for (const CrashFact &it : facts) {
        auto to = std::make_unique<Fb::CrashRowT>();
        to->place = it.mark.place;
        to->digest_high = it.mark.digestHigh;
        to->digest_low = it.mark.digestLow;
        to->server = it.server.value();
        to->born = it.born;
        to->age = it.age.count();
        rows.push_back(std::move(to));
    }
}

std::vector<CrashFact> unpackCrashes(const std::vector<std::unique_ptr<Fb::CrashRowT>> &rows)
{
    std::vector<CrashFact> facts;
    for (const auto &it : rows) {
        const RequestMark mark { it->place, it->digest_high, it->digest_low };
        facts.push_back(CrashFact { mark, ServerId(it->server), it->born, std::max(Duration {}, Duration(it->age)) });
    }
    return facts;
}

void packCold(const FeedUpdate &update, Fb::FeedUpdateT &to)
{
    to.cold_index = update.coldIndex.value();
    to.has_cold_shares = update.coldShares.has_value();
    for (const ColdShare &it : update.coldShares.value_or(std::vector<ColdShare> {})) {
        to.cold.push_back(it.server.value());
        to.cold_shares.push_back(it.perSecond);
        to.cold_first.push_back(it.isFirst);
    }
}

void unpackCold(const Fb::FeedUpdateT &from, FeedUpdate &update)
{
    update.coldIndex = LogIndex(from.cold_index);
    if (!from.has_cold_shares) {
        return;
    }
    std::vector<ColdShare> &shares = update.coldShares.emplace();
    for (std::size_t n = 0; n < from.cold.size(); ++n) {
        shares.push_back(
            ColdShare { ServerId(from.cold[n]), std::max(0.0F, from.cold_shares[n]), n < from.cold_first.size() && from.cold_first[n] });
    }
}

CoreInstance unpackCore(const Fb::CoreRowT &from)
{
    return CoreInstance { InstanceId(from.address), DataCentreId(from.data_centre) };
}

}

std::vector<std::uint8_t> encode(const EntryReport &report)
{
    Fb::EntryReportT to;
    to.row = packEntry(report.entry, {});
    to.known_index = report.knownIndex.value();
    to.received_bytes = report.receivedBytes;
    for (const ServerLimit &it : report.limits) {
        to.limits.push_back(packLimit(it));
    }
    packCrashes(report.crashes, to.crashes);
    return encodeTable<Fb::EntryReport>(to);
}

Result<EntryReport> decodeEntryReport(std::span<const std::uint8_t> bytes)
{
    const auto from = decodeTable<Fb::EntryReport>(bytes);
    if (from == nullptr || from->row == nullptr || !areValid(from->limits)) {
        return malformed("entry report");
    }
    EntryReport report { unpackEntry(*from->row), LogIndex(from->known_index), from->received_bytes, {}, unpackCrashes(from->crashes) };
    for (const auto &it : from->limits) {
        report.limits.push_back(unpackLimit(*it));
    }
    return report;
}

std::vector<std::uint8_t> encode(const FeedUpdate &update)
{
    Fb::FeedUpdateT to;
    to.index = update.index.value();
    to.is_whole = update.isWhole;
    to.confirmed_age = update.confirmedAge ? update.confirmedAge->count() : -1;
    if (update.config) {
        to.config = Routing::pack(*update.config);
    }
    to.config_at = update.configAt.value();
    for (const Routing::BackendServer &it : update.servers) {
        to.servers.push_back(Routing::pack(it));
    }
    for (const Routing::Evacuation &it : update.evacuations) {
        to.evacuations.push_back(Routing::pack(it));
    }
    for (const ServerId &it : update.silent) {
        to.silent.push_back(it.value());
    }
    to.entry_count = update.entryCount;
    for (const CoreInstance &it : update.core) {
        to.core.push_back(packCore(it));
    }
    for (const LimitShare &it : update.limits) {
        to.limits.push_back(packLimit(it.limit, it.perSecond));
    }
    packCrashes(update.crashes, to.crashes);
    packCold(update, to);
    return encodeTable<Fb::FeedUpdate>(to);
}

Result<FeedUpdate> decodeFeedUpdate(std::span<const std::uint8_t> bytes)
{
    const auto from = decodeTable<Fb::FeedUpdate>(bytes);
    if (from == nullptr || !areValid(from->limits) || from->cold.size() != from->cold_shares.size()
        || !std::all_of(from->cold_shares.begin(), from->cold_shares.end(), [](float it) { return std::isfinite(it); })) {
        return malformed("feed update");
    }
    FeedUpdate update;
    update.index = LogIndex(from->index);
    update.isWhole = from->is_whole;
    if (from->confirmed_age >= 0) {
        update.confirmedAge = Duration(from->confirmed_age);
    }
    if (from->config != nullptr) {
        update.config = Routing::unpack(*from->config);
    }
    update.configAt = LogIndex(from->config_at);
    for (const auto &it : from->servers) {
        update.servers.push_back(Routing::unpack(*it));
    }
    for (const auto &it : from->evacuations) {
        update.evacuations.push_back(Routing::unpack(*it));
    }
    for (const std::string &it : from->silent) {
        update.silent.emplace_back(it);
    }
    update.entryCount = std::max(1U, from->entry_count);
    for (const auto &it : from->core) {
        update.core.push_back(unpackCore(*it));
    }
    for (const auto &it : from->limits) {
        update.limits.push_back(LimitShare { unpackLimit(*it), std::max(0.0, it->share) });
    }
    update.crashes = unpackCrashes(from->crashes);
    unpackCold(*from, update);
    return update;
}

std::vector<std::uint8_t> encode(const CoreReport &report)
{
    Fb::CoreReportT to;
    to.row = packCore(report.core);
    for (const ServerId &it : report.heard) {
        to.heard.push_back(it.value());
    }
    for (const CoreReport::Entry &it : report.entries) {
        to.entries.push_back(packEntry(it.info, it.age));
        to.entries.back()->is_lost = it.isLost;
    }
    for (const CoreReport::Alive &it : report.alive) {
        to.alive.push_back(it.name.value());
        to.alive_ages_ms.push_back(toShortMilliseconds(it.age));
    }
    for (const ServerLimit &it : report.limits) {
        to.limits.push_back(packLimit(it));
    }
    packCrashes(report.crashes, to.crashes);
    return encodeTable<Fb::CoreReport>(to);
}

Result<CoreReport> decodeCoreReport(std::span<const std::uint8_t> bytes)
{
    const auto from = decodeTable<Fb::CoreReport>(bytes);
    if (from == nullptr || from->row == nullptr || from->alive.size() != from->alive_ages_ms.size() || !areValid(from->limits)) {
        return malformed("core report");
    }
    CoreReport report;
    report.core = unpackCore(*from->row);
    for (const std::string &it : from->heard) {
        report.heard.emplace_back(it);
    }
    for (std::size_t n = 0; n < from->alive.size(); ++n) {
        report.alive.push_back(CoreReport::Alive { InstanceId(from->alive[n]), std::chrono::milliseconds(from->alive_ages_ms[n]) });
    }
    for (const auto &it : from->entries) {
        report.entries.push_back(CoreReport::Entry { unpackEntry(*it), Duration(it->age), it->is_lost });
    }
    for (const auto &it : from->limits) {
        report.limits.push_back(unpackLimit(*it));
    }
    report.crashes = unpackCrashes(from->crashes);
    return report;
}

std::vector<std::uint8_t> encodeResult(const Result<void> &result)
{
    Fb::ProposalReplyT to;
    to.code = static_cast<std::uint16_t>(result ? ResultCode::Ok : result.error().code);
    to.detail = result ? std::string() : result.error().detail;
    return encodeTable<Fb::ProposalReply>(to);
}

Result<void> decodeResult(std::span<const std::uint8_t> bytes)
{
    const auto from = decodeTable<Fb::ProposalReply>(bytes);
    if (from == nullptr) {
        return malformed("result of a proposal");
    }
    const auto code = static_cast<ResultCode>(from->code);
    if (code == ResultCode::Ok) {
        return {};
    }
    return failure(code, from->detail);
}

}
