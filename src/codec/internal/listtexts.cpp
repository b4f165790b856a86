#include "codec/listtexts.h"

#include "codec/json.h"

#include <utility>

namespace sardinerun::codec {

namespace {

constexpr std::size_t listDepth = 2; //!< the list is in the document's object

class ListSplitter {
public:
    explicit ListSplitter(std::string_view text)
        : m_text(text)
    {
    }

    ListTexts split()
    {
        for (std::size_t n = 0; n < m_text.size(); ++n) {
            const char c = m_text[n];
            if (c == '"')
                n = endOfString(n);
            else if (c == '{' || c == '[')
                open(n);
            else if (c == '}' || c == ']')
                close(n);
            else if (c == ',' && m_isInList && m_depth == listDepth)
                endElement(n);
        }
        if (m_depth > 0 || m_list.envelope.empty())
            throw DecodeError("", "not valid JSON: brackets do not match");
        return std::move(m_list);
    }

private:
    std::size_t endOfString(std::size_t begin) const
    {
        for (std::size_t n = begin + 1; n < m_text.size(); ++n) {
            if (m_text[n] == '"')
                return n;
            if (m_text[n] == '\\')
                ++n;
        }
        throw DecodeError("", "not valid JSON: a string does not end");
    }

    void open(std::size_t n)
    {
        if (++m_depth != listDepth || m_text[n] != '[')
            return;
        if (m_listBegin > 0)
            throw DecodeError("", "must have one list");
        m_isInList = true;
        m_listBegin = n + 1;
        m_elementBegin = m_listBegin;
    }

    void close(std::size_t n)
    {
        if (m_depth == 0)
            throw DecodeError("", "not valid JSON: brackets do not match");
        if (m_depth-- != listDepth || !std::exchange(m_isInList, false))
            return;
        if (n > m_listBegin)
            m_list.elements.push_back(m_text.substr(m_elementBegin, n - m_elementBegin));
        m_list.envelope = std::string(m_text.substr(0, m_listBegin)) + std::string(m_text.substr(n));
    }

    void endElement(std::size_t n)
    {
        m_list.elements.push_back(m_text.substr(m_elementBegin, n - m_elementBegin));
        m_elementBegin = n + 1;
    }

    std::string_view m_text;
    ListTexts m_list;
    std::size_t m_depth = 0;
    bool m_isInList = false;
    std::size_t m_listBegin = 0; //!< 0 until the list begins
    std::size_t m_elementBegin = 0;
};

} // namespace

ListTexts splitList(std::string_view text)
{
    return ListSplitter(text).split();
}

} // namespace sardinerun::codec
