#include "settings/secretfile.h"

#include <algorithm>
#include <array>
#include <fstream>

namespace Galenabarrow::Settings
{

namespace
{

bool isPrintable(char it)
{
    return it > ' ' && it <= '~';
}

std::string trimmed(const std::string &text)
{
    constexpr const char *WhiteSpace = " \t\r\n";
    const std::size_t begin = text.find_first_not_of(WhiteSpace);
    return begin == std::string::npos ? std::string() : text.substr(begin, text.find_last_not_of(WhiteSpace) - begin + 1);
}

}

Result<std::string> readSecretFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    // Twice the maximum leaves room for white space, and a secret that is too long is still detected.
    std::array<char, 2 * MaxSecretBytes> buf {};
    if (!file.read(buf.data(), buf.size()) && file.gcount() == 0 && !file.eof()) {
        return failure(ResultCode::SettingsUnreadable, path + ": the secret file cannot be read");
    }
    std::string secret = trimmed(std::string(buf.data(), static_cast<std::size_t>(file.gcount())));
    if (secret.size() < MinSecretBytes || secret.size() > MaxSecretBytes) {
        return failure(ResultCode::SettingsInvalid,
                       path + ": a secret has " + std::to_string(MinSecretBytes) + " to " + std::to_string(MaxSecretBytes)
                           + " bytes, this one has " + std::to_string(secret.size()));
    }
    if (!std::all_of(secret.begin(), secret.end(), isPrintable)) {
        return failure(ResultCode::SettingsInvalid, path + ": a secret consists of printable ASCII characters without spaces");
    }
    return secret;
}

}
