#pragma once

#include "core/types.h"
#include "http/ihttpclient.h"
#include "runtime/eventloop.h"

#include <json/value.h>
#include <string>

namespace sardinerun::app {

//! Blocking HTTP client of a node.
class NodeClient {
public:
    NodeClient(core::HostPort node, std::string token);
    ~NodeClient();

    struct Answer {
        int exitCode = 0;
        Json::Value body;
    };
    //! Sends a request and waits for the answer. Prints errors to standard error and returns them as exit codes.
    Answer call(const std::string& method, const std::string& target, const std::string& body = {},
        const std::string& key = {});

private:
    core::HostPort m_node;
    std::string m_token;
    runtime::EventLoopPtr m_loop;
    http::IHttpClientPtr m_client;
};

} // namespace sardinerun::app
