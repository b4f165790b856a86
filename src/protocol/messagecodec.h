#pragma once

#include "codec/json.h"
#include "protocol/messages.h"

namespace sardinerun::protocol {

//! Returns the JSON-RPC method name of a message.
const char* methodOf(const Message& message);
//! Returns all method names in the order of the Message variant.
const std::vector<const char*>& allMethods();

Json::Value encodeParams(const Envelope& envelope);
//! Throws codec::DecodeError on unknown methods and invalid parameters.
Envelope decodeParams(const std::string& method, const Json::Value& params);

} // namespace sardinerun::protocol
