#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Galenabarrow::Actions
{

/// What is known of a key.
enum class KeyState : std::uint8_t { InProgress, Answered, NotRun, Unknown };

/// A set of key hashes with their states, of fixed capacity; 8 bytes per slot, of which at most 5 in 8 are used.
/// Keys with equal hashes count as one key: the second is refused, which is always safe.
class KeyWindow
{
public:
    /// Room for \p capacity keys; the only allocation of the window.
    explicit KeyWindow(std::size_t capacity);

    std::optional<KeyState> find(std::uint64_t hash) const;
    /// Adds an unseen key. False when the window is full.
    bool insert(std::uint64_t hash, KeyState state);
    /// Changes the state of a key that is held.
    void setState(std::uint64_t hash, KeyState state);
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
