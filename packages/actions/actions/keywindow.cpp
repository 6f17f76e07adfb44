#include "actions/keywindow.h"

#include <bit>
#include <cassert>

namespace Galenabarrow::Actions
{

namespace
{
// A word consists of the upper 62 bits of the hash (the tag) and 2 bits of state. Zero marks a free slot, so the tag is never zero.
constexpr std::uint64_t StateMask = 3;
constexpr std::uint64_t MinTag = StateMask + 1;

std::uint64_t tagOf(std::uint64_t hash)
{
    const std::uint64_t tag = hash & ~StateMask;
    return tag == 0 ? MinTag : tag;
}

std::uint64_t wordOf(std::uint64_t tag, KeyState state)
{
    return tag | static_cast<std::uint64_t>(state);
}

std::size_t slotCount(std::size_t capacity)
{
    return std::bit_ceil(capacity * 8 / 5 + 1);
}
}

KeyWindow::KeyWindow(std::size_t capacity)
    : m_words(slotCount(capacity), 0)
    , m_capacity(capacity)
{
}

std::optional<KeyState> KeyWindow::find(std::uint64_t hash) const
{
    const std::uint64_t word = m_words[slotOf(tagOf(hash))];
    if (word == 0) {
        return std::nullopt;
    }
    return static_cast<KeyState>(word & StateMask);
}

bool KeyWindow::insert(std::uint64_t hash, KeyState state)
{
    if (isFull()) {
        return false;
    }
    const std::uint64_t tag = tagOf(hash);
    std::uint64_t &word = m_words[slotOf(tag)];
    assert(word == 0);
    word = wordOf(tag, state);
    ++m_size;
    return true;
}

void KeyWindow::setState(std::uint64_t hash, KeyState state)
{
    const std::uint64_t tag = tagOf(hash);
    std::uint64_t &word = m_words[slotOf(tag)];
    assert(word != 0);
    word = wordOf(tag, state);
}

void KeyWindow::clear()
{
    m_words.assign(m_words.size(), 0);
    m_size = 0;
}

bool KeyWindow::isFull() const
{
    return m_size >= m_capacity;
}

std::size_t KeyWindow::size() const
{
    return m_size;
}

std::size_t KeyWindow::memoryBytes() const
{
    return m_words.capacity() * sizeof(std::uint64_t);
}

// Linear probing: returns the slot that contains the tag, or the free slot where it would be inserted.
std::size_t KeyWindow::slotOf(std::uint64_t tag) const
{
    const std::size_t mask = m_words.size() - 1;
    std::size_t slot = (tag >> 2U) & mask;
    while (m_words[slot] != 0 && (m_words[slot] & ~StateMask) != tag) {
        slot = (slot + 1) & mask;
    }
    return slot;
}

}
