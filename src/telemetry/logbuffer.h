#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace sardinerun::telemetry {

//! Lines on their way to a file descriptor: bounded, and never waits for who reads them.
//!
//! A line that finds no room is dropped and counted; the count is written as a line of its own once there is room.
class LogBuffer {
public:
    static constexpr std::size_t maxBytes = std::size_t(512) << 10;

    explicit LogBuffer(int fd)
        : m_fd(fd)
    {
    }

    //! Takes one line, which ends with a line feed.
    void append(const std::string& line);
    //! Writes what the descriptor takes at once.
    void flush();
    std::uint64_t dropped() const;

private:
    void write();
    bool isWritable() const;

    const int m_fd;
    mutable std::mutex m_mutex;
    std::string m_bytes;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
};

} // namespace sardinerun::telemetry
