//! Sends requests to one address, so many at a time, and says how fast they were answered.

#include "http/h2oclient.h"
#include "settings/nodesettings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <future>
#include <map>

namespace options = boost::program_options;
using namespace sardinerun;

namespace {

//! Keeps a number of requests in progress until the time is over.
class Sender {
public:
    Sender(runtime::EventLoopPtr loop, http::ClientRequest request, int seconds)
        : m_loop(std::move(loop))
        , m_client(http::createClient(m_loop))
        , m_request(std::move(request))
        , m_until(m_loop->now() + std::chrono::seconds(seconds))
    {
    }

    void begin(int concurrency)
    {
        m_open = concurrency;
        for (int n = 0; n < concurrency; ++n)
            next();
    }

    std::promise<void> done;
    std::map<int, std::uint64_t> statuses; //!< 0 for no whole answer
    std::vector<double> millis; //!< of answers with status 200

private:
    void next()
    {
        if (m_loop->now() >= m_until) {
            if (--m_open == 0)
                done.set_value();
            return;
        }
        const core::TimePoint sentAt = m_loop->now();
        m_client->send(m_request, [this, sentAt](const http::ClientResult& result) {
            const int status = result ? result.value().status : 0;
            ++statuses[status];
            if (status == 200)
                millis.push_back(std::chrono::duration<double, std::milli>(m_loop->now() - sentAt).count());
            next();
        });
    }

    runtime::EventLoopPtr m_loop;
    http::IHttpClientPtr m_client;
    http::ClientRequest m_request;
    core::TimePoint m_until;
    int m_open = 0;
};

} // namespace

int main(int argc, char** argv)
{
    options::options_description description;
    auto add = description.add_options();
    add("to", options::value<std::string>()->required(), "IP address and port");
    add("target", options::value<std::string>()->default_value("/"), "path and query");
    add("token", options::value<std::string>()->default_value(""), "bearer token");
    add("concurrency", options::value<int>()->default_value(16), "requests in progress");
    add("seconds", options::value<int>()->default_value(5), "time");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    http::ClientRequest request;
    request.to = settings::parseHostPort(values["to"].as<std::string>()).value();
    request.target = values["target"].as<std::string>();
    if (!values["token"].as<std::string>().empty())
        request.headers.push_back({ "authorization", "Bearer " + values["token"].as<std::string>() });
    auto loop = runtime::EventLoop::create("sender", runtime::systemClock()).value();
    const int seconds = values["seconds"].as<int>();
    Sender sender(loop, request, seconds);
    loop->start();
    loop->post([&] { sender.begin(values["concurrency"].as<int>()); });
    sender.done.get_future().wait();
    loop->stop();
    auto& millis = sender.millis;
    std::sort(millis.begin(), millis.end());
    const auto at
        = [&](double part) { return millis.empty() ? -1 : millis[std::size_t(double(millis.size() - 1) * part)]; };
    std::printf("{\"answered\": %zu, \"perSecond\": %.1f, \"p50Ms\": %.2f, \"p99Ms\": %.2f", millis.size(),
        double(millis.size()) / seconds, at(0.5), at(0.99));
    for (const auto& [status, n] : sender.statuses)
        std::printf(", \"status%d\": %lu", status, n);
    std::printf("}\n");
    return 0;
}
