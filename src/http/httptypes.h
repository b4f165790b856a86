#pragma once

#include "core/types.h"
#include "http/ibodysource.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinerun::http {

struct Header {
    std::string name; //!< lower case
    std::string value;
};
using Headers = std::vector<Header>;

//! Value of the first header of that name (given in lower case), or nothing.
std::optional<std::string_view> findHeader(const Headers& headers, std::string_view name);

struct Request {
    std::string method;
    std::string path; //!< without the query
    std::string query; //!< without the question mark
    std::string authority; //!< host the caller asked for, lower case, without port
    Headers headers;
    std::string body;
    bool isFromLoopback = false;
};

//! The rest of an answer that is passed on while it arrives.
struct BodyStream {
    IBodySourcePtr source;
    std::optional<std::size_t> wholeBytes; //!< of the whole body, when it was announced
};

struct Response {
    int status = 500;
    Headers headers;
    std::string body; //!< whole, or its beginning when there is a rest
    std::optional<BodyStream> rest;
};

//! Part of the query with that name, with percent escapes decoded.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

//! What the client knows when a request failed.
struct ClientError {
    enum class Code {
        NotConnected, //!< nothing was sent
        TimedOut, //!< the request may have been sent
        Broken, //!< the connection ended before the whole answer came
        TooLarge, //!< the answer is larger than the caller allows
        NotFramed //!< the answer states no length, so its end cannot be told from a cut
    };
    Code code = Code::Broken;
    bool mayBeSent = true; //!< false: the other side has certainly not seen the request
    std::string detail;
};

struct ClientRequest {
    core::HostPort to;
    std::string method = "GET";
    std::string target = "/"; //!< path and query
    Headers headers;
    std::string body;
    core::Duration timeout = std::chrono::seconds(5); //!< for the whole exchange
    std::size_t maxResponseBytes = std::size_t(4) << 20; //!< of an answer that is taken whole
    //! Longer answers are passed on while they arrive, whatever their size; 0: all are taken whole. The timeout still
    //! covers the whole exchange.
    std::size_t streamAboveBytes = 0;
};

} // namespace sardinerun::http
