#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sardinerun::codec {

//! The elements of the list in a document of the form {"name":[...]}, not decoded.
//!
//! An element that cannot be decoded, for example because it is nested too deeply, then does not make the others
//! unreadable.
struct ListTexts {
    std::string envelope; //!< the document without the elements
    std::vector<std::string_view> elements; //!< parts of the document
};

//! Splits a document. Throws DecodeError if it does not have exactly one list, or if brackets do not match. Does not
//! check the elements and the envelope in any other way.
ListTexts splitList(std::string_view text);

} // namespace sardinerun::codec
