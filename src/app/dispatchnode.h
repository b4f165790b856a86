#pragma once

#include "app/node.h"
#include "settings/dispatchsettings.h"

#include <memory>

namespace sardinerun::app {

class DispatchNode;
using DispatchNodePtr = std::unique_ptr<DispatchNode>;

//! A running node that dispatches workflows on the platform. All its tasks run on one event loop.
class DispatchNode {
public:
    static core::RetVal<DispatchNodePtr, StartError> start(const settings::DispatchSettings& settings);
    ~DispatchNode();

    //! Stops the node as planned: releases the leadership, accepts no new connections, and finishes the requests in
    //! progress. Returns when they are finished, or after `stopWithin` less a safety margin.
    void stop();

private:
    struct Impl;
    explicit DispatchNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace sardinerun::app
