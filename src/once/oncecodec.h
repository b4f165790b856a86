#pragma once

#include "codec/json.h"
#include "once/oncetypes.h"

namespace sardinerun::once {

Json::Value encodeAnswer(const StoredAnswer& it);
StoredAnswer decodeAnswer(codec::ObjectReader reader);
Json::Value encodeSnapshot(const OnceSnapshot& it);
OnceSnapshot decodeSnapshot(codec::ObjectReader reader);

} // namespace sardinerun::once
