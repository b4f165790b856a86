#pragma once

#include "membership/membershiptypes.h"

//! Keys and encoding of the cell's rows in the platform's table.
namespace sardinerun::membership {

inline constexpr const char* cellPrefix = "cell/";
inline constexpr const char* shapeKey = "cell/shape";
inline constexpr const char* configKey = "cell/config";
inline constexpr const char* activeKey = "cell/active";
std::string memberKey(const core::NodeId& node);
std::string partitionKey(core::PartitionId partition);
std::string slotsKey(core::PartitionId partition);

std::string encodeShape(std::uint32_t partitionCount);
std::string encodeMember(const Member& it);
std::string encodePartition(const PartitionRow& it);
std::string encodeSlots(const SlotsRow& it);
std::string encodeConfig(const ConfigRow& it);
std::string encodeActive(const ActiveRow& it);

//! Decodes all rows of the cell. Throws codec::DecodeError.
CellView decodeCell(const std::vector<services::Row>& rows);

} // namespace sardinerun::membership
