#pragma once

#include "http/internal/clientcall.h"

#include <map>

namespace sardinerun::http {

//! The connection pools of one client, by address.
class ClientPools : public std::enable_shared_from_this<ClientPools> {
public:
    explicit ClientPools(runtime::EventLoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    //! Returns the pool of the address, which is created if needed, or null if this is not an IPv4 address.
    Pool* get(const core::HostPort& to);
    Pool* find(const core::HostPort& to) const;

private:
    //! Closes the pools of addresses that have not been used for unusedPoolTimeout.
    void sweep();
    void scheduleSweep();

    runtime::EventLoopPtr m_loop;
    std::map<core::HostPort, std::unique_ptr<Pool>> m_pools;
    bool m_isSweepScheduled = false;
};

} // namespace sardinerun::http
