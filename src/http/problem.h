#pragma once

#include "http/httptypes.h"

namespace sardinerun::http {

//! Whether a request was executed, as guaranteed to the caller.
enum class Executed {
    No, //!< not executed, and this request will not execute later
    Yes,
    Unknown
};

const char* nameOf(Executed it);

//! Problem document (RFC 9457) with the additional member "run", which contains `executed`.
struct Problem {
    int status = 500;
    std::string type; //!< last part of the type's URN
    std::string title;
    Executed executed = Executed::No;
    std::string detail;
    std::optional<core::Duration> retryAfter;
};

Response toResponse(const Problem& problem);

} // namespace sardinerun::http
