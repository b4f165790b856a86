#pragma once

#include <functional>
#include <memory>
#include <string>

namespace sardinerun::http {

//! One part of a streamed body.
struct BodyPart {
    enum class State {
        More, //!< more parts follow
        Complete, //!< the body ends with this part
        Truncated //!< the body ended too early; the parts received so far must not be treated as complete
    };
    State state = State::More;
    std::string bytes; //!< not empty if more parts follow
};

//! Source of a streamed body. It reads no further part until `pull` is called, so that its memory is bounded by one
//! part.
class IBodySource {
public:
    using PartCallback = std::function<void(BodyPart)>;
    virtual ~IBodySource() = default;

    //! Requests the next part. May be called from any thread, but not while a previous request is pending. The callback
    //! runs on the loop of the source, never before `pull` has returned.
    virtual void pull(PartCallback callback) = 0;
    //! Cancels the body; `pull` must not be called afterwards. May be called from any thread.
    virtual void cancel() = 0;
};

using IBodySourcePtr = std::shared_ptr<IBodySource>;

} // namespace sardinerun::http
