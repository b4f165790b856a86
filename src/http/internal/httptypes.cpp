#include "http/httptypes.h"

namespace sardinerun::http {

namespace {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::string percentDecode(std::string_view text)
{
    std::string buf;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool isEscape = text[n] == '%' && n + 2 < text.size();
        const int high = isEscape ? hexDigit(text[n + 1]) : -1;
        const int low = isEscape ? hexDigit(text[n + 2]) : -1;
        if (high < 0 || low < 0) {
            buf += text[n] == '+' ? ' ' : text[n];
            continue;
        }
        buf += static_cast<char>(high * 16 + low);
        n += 2;
    }
    return buf;
}

} // namespace

std::optional<std::string_view> findHeader(const Headers& headers, std::string_view name)
{
    for (const Header& it : headers) {
        if (it.name == name)
            return it.value;
    }
    return std::nullopt;
}

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view part = query.substr(0, end);
        const std::size_t equals = std::min(part.find('='), part.size());
        if (part.substr(0, equals) == name)
            return percentDecode(part.substr(std::min(equals + 1, part.size())));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

} // namespace sardinerun::http
