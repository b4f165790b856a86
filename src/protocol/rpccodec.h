#pragma once

#include <json/value.h>
#include <stdexcept>
#include <string>
#include <vector>

//! JSON-RPC 2.0 batches, encoded and decoded by libjsonrpccpp, which is used as a codec only.
//!
//! NOTE The library's headers do not compile as C++17 or later, so rpccodec.cpp is built as C++14 and this header is
//! restricted to C++14.
namespace sardinerun {
namespace protocol {

struct RpcCall {
    std::string method;
    Json::Value params;
};

//! Thrown for text that is not a batch of known JSON-RPC calls.
class RpcError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

//! Encodes calls as one batch of notifications.
std::string encodeBatch(const std::vector<RpcCall>& calls);

//! Returns the calls of a batch in order. `methods` lists the known method names. Throws RpcError.
std::vector<RpcCall> decodeBatch(const std::string& text, const std::vector<const char*>& methods);

} // namespace protocol
} // namespace sardinerun
