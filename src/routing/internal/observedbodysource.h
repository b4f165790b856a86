#pragma once

#include "http/ibodysource.h"
#include "runtime/task.h"

namespace sardinerun::routing {

//! Forwards a body and reports once how it ended. A body that is not read to its end counts as truncated.
class ObservedBodySource : public http::IBodySource, public std::enable_shared_from_this<ObservedBodySource> {
public:
    using Ended = runtime::Reply<http::BodyPart::State>;
    ObservedBodySource(http::IBodySourcePtr source, Ended ended)
        : m_source(std::move(source))
        , m_ended(std::move(ended))
    {
    }
    ~ObservedBodySource() override { m_ended.send(http::BodyPart::State::Truncated); }

    void pull(PartCallback callback) override
    {
        m_source->pull([self = shared_from_this(), callback = std::move(callback)](http::BodyPart part) {
            if (part.state != http::BodyPart::State::More)
                self->m_ended.send(part.state);
            callback(std::move(part));
        });
    }

    void cancel() override
    {
        m_source->cancel();
        m_ended.send(http::BodyPart::State::Truncated);
    }

private:
    http::IBodySourcePtr m_source;
    Ended m_ended;
};

} // namespace sardinerun::routing
