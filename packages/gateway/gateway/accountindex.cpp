#include "gateway/accountindex.h"

#include <Poco/DigestEngine.h>
#include <xxhash.h>

namespace Galenabarrow::Gateway
{

namespace
{

bool isEqualInConstantTime(std::string_view a, std::string_view b)
{
    return Poco::DigestEngine::constantTimeEquals({ a.begin(), a.end() }, { b.begin(), b.end() });
}

}

AccountIndex::AccountIndex(const std::vector<Routing::ClientAccount> &accounts, RandomSource &random)
    : m_requiresKeys(true)
{
    if (accounts.empty()) {
        return;
    }
    m_seed = random.next();
    for (const Routing::ClientAccount &it : accounts) {
        const auto account = std::make_shared<const Routing::ClientAccount>(it);
        for (const std::string &key : account->keys) {
            m_entries.emplace(digestOf(key), Entry { &key, account });
        }
    }
}

bool AccountIndex::requiresKeys() const
{
    return m_requiresKeys;
}

AccountPointer AccountIndex::find(std::string_view key) const
{
    const auto [begin, end] = m_entries.equal_range(digestOf(key));
    for (auto it = begin; it != end; ++it) {
        if (isEqualInConstantTime(*it->second.key, key)) {
            return it->second.account;
        }
    }
    return nullptr;
}

AccountIndex::Digest AccountIndex::digestOf(std::string_view key) const
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(key.data(), key.size(), m_seed);
    return Digest { hash.high64, hash.low64 };
}

}
