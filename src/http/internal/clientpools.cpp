#include "http/internal/clientpools.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace sardinerun::http {

namespace {

constexpr std::size_t connectionsPerAddress = 64;
constexpr std::uint64_t idleConnectionTimeoutMs = 10'000;
constexpr core::Duration unusedPoolTimeout = std::chrono::seconds(30);

} // namespace

Pool* ClientPools::find(const core::HostPort& to) const
{
    const auto it = m_pools.find(to);
    return it == m_pools.end() ? nullptr : it->second.get();
}

Pool* ClientPools::get(const core::HostPort& to)
{
    if (const auto it = m_pools.find(to); it != m_pools.end())
        return it->second.get();
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    if (inet_pton(AF_INET, to.host.c_str(), &address.sin_addr) != 1)
        return nullptr;
    auto pool = std::make_unique<Pool>();
    h2o_socketpool_init_by_address(
        &pool->sockets, reinterpret_cast<sockaddr*>(&address), sizeof address, 0, connectionsPerAddress);
    h2o_socketpool_set_timeout(&pool->sockets, m_loop->handle(), idleConnectionTimeoutMs);
    // Disables the h2o timer, which would wake the loop once per second for each pool. sweep() handles
    // all pools with one timer.
    h2o_timeout_unlink(&pool->sockets._interval_cb.entry);
    h2o_timeout_dispose(m_loop->handle(), &pool->sockets._interval_cb.timeout);
    scheduleSweep();
    return m_pools.emplace(to, std::move(pool)).first->second.get();
}

void ClientPools::sweep()
{
    const core::TimePoint now = m_loop->now();
    std::erase_if(m_pools, [now](const auto& it) {
        Pool& pool = *it.second;
        if (pool.inUse > 0 || now - pool.lastUsedAt < unusedPoolTimeout)
            return false;
        pool.sockets._interval_cb.loop = nullptr; // the timeout has already been disposed
        h2o_socketpool_dispose(&pool.sockets);
        return true;
    });
    m_isSweepScheduled = false;
    if (!m_pools.empty())
        scheduleSweep();
}

void ClientPools::scheduleSweep()
{
    if (std::exchange(m_isSweepScheduled, true))
        return;
    m_loop->callAfter(unusedPoolTimeout, [self = weak_from_this()] {
        if (const auto pools = self.lock())
            pools->sweep();
    });
}

} // namespace sardinerun::http
