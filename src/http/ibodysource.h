#pragma once

#include <functional>
#include <memory>
#include <string>

namespace sardinerun::http {

//! Some bytes of a body that is passed on while it arrives.
struct BodyPart {
    enum class State {
        More, //!< other parts follow
        Whole, //!< the body ends with this part
        Cut //!< the body ended too early; what was passed on must not be taken as whole
    };
    State state = State::More;
    std::string bytes; //!< not empty when more parts follow
};

//! A body whose parts are read one after the other. Nothing more is read while nobody pulls, so that its memory is
//! bounded by one part.
class IBodySource {
public:
    using Taken = std::function<void(BodyPart)>;
    virtual ~IBodySource() = default;

    //! Asks for the next part; one question at a time, from any thread. The answer comes on the loop of the source,
    //! never before `pull` has returned.
    virtual void pull(Taken taken) = 0;
    //! Nobody will pull any more; from any thread.
    virtual void cancel() = 0;
};

using IBodySourcePtr = std::shared_ptr<IBodySource>;

} // namespace sardinerun::http
