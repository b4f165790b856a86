#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sardinerun::core {

//! Returns the number that the whole text spells in this base; nothing for any other text and for numbers above `max`.
inline std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max, int base = 10)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, number, base);
    if (ec != std::errc() || last != end || number > max)
        return std::nullopt;
    return number;
}

} // namespace sardinerun::core
