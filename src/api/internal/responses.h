#pragma once

#include "codec/json.h"
#include "http/problem.h"

//! Construction of the interface's responses.
namespace sardinerun::api {

using http::Executed;

inline http::Response json(int status, const Json::Value& value)
{
    return { status, { { "content-type", "application/json" } }, codec::writeJson(value) };
}

inline http::Response problem(int status, const char* type, const char* title, Executed executed,
    std::string detail = {}, std::optional<core::Duration> retryAfter = {})
{
    return http::toResponse({ status, type, title, executed, std::move(detail), retryAfter });
}

} // namespace sardinerun::api
