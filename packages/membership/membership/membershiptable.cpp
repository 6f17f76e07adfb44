#include "membership/membershiptable.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace Galenabarrow::Membership
{

namespace
{

std::uint64_t hashOf(const StateVersion &version)
{
    const std::uint64_t words[] = { version.announcer, (std::uint64_t { version.sequence } << 1U) | (version.leaving ? 1U : 0U) };
    return XXH3_64bits(words, sizeof words);
}

/// The full sequence number closest to \p known whose lower half is \p low.
SequenceNumber widen(std::uint32_t low, SequenceNumber known)
{
    const auto step = static_cast<std::int32_t>(low - static_cast<std::uint32_t>(known.value()));
    return SequenceNumber(known.value() + static_cast<std::uint64_t>(static_cast<std::int64_t>(step)));
}

}

StateVersion versionOf(const Record &record)
{
    return { announcerHash(record), static_cast<std::uint32_t>(record.sequence.value()), record.leaving };
}

LoadUpdate loadOf(const Record &record, Instant now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - record.lastContactAt).count();
    const auto capped = std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint16_t>::max());
    return { announcerHash(record), static_cast<std::uint32_t>(record.loadSequence.value()), record.load,
             static_cast<std::uint16_t>(capped) };
}

MembershipTable::MembershipTable(const TableLimits &limits)
    : m_limits(limits)
{
}

Change MembershipTable::apply(const Record &record, Instant now)
{
    // Records are sent with their age. Without this check two instances could send an expired record to each other for ever.
    if (now - record.lastContactAt >= m_limits.lease) {
        return Change::None;
    }
    const auto it = m_rows.find(record.key);
    if (it == m_rows.end()) {
        return countChange(insert(record));
    }
    Row &row = it->second;
    if (record.incarnation < row.record.incarnation) {
        return Change::None;
    }
    return countChange(record.incarnation > row.record.incarnation ? replace(row, record) : merge(row, record));
}

Change MembershipTable::apply(const LoadUpdate &update, Instant now)
{
    const auto known = m_announcers.find(update.announcer);
    if (known == m_announcers.end()) {
        return Change::None;
    }
    Row &row = m_rows.at(known->second);
    const Instant lastContactAt = now - std::chrono::milliseconds(update.ageMs);
    const SequenceNumber sequence = widen(update.sequence, row.record.loadSequence);
    if (sequence <= row.record.loadSequence || now - lastContactAt >= m_limits.lease) {
        return Change::None;
    }
    row.record.loadSequence = sequence;
    row.record.load = update.load;
    row.record.lastContactAt = std::max(row.record.lastContactAt, lastContactAt);
    const bool wasLive = std::exchange(row.isLive, true);
    return countChange(wasLive ? Change::Load : Change::State);
}

bool MembershipTable::markLeaving(const RecordKey &key, Instant now)
{
    const auto it = m_rows.find(key);
    if (it == m_rows.end() || !it->second.isLive || now - it->second.record.lastContactAt >= m_limits.lease) {
        return false;
    }
    if (!it->second.record.leaving) {
        it->second.record.leaving = true;
        countChange(Change::Leaving);
    }
    return true;
}

std::vector<RecordKey> MembershipTable::expire(Instant now)
{
    std::vector<RecordKey> removed;
    for (auto &[key, row] : m_rows) {
        if (row.isLive && now - row.record.lastContactAt >= m_limits.lease) {
            row.isLive = false;
            row.removedAt = now;
            removed.push_back(key);
            countChange(Change::State);
        }
    }
    purgeTombstones(now);
    return removed;
}

const Record *MembershipTable::find(const RecordKey &key) const
{
    const auto it = m_rows.find(key);
    return it != m_rows.end() && it->second.isLive ? &it->second.record : nullptr;
}

const Record *MembershipTable::lastKnown(const RecordKey &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? nullptr : &it->second.record;
}

std::vector<const Record *> MembershipTable::live(RecordKind kind) const
{
    std::vector<const Record *> records;
    for (auto it = m_rows.lower_bound(RecordKey { kind, {} }); it != m_rows.end() && it->first.kind == kind; ++it) {
        if (it->second.isLive) {
            records.push_back(&it->second.record);
        }
    }
    return records;
}

std::vector<const Record *> MembershipTable::live() const
{
    std::vector<const Record *> records;
    for (const auto &[key, row] : m_rows) {
        if (row.isLive) {
            records.push_back(&row.record);
        }
    }
    return records;
}

const Record *MembershipTable::findAnnouncer(std::uint64_t announcer) const
{
    const auto it = m_announcers.find(announcer);
    return it == m_announcers.end() ? nullptr : find(it->second);
}

std::uint64_t MembershipTable::summary() const
{
    std::uint64_t sum = 0;
    for (const auto &[key, row] : m_rows) {
        sum ^= row.isLive ? hashOf(versionOf(row.record)) : 0;
    }
    return sum;
}

std::uint64_t MembershipTable::stateChanges() const
{
    return m_stateChanges;
}

std::uint64_t MembershipTable::changes() const
{
    return m_changes;
}

Duration MembershipTable::lease() const
{
    return m_limits.lease;
}

Change MembershipTable::insert(const Record &record)
{
    if (m_rows.size() >= m_limits.maxRecords) {
        return Change::None;
    }
    m_rows.emplace(record.key, Row { record });
    m_announcers.emplace(announcerHash(record), record.key);
    return record.leaving ? Change::Leaving : Change::State;
}

// Replaces the record of an earlier incarnation, whose state and leaving flag no longer apply.
Change MembershipTable::replace(Row &row, const Record &record)
{
    m_announcers.erase(announcerHash(row.record));
    row = Row { record };
    m_announcers.emplace(announcerHash(record), record.key);
    return record.leaving ? Change::Leaving : Change::State;
}

Change MembershipTable::merge(Row &row, const Record &record)
{
    Record &known = row.record;
    Change change = Change::None;
    if (record.loadSequence > known.loadSequence) {
        known.loadSequence = record.loadSequence;
        known.load = record.load;
        change = Change::Load;
    }
    if (record.sequence > known.sequence) {
        // The new sequence is stored even when the body is unchanged, so that tables converge, but this is no change of state.
        change = record.body == known.body ? Change::Load : Change::State;
        known.sequence = record.sequence;
        known.body = record.body;
    }
    if (change != Change::None) {
        known.lastContactAt = std::max(known.lastContactAt, record.lastContactAt);
        change = std::exchange(row.isLive, true) ? change : Change::State;
    }
    if (record.leaving && !known.leaving) {
        // The flag of an older record is merged as well: an operator's drain has no sequence of its own.
        known.leaving = true;
        change = Change::Leaving;
    }
    return change;
}

Change MembershipTable::countChange(Change change)
{
    m_changes += change == Change::None ? 0 : 1;
    m_stateChanges += change == Change::State || change == Change::Leaving ? 1 : 0;
    return change;
}

void MembershipTable::purgeTombstones(Instant now)
{
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        if (!it->second.isLive && now - it->second.removedAt >= m_limits.tombstoneLifetime) {
            m_announcers.erase(announcerHash(it->second.record));
            it = m_rows.erase(it);
        } else {
            ++it;
        }
    }
}

}
