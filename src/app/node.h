#pragma once

#include "core/ret.h"
#include "settings/nodesettings.h"

#include <memory>
#include <string>

//! The program: nodes assembled from their tasks, and the command line.
namespace sardinerun::app {

struct StartError {
    std::string detail;
};

class Node;
using NodePtr = std::unique_ptr<Node>;

//! A running node: an event loop for callers, an event loop for decisions, and the tasks on both.
class Node {
public:
    static core::RetVal<NodePtr, StartError> start(const settings::NodeSettings& settings);
    ~Node();

    std::uint16_t callersPort() const;

    //! Stops the node as planned: accepts no new requests, finishes those in progress, and hands over its partitions.
    //! Returns when this is done, or after `stopWithin`.
    void stop();

private:
    struct Impl;
    explicit Node(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace sardinerun::app
