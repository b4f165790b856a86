#pragma once

#include <cstddef>

extern "C" {
#include <h2o.h>
}

namespace sardinerun::http {

//! h2o's first allocation for the input of a connection; it counts as a part of the connection.
constexpr std::size_t firstBufferBytes = std::size_t(H2O_SOCKET_INITIAL_INPUT_BUFFER_SIZE) * 2;

//! Returns what a buffer of h2o takes. It doubles when it is full, so it may take twice the bytes that it holds.
inline std::size_t allocatedBytes(const h2o_buffer_t* it)
{
    return it && it->bytes ? it->capacity : 0;
}

//! Returns the bytes of unread input, or the size of their buffer if it is larger than the first allocation.
inline std::size_t inputBytes(const h2o_buffer_t* it)
{
    const std::size_t allocated = allocatedBytes(it);
    return allocated > firstBufferBytes ? allocated : (it ? it->size : 0);
}

} // namespace sardinerun::http
