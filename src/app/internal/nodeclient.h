#pragma once

#include "core/types.h"
#include "http/ihttpclient.h"
#include "runtime/eventloop.h"

#include <json/value.h>
#include <string>

namespace sardinerun::app {

//! Asks a node, and waits for its answer.
class NodeClient {
public:
    NodeClient(core::HostPort node, std::string token);
    ~NodeClient();

    struct Answer {
        int exitCode = 0;
        Json::Value body;
    };
    //! Problems are printed to standard error and turned into exit codes.
    Answer call(const std::string& method, const std::string& target, const std::string& body = {},
        const std::string& key = {});

private:
    core::HostPort m_node;
    std::string m_token;
    runtime::EventLoopPtr m_loop;
    http::IHttpClientPtr m_client;
};

} // namespace sardinerun::app
