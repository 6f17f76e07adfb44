#include "coordination/crashledger.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Coordination
{

namespace
{

/// Most crashes that are kept of one request.
constexpr std::size_t MaxCrashes = 16;
/// A crash that is later than the end of a hold by less than this belongs to a request that had been sent before the hold.
constexpr Duration InFlight = std::chrono::seconds(5);

}

CrashLedger::CrashLedger(double lateness)
    : m_lateness(lateness)
{
}

bool CrashLedger::record(const CrashFact &fact, Instant now)
{
    const Instant at = now - fact.age;
    const auto known = m_rows.find(fact.mark);
    if (known == m_rows.end()) {
        if (!fact.isCrash() || fact.age > FactLifetime) {
            return false; // nothing to clear, or forgotten
        }
        forgetOld(now);
        ++m_places[fact.mark.place];
    }
    Row &row = m_rows[fact.mark];
    const bool isNew = fact.isCrash() ? recordCrash(row, fact, at) : recordEnd(row, at);
    if (isNew) {
        row.lastFactAt = std::max(row.lastFactAt, at);
    }
    return isNew;
}

bool CrashLedger::recordCrash(Row &row, const CrashFact &fact, Instant at)
{
    const bool isKnown = std::any_of(row.crashes.begin(), row.crashes.end(),
                                     [&](const Crash &it) { return it.server == fact.server && it.born == fact.born; });
    if (isKnown || (row.clearedRevision > 0 && at <= row.clearedAt)) {
        return false;
    }
    if (row.crashes.size() >= MaxCrashes) {
        if (at <= row.crashes.back().at) {
            return false;
        }
        row.crashes.erase(row.crashes.begin() + HoldAfter); // the first ones and the last ones decide
    }
    const Crash crash { fact.server, fact.born, at, ++m_revision };
    row.crashes.insert(
        std::upper_bound(row.crashes.begin(), row.crashes.end(), crash, [](const Crash &a, const Crash &b) { return a.at < b.at; }), crash);
    return true;
}

bool CrashLedger::recordEnd(Row &row, Instant at)
{
    const std::size_t cleared = std::erase_if(row.crashes, [at](const Crash &it) { return it.at <= at; });
    if (cleared == 0) {
        return false;
    }
    row.clearedAt = std::max(row.clearedAt, at);
    row.clearedRevision = ++m_revision;
    return true;
}

Instant CrashLedger::heldUntil(const Row &row) const
{
    if (row.crashes.size() < HoldAfter) {
        return {};
    }
    Duration hold = FirstHold;
    Instant until = row.crashes[HoldAfter - 1].at + hold;
    for (std::size_t n = HoldAfter; n < row.crashes.size(); ++n) {
        if (row.crashes[n].at > until - hold + InFlight) {
            hold = std::min<Duration>(hold * 2, MaxHold);
            until = std::max(until, row.crashes[n].at + hold);
        }
    }
    return until + std::chrono::duration_cast<Duration>(hold * m_lateness);
}

bool CrashLedger::knowsPlace(std::uint64_t place) const
{
    return m_places.contains(place);
}

std::size_t CrashLedger::crashes(const RequestMark &mark) const
{
    const auto it = m_rows.find(mark);
    return it == m_rows.end() ? 0 : it->second.crashes.size();
}

Duration CrashLedger::holdTime(const RequestMark &mark, Instant now) const
{
    const auto it = m_rows.find(mark);
    return it == m_rows.end() ? Duration {} : std::max(Duration {}, heldUntil(it->second) - now);
}

std::size_t CrashLedger::heldCount(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [this, now](const auto &it) { return heldUntil(it.second) > now; }));
}

std::size_t CrashLedger::size() const
{
    return m_rows.size();
}

std::uint64_t CrashLedger::revision() const
{
    return m_revision;
}

std::vector<CrashFact> CrashLedger::factsAfter(std::uint64_t known, Instant now) const
{
    std::vector<CrashFact> facts;
    if (known >= m_revision) {
        return facts;
    }
    for (const auto &[mark, row] : m_rows) {
        if (row.clearedRevision > known) {
            facts.push_back(CrashFact { mark, ServerId(), 0, now - row.clearedAt });
        }
        for (const Crash &it : row.crashes) {
            if (it.revision > known) {
                facts.push_back(CrashFact { mark, it.server, it.born, now - it.at });
            }
        }
    }
    return facts;
}

void CrashLedger::erase(const RequestMark &mark)
{
    m_rows.erase(mark);
    const auto place = m_places.find(mark.place);
    if (--place->second == 0) {
        m_places.erase(place);
    }
}

void CrashLedger::forgetOld(Instant now)
{
    std::vector<RequestMark> old;
    for (const auto &[mark, row] : m_rows) {
        if (now - row.lastFactAt > FactLifetime && heldUntil(row) + FactLifetime < now) {
            old.push_back(mark);
        }
    }
    for (const RequestMark &it : old) {
        erase(it);
    }
    if (m_rows.size() >= MaxRequests) {
        const auto rank = [this, now](const auto &it) { return std::make_pair(heldUntil(it.second) > now, it.second.lastFactAt); };
        const auto oldest = std::min_element(m_rows.begin(), m_rows.end(), [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
        erase(RequestMark(oldest->first));
    }
}

}
