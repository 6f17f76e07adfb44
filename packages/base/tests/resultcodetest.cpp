#include "base/resultcode.h"

#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace Galenabarrow;

// Guards against a code that is added or renumbered without its row in the documentation, and the reverse.
TEST_CASE("docs/result-codes.md lists exactly the codes of the program", "[resultcode]")
{
    std::ifstream page(std::string(GALENABARROW_SOURCE_DIR) + "/docs/result-codes.md");
    REQUIRE(page.is_open());
    std::string documented;
    std::string line;
    while (std::getline(page, line)) {
        if (line.rfind("| ", 0) == 0 && line.find("number") == std::string::npos) {
            documented += line + '\n';
        }
    }

    std::ostringstream expected;
    for (const ResultCodeRow &row : resultCodeTable()) {
        expected << "| " << static_cast<unsigned>(row.code) << " | " << row.name << " | " << row.meaning << " |\n";
    }
    REQUIRE(documented == expected.str());
}

// Guards against two names for one number.
TEST_CASE("result codes are unique and ordered", "[resultcode]")
{
    const auto table = resultCodeTable();
    for (std::size_t n = 1; n < table.size(); ++n) {
        REQUIRE(table[n - 1].code < table[n].code);
    }
}
