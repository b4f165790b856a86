#pragma once

#include "codec/json.h"
#include "once/claimtypes.h"

namespace sardinerun::once {

Json::Value encodeAnswer(const StoredAnswer& it);
StoredAnswer decodeAnswer(codec::ObjectReader reader);
Json::Value encodeSnapshot(const ClaimSnapshot& it);
ClaimSnapshot decodeSnapshot(codec::ObjectReader reader);

} // namespace sardinerun::once
