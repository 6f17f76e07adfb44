#include "base/resultcode.h"

#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace Galenabarrow;

// Guards against result codes that are added, removed or renumbered only in the program or only in the documentation.
TEST_CASE("docs/result-codes.md lists exactly the result codes of the program", "[resultcode]")
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

// Guards against two result codes with the same number.
TEST_CASE("result codes are unique and in ascending order", "[resultcode]")
{
    const auto table = resultCodeTable();
    for (std::size_t n = 1; n < table.size(); ++n) {
        REQUIRE(table[n - 1].code < table[n].code);
    }
}
