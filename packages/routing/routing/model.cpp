#include "routing/model.h"

namespace Galenabarrow::Routing
{

std::string_view serverStateName(ServerState state)
{
    switch (state) {
    case ServerState::Ready:
        return "ready";
    case ServerState::Draining:
        return "draining";
    case ServerState::Gone:
        return "gone";
    }
    return "unknown";
}

}
