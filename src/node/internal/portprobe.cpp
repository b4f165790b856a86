#include "node/iportprobe.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sardinerun::node {

namespace {

constexpr core::Duration probeTimeout = std::chrono::milliseconds(300);

class PortProbe : public IPortProbe {
public:
    explicit PortProbe(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    void probe(const core::HostPort& address, std::function<void(Result)> callback) override
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
        const int n = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
        const int firstError = n == 0 ? 0 : errno;
        // The result of the connection attempt is read once, after the probe timeout.
        m_loop->callAfter(probeTimeout, [fd, firstError, callback = std::move(callback)] {
            callback(readResult(fd, firstError));
            close(fd);
        });
    }

private:
    static Result readResult(int fd, int firstError)
    {
        int error = firstError;
        if (firstError == EINPROGRESS) {
            socklen_t n = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
        }
        if (error == ECONNREFUSED)
            return Result::Refused;
        sockaddr_in peer {};
        socklen_t n = sizeof peer;
        const bool isConnected = getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &n) == 0;
        return error == 0 && isConnected ? Result::Open : Result::NoAnswer;
    }

    runtime::ILoopPtr m_loop;
};

} // namespace

IPortProbePtr createPortProbe(runtime::ILoopPtr loop)
{
    return std::make_shared<PortProbe>(std::move(loop));
}

} // namespace sardinerun::node
