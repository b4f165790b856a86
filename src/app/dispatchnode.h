#pragma once

#include "app/node.h"
#include "settings/dispatchsettings.h"

#include <memory>

namespace sardinerun::app {

class DispatchNode;
using DispatchNodePtr = std::unique_ptr<DispatchNode>;

//! A running node that dispatches workflows on the platform: one loop with all its tasks.
class DispatchNode {
public:
    static core::RetVal<DispatchNodePtr, StartError> start(const settings::DispatchSettings& settings);
    ~DispatchNode();

    //! Planned stop: gives a leadership back, takes no new connections, finishes what is in progress, and returns when
    //! that is done or the time for it is over.
    void stop();

private:
    struct Parts;
    explicit DispatchNode(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> m_parts;
};

} // namespace sardinerun::app
