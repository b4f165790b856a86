#include "protocol/rpccodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace sardinerun {
namespace protocol {

namespace {

//! A connector that is handed text instead of owning a socket.
class TextConnector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void*) override
    {
        answer = response;
        return true;
    }

    std::string answer;
};

//! Collects the calls that the library has parsed and checked.
class Collector : public jsonrpc::AbstractServer<Collector> {
public:
    Collector(TextConnector& connector, const std::vector<const char*>& methods)
        : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2)
    {
        for (const char* it : methods) {
            const jsonrpc::Procedure procedure(it, jsonrpc::PARAMS_BY_NAME, nullptr);
            bindAndAddNotification(procedure, &Collector::ignore);
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
    Collector collector(connector, methods);
    try {
        connector.OnRequest(text);
    } catch (const std::exception& it) {
        throw RpcError(it.what());
    }
    // Notifications have no answers: whatever the library answers is an error.
    if (connector.answer.find("error") != std::string::npos)
        throw RpcError(connector.answer);
    return std::move(collector.calls);
}

} // namespace protocol
} // namespace sardinerun
