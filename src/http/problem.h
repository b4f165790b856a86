#pragma once

#include "http/httptypes.h"

namespace sardinerun::http {

//! Whether the work of a request was run, as far as the caller may rely on it.
enum class Executed {
    No, //!< it certainly was not, and will not be by this request
    Yes,
    Unknown
};

const char* nameOf(Executed it);

//! What went wrong, as a problem document (RFC 9457) with the member "run".
struct Problem {
    int status = 500;
    std::string type; //!< last part of the type's URN
    std::string title;
    Executed ran = Executed::No;
    std::string detail;
    std::optional<core::Duration> retryAfter;
};

Response toResponse(const Problem& problem);

} // namespace sardinerun::http
