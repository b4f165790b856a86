//! Sends requests to one address at a fixed concurrency, and reports throughput and latency.

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

//! Keeps a fixed number of requests in progress until the end time.
class Sender {
public:
    Sender(runtime::EventLoopPtr loop, http::ClientRequest request, int seconds)
        : m_loop(std::move(loop))
        , m_client(http::createClient(m_loop))
        , m_request(std::move(request))
        , m_endAt(m_loop->now() + std::chrono::seconds(seconds))
    {
    }

    void begin(int concurrency)
    {
        m_inProgress = concurrency;
        for (int n = 0; n < concurrency; ++n)
            sendNext();
    }

    std::promise<void> done;
    std::map<int, std::uint64_t> statuses; //!< number of answers by HTTP status; 0 for no complete answer
    std::vector<double> millis; //!< latencies of answers with status 200

private:
    void sendNext()
    {
        if (m_loop->now() >= m_endAt) {
            if (--m_inProgress == 0)
                done.set_value();
            return;
        }
        const core::TimePoint sentAt = m_loop->now();
        m_client->send(m_request, [this, sentAt](const http::ClientResult& result) {
            const int status = result ? result.value().status : 0;
            ++statuses[status];
            if (status == 200)
                millis.push_back(std::chrono::duration<double, std::milli>(m_loop->now() - sentAt).count());
            sendNext();
        });
    }

    runtime::EventLoopPtr m_loop;
    http::IHttpClientPtr m_client;
    http::ClientRequest m_request;
    core::TimePoint m_endAt;
    int m_inProgress = 0;
};

} // namespace

int main(int argc, char** argv)
{
    options::options_description description;
    auto add = description.add_options();
    add("to", options::value<std::string>()->required(), "IP address and port");
    add("target", options::value<std::string>()->default_value("/"), "path and query");
    add("token", options::value<std::string>()->default_value(""), "bearer token");
    add("concurrency", options::value<int>()->default_value(16), "number of requests in progress");
    add("seconds", options::value<int>()->default_value(5), "duration in seconds");
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
    const auto percentile = [&](double fraction) {
        return millis.empty() ? -1 : millis[std::size_t(double(millis.size() - 1) * fraction)];
    };
    std::printf("{\"answered\": %zu, \"perSecond\": %.1f, \"p50Ms\": %.2f, \"p99Ms\": %.2f", millis.size(),
        double(millis.size()) / seconds, percentile(0.5), percentile(0.99));
    for (const auto& [status, n] : sender.statuses)
        std::printf(", \"status%d\": %lu", status, n);
    std::printf("}\n");
    return 0;
}
