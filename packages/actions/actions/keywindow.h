#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Galenabarrow::Actions
{

/// The last known state of a key.
enum class KeyState : std::uint8_t { InProgress, Answered, NotRun, Unknown };

/// Hash table of fixed capacity from key hashes to states; 8 bytes per slot, at most 5 of 8 slots used.
/// Keys with equal hashes count as one key: the second one is refused, which is always safe.
class KeyWindow
{
public:
    /// Allocates the slots for \p capacity keys; no other function allocates.
    explicit KeyWindow(std::size_t capacity);

    std::optional<KeyState> find(std::uint64_t hash) const;
    /// Adds a key, which must not be in the window. False when the window is full.
    bool insert(std::uint64_t hash, KeyState state);
    /// Changes the state of a key, which must be in the window.
    void setState(std::uint64_t hash, KeyState state);
    /// Removes all keys without freeing memory.
    void clear();

    bool isFull() const;
    std::size_t size() const;
    std::size_t memoryBytes() const;

private:
    std::size_t slotOf(std::uint64_t tag) const;

    std::vector<std::uint64_t> m_words;
    std::size_t m_capacity;
    std::size_t m_size = 0;
};

}
