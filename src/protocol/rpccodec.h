#pragma once

#include <json/value.h>
#include <stdexcept>
#include <string>
#include <vector>

//! JSON-RPC 2.0 batches through libjsonrpccpp, which is used as a codec only.
//!
//! NOTE The library's headers need C++14, so its translation unit is built with that and this header keeps to it.
namespace sardinerun {
namespace protocol {

struct RpcCall {
    std::string method;
    Json::Value params;
};

//! Text that is not a batch of known JSON-RPC calls.
class RpcError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

//! One batch of notifications.
std::string encodeBatch(const std::vector<RpcCall>& calls);

//! Calls of a batch in their order. `methods` names the methods that exist. Throws RpcError.
std::vector<RpcCall> decodeBatch(const std::string& text, const std::vector<const char*>& methods);

} // namespace protocol
} // namespace sardinerun
