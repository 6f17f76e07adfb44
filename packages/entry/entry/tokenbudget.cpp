#include "entry/tokenbudget.h"

#include <algorithm>

namespace Galenabarrow::Entry
{

namespace
{
/// Larger than the default of TokenBudget, because calls arrive in bursts and a full server refuses several of them in a row.
constexpr std::uint32_t MaxRefusalTokens = 100;
}

TokenBudget::TokenBudget(std::uint32_t maxTokens)
    : m_limit(maxTokens * Token)
{
}

RefusalBudget::RefusalBudget()
    : TokenBudget(MaxRefusalTokens)
{
}

void TokenBudget::deposit(std::uint32_t permille)
{
    m_thousandths = std::min(m_thousandths + permille, m_limit);
}

bool TokenBudget::tryWithdraw()
{
    if (m_thousandths < Token) {
        return false;
    }
    m_thousandths -= Token;
    return true;
}

void TokenBudget::refund()
{
    deposit(Token);
}

}
