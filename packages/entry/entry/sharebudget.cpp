#include "entry/sharebudget.h"

#include <algorithm>

namespace Galenabarrow::Entry
{

void ShareBudget::earn(std::uint32_t permille)
{
    m_thousandths = std::min(m_thousandths + permille, MaxTokens * Token);
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
