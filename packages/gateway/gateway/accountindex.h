#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

/// An immutable client account; stays valid for requests in progress after a change of the configuration.
using AccountPointer = std::shared_ptr<const Routing::ClientAccount>;

/// Finds the client account of a key. Built whole from one configuration, so a key that moves between accounts is never in both or neither.
class AccountIndex
{
public:
    /// Stands for a configuration without a list of accounts.
    AccountIndex() = default;
    /// The index of a list of accounts, which may be empty. Draws the seed of the hash from \p random if there are accounts.
    AccountIndex(const std::vector<Routing::ClientAccount> &accounts, RandomSource &random);

    /// Whether there is a list of accounts, even if it is empty.
    bool requiresKeys() const;
    /// The account of \p key; null if no account has it. The time depends on the length of \p key, but not on how much of it is right.
    AccountPointer find(std::string_view key) const;

private:
    struct Digest {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        bool operator==(const Digest &) const = default;
    };
    struct DigestHash {
        std::size_t operator()(const Digest &digest) const
        {
            return digest.low;
        }
    };
    struct Entry {
        /// Owned by \c account.
        const std::string *key = nullptr;
        AccountPointer account;
    };

    Digest digestOf(std::string_view key) const;

    /// Keeps callers from finding keys with equal digests, or from learning a digest from the time of a lookup.
    std::uint64_t m_seed = 0;
    bool m_requiresKeys = false;
    std::unordered_multimap<Digest, Entry, DigestHash> m_entries;
};

}
