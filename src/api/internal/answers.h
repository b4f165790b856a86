#pragma once

#include "codec/json.h"
#include "http/problem.h"

//! Answers of the interface.
namespace sardinerun::api {

using http::Executed;

inline http::Response json(int status, const Json::Value& value)
{
    return { status, { { "content-type", "application/json" } }, codec::writeJson(value) };
}

inline http::Response problem(int status, const char* type, const char* title, Executed ran, std::string detail = {},
    std::optional<core::Duration> retryAfter = {})
{
    return http::toResponse({ status, type, title, ran, std::move(detail), retryAfter });
}

} // namespace sardinerun::api
