#pragma once

#include "core/ret.h"
#include "settings/nodesettings.h"

#include <memory>
#include <string>

//! The program: a node put together from its tasks, and the command line.
namespace sardinerun::app {

struct StartError {
    std::string detail;
};

class Node;
using NodePtr = std::unique_ptr<Node>;

//! A running node: one loop for callers, one for decisions, and the tasks on them.
class Node {
public:
    static core::RetVal<NodePtr, StartError> start(const settings::NodeSettings& settings);
    ~Node();

    std::uint16_t callersPort() const;

    //! Planned stop: takes nothing new, finishes what is in progress, hands over, and returns when that is done or
    //! the time for it is over.
    void stop();

private:
    struct Parts;
    explicit Node(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> m_parts;
};

} // namespace sardinerun::app
