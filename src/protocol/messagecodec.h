#pragma once

#include "codec/json.h"
#include "protocol/messages.h"

namespace sardinerun::protocol {

//! Method name of a message in JSON-RPC.
const char* methodOf(const Message& message);
//! All method names, in the order of the variant.
const std::vector<const char*>& allMethods();

Json::Value encodeParams(const Envelope& envelope);
//! Throws codec::DecodeError on unknown methods and bad parameters.
Envelope decodeParams(const std::string& method, const Json::Value& params);

} // namespace sardinerun::protocol
