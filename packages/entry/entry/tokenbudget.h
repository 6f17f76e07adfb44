#pragma once

#include <cstdint>

namespace Galenabarrow::Entry
{

/// Token budget that limits attempts to a fraction of the calls. Each call deposits a fraction of a token.
class TokenBudget
{
public:
    /// A budget that accumulates at most \p maxTokens.
    explicit TokenBudget(std::uint32_t maxTokens = DefaultMaxTokens);

    /// Adds \p permille thousandths of a token.
    void deposit(std::uint32_t permille);
    /// Removes one token; false when less than one is left.
    bool tryWithdraw();
    /// Returns a token whose attempt did no work.
    void refund();

private:
    static constexpr std::uint32_t Token = 1000;
    /// Limits the burst that the accumulated tokens allow.
    static constexpr std::uint32_t DefaultMaxTokens = 10;

    std::uint32_t m_limit = DefaultMaxTokens * Token;
    std::uint32_t m_thousandths = Token;
};

/// Limits the refused attempts of a service, which cost server time and do no work.
class RefusalBudget final : public TokenBudget
{
public:
    RefusalBudget();
};

/// Limits the retries of a service, so that retries do not multiply the load when servers fail.
class RetryBudget final : public TokenBudget
{
};

/// Limits the hedged attempts of a service.
class HedgeBudget final : public TokenBudget
{
};

}
