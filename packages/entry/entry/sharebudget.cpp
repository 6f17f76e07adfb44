#include "entry/sharebudget.h"

#include <algorithm>

namespace Galenabarrow::Entry
{

namespace
{
/// Calls arrive in bursts, and a full server refuses several of them in a row.
constexpr std::uint32_t MaxSavedRefusals = 100;
}

ShareBudget::ShareBudget(std::uint32_t maxTokens)
    : m_limit(maxTokens * Token)
{
}

RefusalBudget::RefusalBudget()
    : ShareBudget(MaxSavedRefusals)
{
}

void ShareBudget::earn(std::uint32_t permille)
{
    m_thousandths = std::min(m_thousandths + permille, m_limit);
}

bool ShareBudget::tryTake()
{
    if (m_thousandths < Token) {
        return false;
    }
    m_thousandths -= Token;
    return true;
}

void ShareBudget::giveBack()
{
    earn(Token);
}

}
