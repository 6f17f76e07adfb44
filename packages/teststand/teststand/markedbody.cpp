#include "teststand/markedbody.h"

namespace Galenabarrow::Teststand
{

std::string markedBody(std::string_view mark, std::size_t size)
{
    std::string body;
    body.reserve(size + mark.size() + 1);
    while (body.size() < size) {
        body += mark;
        body += '|';
    }
    body.resize(size);
    return body;
}

}
