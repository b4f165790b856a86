#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace sardinerun::telemetry {

//! Bounded buffer of lines for a file descriptor. It never blocks on a slow reader.
//!
//! A line that does not fit is dropped and counted. The count is written as a separate line before the next line that
//! fits.
class LogBuffer {
public:
    static constexpr std::size_t maxBytes = std::size_t(512) << 10;

    explicit LogBuffer(int fd)
        : m_fd(fd)
    {
    }

    //! Appends one line, which must end with a line feed.
    void append(const std::string& line);
    //! Writes as much as the descriptor accepts without blocking.
    void flush();
    std::uint64_t dropped() const;

private:
    void write();
    bool isWritable() const;

    const int m_fd;
    mutable std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDrops = 0;
};

} // namespace sardinerun::telemetry
