#include "protocol/rpccodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace sardinerun {
namespace protocol {

namespace {

//! Server connector that processes text passed by the caller instead of reading a socket.
class TextConnector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void*) override
    {
        lastResponse = response;
        return true;
    }

    std::string lastResponse;
};

//! Collects the calls that the library has parsed and validated.
class CallCollector : public jsonrpc::AbstractServer<CallCollector> {
public:
    CallCollector(TextConnector& connector, const std::vector<const char*>& methods)
        : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2)
    {
        for (const char* it : methods) {
            const jsonrpc::Procedure procedure(it, jsonrpc::PARAMS_BY_NAME, nullptr);
            bindAndAddNotification(procedure, &CallCollector::ignore);
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override
    {
        calls.push_back({ procedure.GetProcedureName(), input });
    }

    std::vector<RpcCall> calls;

private:
    void ignore(const Json::Value&) { }
};

} // namespace

std::string encodeBatch(const std::vector<RpcCall>& calls)
{
    jsonrpc::BatchCall batch;
    for (const RpcCall& it : calls)
        batch.addCall(it.method, it.params, true);
    return batch.toString(true);
}

std::vector<RpcCall> decodeBatch(const std::string& text, const std::vector<const char*>& methods)
{
    TextConnector connector;
    CallCollector collector(connector, methods);
    try {
        connector.OnRequest(text);
    } catch (const std::exception& it) {
        throw RpcError(it.what());
    }
    // Notifications have no responses, so a response of the library reports an error.
    if (connector.lastResponse.find("error") != std::string::npos)
        throw RpcError(connector.lastResponse);
    return std::move(collector.calls);
}

} // namespace protocol
} // namespace sardinerun
