#pragma once

#include <cstdint>

namespace Galenabarrow::Entry
{

/// A token budget that is a share of first attempts. Each first attempt earns a fraction of a token.
class TokenBudget
{
public:
    /// A budget that saves up at most \p maxTokens.
    explicit TokenBudget(std::uint32_t maxTokens = DefaultMaxTokens);

    /// Adds \p permille thousandths of a token for one first attempt.
    void deposit(std::uint32_t permille);
    /// Takes one token; false when there is none.
    bool tryWithdraw();
    /// Gives back a token whose attempt did no work.
    void refund();

private:
    static constexpr std::uint32_t Token = 1000;
    /// Limits the burst after a quiet time.
    static constexpr std::uint32_t DefaultMaxTokens = 10;

    std::uint32_t m_limit = DefaultMaxTokens * Token;
    std::uint32_t m_thousandths = Token;
};

/// Limits the refused attempts of a service, which cost server time without doing work.
class RefusalBudget final : public TokenBudget
{
public:
    RefusalBudget();
};

/// Limits the retries of a service, so that failing servers don't multiply the load.
class RetryBudget final : public TokenBudget
{
};

/// Limits the hedged attempts of a service.
class HedgeBudget final : public TokenBudget
{
};

}
